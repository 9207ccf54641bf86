//! One measured fleet: started, let settle, watched, then stirred by changes, restarts and a lost index node.
use crate::child::Played;
use crate::roles::Role;
use crate::stirs;
use scale_fleet::counts::{Report, Told, between};
use scale_fleet::size::Size;
use scale_fleet::usage::Usage;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const CORES: u32 = 3;
pub const INDEX_NODES: u64 = 3;
pub const SETTLE: Duration = Duration::from_secs(40);
pub const CALM: Duration = Duration::from_millis(1500);
pub const LOOK: Duration = Duration::from_millis(50);

/// What one role cost: a share of a core, and memory.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Cost {
    pub core_share: f64,
    pub resident_bytes: f64,
    pub threads: f64,
}

/// What one stirring cost, each time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stir {
    pub took_ms: f64,
    pub in_force_ms: f64,
    /// Beyond what the calm fleet uses: processor milliseconds of all cores together, and of the router.
    pub cores_ms: f64,
    pub router_ms: f64,
    /// Messages and bytes that a node received, by cause.
    pub node: BTreeMap<String, (f64, f64)>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    pub axis: String,
    pub size: Size,
    pub seconds: f64,
    pub settled_ms: f64,
    pub roles: BTreeMap<String, Cost>,
    /// Messages and bytes a second for one hollow node, by cause.
    pub node: BTreeMap<String, (f64, f64)>,
    pub events_a_second: f64,
    pub polls_a_second: f64,
    pub items: f64,
    pub stirs: BTreeMap<String, Stir>,
    pub fault: String,
}

/// A running fleet; it ends with this.
pub struct Fleet {
    pub children: Vec<Played>,
    pub size: Size,
    data: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.children.clear();
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

fn free(count: usize) -> Result<Vec<SocketAddr>, String> {
    let fault = |e: std::io::Error| format!("finding free ports: {e}");
    let held: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>().map_err(fault)?;
    held.iter().map(|l| l.local_addr().map_err(fault)).collect()
}

impl Fleet {
    fn start(size: Size, scratch: &Path) -> Result<Self, String> {
        let ports = free(2 * CORES as usize + 2)?;
        let core = |id: u32| (ports[2 * id as usize - 2], ports[2 * id as usize - 1]);
        let cores: Vec<String> =
            (1..=CORES).map(|id| format!("{id}@{}/{}/127.0.0.1:1", core(id).0, core(id).1)).collect();
        let seeds: Vec<SocketAddr> = (1..=CORES).map(|id| core(id).1).collect();
        let (frames, router) = (ports[6], ports[7]);
        let data = scratch.join(format!("scale-fleet-{}", std::process::id()));
        let mut fleet = Fleet { children: Vec::new(), size, data: data.clone() };
        for (id, name) in (1..=CORES).zip(["core head", "core middle", "core tail"]) {
            let data = data.join(id.to_string());
            std::fs::create_dir_all(&data).map_err(|e| format!("data of {name}: {e}"))?;
            fleet.add(name, Role::Core { id, cores: cores.clone(), data, replicas: size.replicas })?;
        }
        // Ports found free are taken before the many listeners of hollow nodes could take them.
        for name in ["core head", "core middle", "core tail"] {
            fleet.ask(name, "place")?;
        }
        let rate = size.events as f64 / size.replicas.max(1) as f64;
        for n in 1..=INDEX_NODES {
            let (name, seeds) = (format!("index {n}"), seeds.clone());
            fleet.add(&name.clone(), Role::Index { name, seeds, rate, parts: size.parts, seed: size.seed })?;
        }
        fleet.add("agent", Role::Agent { seeds: seeds.clone(), frames, router })?;
        fleet.add("router", Role::Router { agent: frames, frames: router })?;
        fleet.ask("agent", "count")?;
        fleet.ask("router", "count")?;
        fleet.add("hollow", Role::Hollow { nodes: size.nodes, seeds })?;
        Ok(fleet)
    }

    fn add(&mut self, name: &str, role: Role) -> Result<(), String> {
        self.children.push(Played::start(name, &role)?);
        Ok(())
    }

    pub fn ask(&mut self, name: &str, word: &str) -> Result<Report, String> {
        let child = self.children.iter_mut().find(|child| child.name == name);
        child.ok_or_else(|| format!("no {name} runs"))?.ask(word)
    }

    /// What the index nodes tell, together.
    pub fn indexes(&mut self) -> Result<Report, String> {
        let mut all = Report::default();
        for child in self.children.iter_mut().filter(|child| child.name.starts_with("index")) {
            let one = child.ask("count")?;
            all.held += one.held;
            all.items += one.items;
            all.polls += one.polls;
            all.events += one.events;
        }
        Ok(all)
    }

    fn usage(&self) -> BTreeMap<String, Usage> {
        self.children.iter().map(|child| (child.name.clone(), child.usage())).collect()
    }

    /// Waits until all nodes are members and all duties are held; gives how long that took.
    fn settle(&mut self) -> Result<f64, String> {
        let begun = Instant::now();
        let configured = self.ask("hollow", &format!("configure {}", self.size.tenants))?;
        if !configured.fault.is_empty() {
            return Err(configured.fault);
        }
        let size = self.size;
        loop {
            let (members, all) = (self.ask("hollow", "count")?.members, self.indexes()?);
            let ready = self.ask("router", "count")?.members == 1;
            let whole = all.items >= size.replicas * size.parts;
            if members == size.nodes && all.held == size.replicas && whole && ready {
                return Ok(begun.elapsed().as_secs_f64() * 1000.0);
            }
            if begun.elapsed() > SETTLE {
                return Err(format!("not settled: {members} members, {} duties, ready {ready}", all.held));
            }
            std::thread::sleep(LOOK);
        }
    }

    fn each(&self, told: Told, by: f64) -> BTreeMap<String, (f64, f64)> {
        let by = by * self.size.nodes as f64;
        told.into_iter().map(|(cause, (m, b))| (cause, (m as f64 / by, b as f64 / by))).collect()
    }

    /// What `stir` costs beyond the calm fleet; it is done so many times.
    fn stirred(
        &mut self,
        calm: &BTreeMap<String, Cost>,
        times: u64,
        stir: impl FnOnce(&mut Self) -> Result<(f64, f64), String>,
    ) -> Result<Stir, String> {
        let (begun, counted, used) = (Instant::now(), self.ask("hollow", "count")?.counts, self.usage());
        let (took_ms, in_force_ms) = stir(self)?;
        let counts = between(&counted, &self.ask("hollow", "count")?.counts);
        let (after, seconds, times) = (self.usage(), begun.elapsed().as_secs_f64(), times as f64);
        let beyond = |name: &str| {
            let (Some(old), Some(new), Some(calm)) = (used.get(name), after.get(name), calm.get(name)) else {
                return 0.0;
            };
            let used = match name {
                "router" => new.threads_seconds - old.threads_seconds,
                _ => new.processor_seconds - old.processor_seconds,
            };
            (used - calm.core_share * seconds) * 1000.0 / times
        };
        let cores_ms = ["core head", "core middle", "core tail"].into_iter().map(beyond).sum();
        Ok(Stir { took_ms, in_force_ms, cores_ms, router_ms: beyond("router"), node: self.each(counts, times) })
    }
}

fn measured(point: &mut Point, scratch: &Path, with_loss: bool) -> Result<(), String> {
    // A port found free may be another program's by the time it is bound: once more then.
    let mut fleet = Fleet::start(point.size, scratch).or_else(|_| Fleet::start(point.size, scratch))?;
    point.settled_ms = fleet.settle()?;
    std::thread::sleep(CALM);
    let (begun, counted, told, used) =
        (Instant::now(), fleet.ask("hollow", "count")?.counts, fleet.indexes()?, fleet.usage());
    std::thread::sleep(Duration::from_secs_f64(point.seconds).saturating_sub(begun.elapsed()));
    let counts = between(&counted, &fleet.ask("hollow", "count")?.counts);
    let (now, after, seconds) = (fleet.indexes()?, fleet.usage(), begun.elapsed().as_secs_f64());
    point.node = fleet.each(counts, seconds);
    point.events_a_second = (now.events - told.events) as f64 / seconds;
    point.polls_a_second = (now.polls - told.polls) as f64 / seconds;
    point.items = now.items as f64;
    let cost = |(name, new): (&String, &Usage)| {
        let old = used.get(name).copied().unwrap_or_default();
        // An agent and a router keep their threads, and use little: the finer account is the better one.
        let core_share = match name.as_str() {
            "agent" | "router" => (new.threads_seconds - old.threads_seconds) / seconds,
            _ => (new.processor_seconds - old.processor_seconds) / seconds,
        };
        (name.clone(), Cost { core_share, resident_bytes: new.resident_bytes, threads: new.threads })
    };
    point.roles = after.iter().map(cost).collect();
    let calm = point.roles.clone();
    point.stirs.insert("change".into(), fleet.stirred(&calm, stirs::TIMES, stirs::changes)?);
    point.stirs.insert("restart".into(), fleet.stirred(&calm, stirs::TIMES, stirs::restarts)?);
    if with_loss {
        point.stirs.insert("index node lost".into(), fleet.stirred(&calm, 1, stirs::loss)?);
    }
    Ok(())
}

/// Measures one fleet; a fault is told in the point, beside what was measured before it.
pub fn measure(axis: &str, size: Size, seconds: f64, scratch: &Path, with_loss: bool) -> Point {
    let mut point = Point { axis: axis.into(), size, seconds, ..Point::default() };
    if let Err(fault) = measured(&mut point, scratch, with_loss) {
        point.fault = fault;
    }
    point
}
