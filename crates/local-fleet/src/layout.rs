//! Which processes a fleet has and how each is told its place.
use crate::child::Process;
use crate::fleet::{Fleet, Size};
use crate::ports::Ports;
use std::net::SocketAddr;

const DISTRICTS: [&str; 4] = ["a", "b", "c", "d"];

fn set(pairs: &[(&str, String)]) -> Vec<String> {
    pairs.iter().flat_map(|(name, value)| ["--set".to_string(), format!("{name}={value}")]).collect()
}

impl Fleet {
    pub(crate) fn add(&mut self, name: &str, program: &'static str, args: Vec<String>, http: SocketAddr) {
        self.processes.push(Process::new(name, program, args, http, self.folder.clone()));
    }

    pub(crate) fn add_outside(&mut self, size: Size, ports: &mut Ports) {
        let (store, app) = (ports.next(), ports.next());
        let (near, far) = (self.shape.near_us.to_string(), self.shape.far_us.to_string());
        let mut rows = Vec::new();
        let row = |id: &str, at: SocketAddr, model: &str, district: &str| {
            format!(
                "{{\"id\":\"{id}\",\"at\":\"{at}\",\"model\":\"{model}\",\"district\":\"{district}\",\"leaving\":false}}"
            )
        };
        for number in 0..size.replicas {
            let (id, at, district) = (format!("r{}", number + 1), ports.next(), DISTRICTS[number % 4]);
            rows.push(row(&id, at, "m1", district));
            let pairs = [
                ("--listen", at.to_string()),
                ("--id", id.clone()),
                ("--district", district.to_string()),
                ("--near-us", near.clone()),
                ("--far-us", far.clone()),
                ("--store", store.to_string()),
            ];
            let args = pairs.into_iter().flat_map(|(name, value)| [name.to_string(), value]);
            let args: Vec<String> = ["replica".to_string()].into_iter().chain(args).collect();
            self.add(&id.clone(), "test-doubles", args, at);
            self.replicas.push((id, at));
        }
        rows.push(row("store", store, "@store", "a"));
        rows.push(row("app", app, "@app", "a"));
        let listing = self.folder.join("listing.json");
        let _ = std::fs::write(&listing, format!("{{\"replicas\":[{}]}}", rows.join(",")));
        let listen = |kind: &str, at: SocketAddr| vec![kind.to_string(), "--listen".into(), at.to_string()];
        self.add("store", "test-doubles", [listen("store", store), vec!["--near-us".into(), far]].concat(), store);
        self.add("app", "test-doubles", listen("app", app), app);
        let platform = self.platform;
        let given = vec!["--listing".to_string(), listing.display().to_string()];
        self.add("platform", "test-doubles", [listen("platform", platform), given].concat(), platform);
    }

    pub(crate) fn add_core(&mut self, id: usize, http: SocketAddr, behind: &[(&str, String)]) {
        let data = self.folder.join(format!("core-{id}"));
        let mut args = set(&[
            ("id", id.to_string()),
            ("data", data.display().to_string()),
            ("cores", self.cores_setting.clone()),
            ("platform", self.platform.to_string()),
        ]);
        args.extend(set(behind));
        args.push("--found".into());
        self.add(&format!("core-{id}"), "control-server", args, http);
    }

    /// Kills an edge's processes; callers know of it no more.
    /// ```no_run
    /// # use local_fleet::{fleet::{Fleet, Size}, shape::rahguzar};
    /// Fleet::start(rahguzar(), Size { edges: 3, replicas: 6 }, "/tmp/fleet".into()).lose_edge(1);
    /// ```
    pub fn lose_edge(&mut self, number: usize) {
        for name in [format!("edge-{number}"), format!("agent-{number}"), format!("index-{number}")] {
            self.process(&name).kill();
        }
        self.edges.remove(0);
    }

    pub(crate) fn add_edge(&mut self, at: usize, seeds: &str, ports: &mut Ports) {
        let (name, district) = (format!("edge-{}", at + 1), DISTRICTS[at % 4].to_string());
        let (callers, pages, frames) = (ports.next(), ports.next(), ports.next());
        let (agent, agent_pages) = (ports.next(), ports.next());
        let (index, index_pages) = (ports.next(), ports.next());
        let who = |name: String| vec![("name", name), ("district", district.clone())];
        let mut pairs = who(name.clone());
        pairs.extend([("listen", agent.to_string()), ("http", agent_pages.to_string())]);
        pairs.extend([("router", frames.to_string()), ("seeds", seeds.to_string())]);
        self.add(&format!("agent-{}", at + 1), "router-agent", set(&pairs), agent_pages);
        let mut pairs = who(format!("index-{}", at + 1));
        pairs.extend([("listen", index.to_string()), ("http", index_pages.to_string()), ("seeds", seeds.to_string())]);
        self.add(&format!("index-{}", at + 1), "prefix-index", set(&pairs), index_pages);
        let mut pairs = who(name.clone());
        pairs.extend([("listen", callers.to_string()), ("http", pages.to_string())]);
        pairs.extend([("frames", frames.to_string()), ("agent", agent.to_string())]);
        self.add(&name, "request-router", set(&pairs), pages);
        self.edges.push(callers);
    }
}
