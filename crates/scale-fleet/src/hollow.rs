//! Hollow nodes: many in one process. Each pulls as an agent does and takes what index nodes push, counts it,
//! and does nothing with it.
use control_chain::command::{Command, Envelope, Outcome};
use control_chain::configuration::Change;
use control_chain::relay::Relay;
use fleet_common::ask::{Answer, Ask, CONFIGURATION, LEASE, Pulled};
use fleet_common::frame;
use fleet_common::node::{Identity, Link, Seeds};
use scale_fleet::counts::{Counts, FILTERS, NEWS, PULLS, Report, SOURCE};
use scale_fleet::made_up;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const STACK: usize = 128 << 10;
const AGAIN: Duration = Duration::from_millis(50);
const LOOK: Duration = Duration::from_millis(4);
const LONGEST: Duration = Duration::from_secs(8);
const FILTER_PUSH: u8 = 5;
const SEATS: u8 = 9;

#[derive(Default)]
struct Node {
    incarnation: AtomicU64,
    configuration: AtomicU64,
    member: AtomicU64,
}

pub struct Nodes {
    seeds: Seeds,
    nodes: Vec<Node>,
    counts: Counts,
}

fn thread(work: impl FnOnce() + Send + 'static) {
    if let Err(e) = std::thread::Builder::new().stack_size(STACK).spawn(work) {
        eprintln!("scale-fleet: a thread of a hollow node: {e}");
    }
}

/// Starts so many nodes.
pub fn start(count: u64, seeds: Seeds) -> Result<Arc<Nodes>, String> {
    let nodes = (0..count).map(|_| Node { incarnation: 1.into(), ..Node::default() }).collect();
    let all = Arc::new(Nodes { seeds, nodes, counts: Counts::default() });
    for at in 0..count as usize {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("listener of hollow node {at}: {e}"))?;
        let own = listener.local_addr().map_err(|e| format!("address of hollow node {at}: {e}"))?.to_string();
        let (pulling, taking) = (all.clone(), all.clone());
        thread(move || pulling.follow(at, &own));
        thread(move || {
            for stream in listener.incoming().flatten() {
                let taking = taking.clone();
                thread(move || _ = taking.take(stream));
            }
        });
    }
    Ok(all)
}

impl Nodes {
    /// Takes frames as they come: what it is stands in the first byte of the body.
    fn take(&self, mut stream: TcpStream) -> Result<(), String> {
        let fault = |e: std::io::Error| format!("frame at a hollow node: {e}");
        stream.set_nodelay(true).map_err(fault)?;
        let done = frame::pack(&Answer::Done).map_err(|error| error.to_string())?;
        let (mut head, mut body) = ([0u8; 8], Vec::new());
        loop {
            stream.read_exact(&mut head).map_err(fault)?;
            let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
            body.resize(length, 0);
            stream.read_exact(&mut body).map_err(fault)?;
            let bytes = (head.len() + length) as u64;
            match body.first() {
                Some(&FILTER_PUSH) => self.counts.add(FILTERS, 1, bytes),
                Some(&SEATS) => self.counts.add(NEWS, 1, bytes),
                _ => {}
            }
            stream.write_all(&done).map_err(fault)?;
        }
    }

    fn identity(&self, at: usize, own: &str) -> Identity {
        let incarnation = self.nodes[at].incarnation.load(Ordering::Relaxed);
        let (name, district) = (format!("node-{at:05}"), format!("zone-{}", at % 5));
        Identity { name, kind: "edge", incarnation, at: own.to_string(), district }
    }

    /// Pulls for ever as an agent does, beside a router that uses at once what it is fed.
    fn follow(&self, at: usize, own: &str) {
        let begun = Instant::now();
        loop {
            let identity = self.identity(at, own);
            let mut link = Link::new(identity.clone(), self.seeds.clone());
            let mut relay = Relay::starting(begun.elapsed());
            while self.nodes[at].incarnation.load(Ordering::Relaxed) == identity.incarnation {
                relay.asked(begun.elapsed(), relay.vector());
                let plan = relay.plan(begun.elapsed());
                match link.pull(plan.have, plan.confirmed, plan.holding, plan.wait_ms) {
                    Ok((sent, pulled)) => {
                        self.count(&identity, &pulled);
                        let node = &self.nodes[at];
                        node.member.store(pulled.member.into(), Ordering::Relaxed);
                        let new = pulled.changed.items().iter().find(|v| v.source as usize == CONFIGURATION);
                        new.into_iter().for_each(|v| node.configuration.store(v.version, Ordering::Relaxed));
                        let member = pulled.member != 0;
                        relay.pulled(sent.saturating_duration_since(begun), plan.holding, pulled);
                        if !member {
                            std::thread::sleep(AGAIN);
                        }
                    }
                    Err(_) => std::thread::sleep(AGAIN),
                }
            }
        }
    }

    fn count(&self, identity: &Identity, pulled: &Pulled) {
        let text = |text: &str| 4 + text.len() as u64;
        let me = text(&identity.name) + text(identity.kind) + text(&identity.at) + text(&identity.district);
        // A frame's head, the ask's kind, the node, two vectors, incarnation, holding and the wait.
        let asked = 8 + 1 + me + 2 * (4 + 8 * 8) + 8 + 1 + 4;
        // A frame's head, the answer's kind, member, age and the count of sources.
        self.counts.add(PULLS, 2, asked + 8 + 1 + 1 + 8 + 4);
        for one in pulled.changed.items() {
            self.counts.add(SOURCE + one.source as usize, 1, 1 + 8 + 4 + one.value.as_slice().len() as u64);
        }
    }

    pub fn report(&self) -> Report {
        let read = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let configuration = self.nodes.iter().map(|n| read(&n.configuration)).min().unwrap_or(0);
        let members = self.nodes.iter().map(|n| read(&n.member)).sum();
        Report { counts: self.counts.told(), members, configuration, ..Report::default() }
    }

    /// Has one node come again under another incarnation.
    pub fn restart(&self, at: u64) {
        if let Some(node) = self.nodes.get(at as usize) {
            node.incarnation.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn asker(&self, wait: Duration, ask: &Ask) -> Result<Vec<u8>, String> {
        let me = Identity { name: "operator".into(), ..self.identity(0, "") };
        let (mut link, until) = (Link::new(me, self.seeds.clone()), Instant::now() + wait);
        loop {
            match link.ask(ask) {
                Ok(Answer::Json(text)) => return Ok(text.as_slice().to_vec()),
                Ok(other) if Instant::now() > until => return Err(format!("operator's ask: odd answer {other:?}")),
                Err(error) if Instant::now() > until => return Err(format!("operator's ask: {error}")),
                _ => std::thread::sleep(LOOK),
            }
        }
    }

    /// Has the core take a change, and waits until all nodes have it and until the core says it is in force.
    pub fn change(&self, over: u64, change: Change) -> Result<Report, String> {
        let id = format!("change-{}", change.revision());
        let envelope = Envelope { id: id.clone(), expect: None, command: Command::Configure { over, change } };
        let begun = Instant::now();
        let text = self.asker(LONGEST, &envelope.ask().map_err(|error| error.to_string())?)?;
        let outcome: Outcome = sonic_rs::from_slice(&text).map_err(|e| format!("outcome of a change: {e}"))?;
        if !outcome.accepted() {
            return Err(format!("a change was refused: {}", outcome.detail));
        }
        while self.report().configuration < outcome.version && begun.elapsed() < LONGEST {
            std::thread::sleep(LOOK);
        }
        let took_ms = begun.elapsed().as_secs_f64() * 1000.0;
        let ask = Ask::Query(format!("command/{id}").as_str().into());
        while begun.elapsed() < LONGEST + LEASE {
            let words = self.asker(LONGEST, &ask)?;
            if String::from_utf8_lossy(&words).contains("in force") {
                break;
            }
            std::thread::sleep(LOOK);
        }
        let in_force_ms = begun.elapsed().as_secs_f64() * 1000.0;
        Ok(Report { took_ms, in_force_ms, ..self.report() })
    }

    /// The first configuration, whole.
    pub fn configure(&self, tenants: u64) -> Result<Report, String> {
        self.change(0, Change::Whole(Box::new(made_up::configuration(tenants, 1))))
    }
}
