//! A whole fleet: four cores, edges of three processes each, replicas, store, app and platform.
use crate::child::{Process, programs};
use crate::ports::Ports;
use crate::relay::Relay;
use crate::shape::Shape;
use fleet_common::http_client;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// Lines of a process's log that are shown where a fleet does not get ready.
const LOG_LINES: usize = 3;

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Edge machines.
    pub edges: usize,
    /// Model replicas.
    pub replicas: usize,
}

/// A running fleet. Its processes end with it.
pub struct Fleet {
    /// The deployment that it is like.
    pub shape: Shape,
    /// Where data and logs of the processes are.
    pub folder: PathBuf,
    /// All processes.
    pub processes: Vec<Process>,
    /// Where callers reach each edge.
    pub edges: Vec<SocketAddr>,
    /// Where the platform's list is served.
    pub platform: SocketAddr,
    /// The replicas: id and address.
    pub replicas: Vec<(String, SocketAddr)>,
    pub(crate) cores_setting: String,
}

impl Fleet {
    /// Starts all processes in a folder of their own, emptied first.
    /// ```no_run
    /// use local_fleet::{fleet::{Fleet, Size}, shape};
    /// let fleet = Fleet::start(shape::tanoa(), Size { edges: 3, replicas: 6 }, "/tmp/fleet".into());
    /// ```
    pub fn start(shape: Shape, size: Size, folder: PathBuf) -> Self {
        Self::start_behind(shape, size, folder, None)
    }

    /// As `start`, with the cores behind a relay.
    /// ```no_run
    /// use local_fleet::{fleet::{Fleet, Size}, relay::Relay, shape::rahguzar};
    /// let relay = Relay::default();
    /// let fleet = Fleet::start_behind(rahguzar(), Size { edges: 3, replicas: 6 }, "/tmp/fleet".into(), Some(&relay));
    /// relay.part("core-1", "core-2");
    /// ```
    pub fn start_behind(shape: Shape, size: Size, folder: PathBuf, relay: Option<&Relay>) -> Self {
        let _ = std::fs::remove_dir_all(&folder);
        let _ = std::fs::create_dir_all(&folder);
        let mut ports = Ports;
        let cores: Vec<[SocketAddr; 3]> = (0..4).map(|_| [ports.next(), ports.next(), ports.next()]).collect();
        let each: Vec<String> =
            cores.iter().enumerate().map(|(at, [c, n, h])| format!("{}@{c}/{n}/{h}", at + 1)).collect();
        let mut fleet = Fleet {
            shape,
            folder,
            processes: Vec::new(),
            edges: Vec::new(),
            platform: ports.next(),
            replicas: Vec::new(),
            cores_setting: each.join(","),
        };
        fleet.add_outside(size, &mut ports);
        for (at, core) in cores.iter().enumerate() {
            let name = format!("core-{}", at + 1);
            let mut behind = Vec::new();
            if let Some(relay) = relay {
                let own = [ports.next(), ports.next()];
                let listen = |at: SocketAddr| TcpListener::bind(at).unwrap_or_else(|e| panic!("relay at {at}: {e}"));
                relay.before_chain(listen(core[0]), own[0], name.clone());
                relay.before_node(listen(core[1]), own[1], name);
                behind = vec![("listenChain", own[0].to_string()), ("listenNode", own[1].to_string())];
            }
            fleet.add_core(at + 1, core[2], &behind);
        }
        let seeds: Vec<String> = cores.iter().take(3).map(|c| c[1].to_string()).collect();
        for at in 0..size.edges {
            fleet.add_edge(at, &seeds.join(","), &mut ports);
        }
        fleet.processes.iter_mut().for_each(Process::start);
        // A core is founded once; a later start finds its disk.
        for process in &mut fleet.processes {
            process.args.retain(|arg| arg != "--found");
        }
        fleet
    }

    /// A process by its name.
    /// ```no_run
    /// # fn show(fleet: &mut local_fleet::fleet::Fleet) {
    /// fleet.process("core-1").kill();
    /// # }
    /// ```
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.iter_mut().find(|p| p.name == name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Where a process shows its pages.
    /// ```no_run
    /// # fn show(fleet: &local_fleet::fleet::Fleet) {
    /// println!("{}", fleet.page("edge-1", "/self"));
    /// # }
    /// ```
    pub fn page(&self, name: &str, path: &str) -> String {
        let at = self.processes.iter().find(|p| p.name == name).map(|p| p.http);
        at.and_then(|at| http_client::json("GET", &format!("http://{at}{path}"), "", Duration::from_secs(6)).ok())
            .unwrap_or_default()
    }

    /// Runs `fleetctl` on this fleet.
    /// ```no_run
    /// # fn show(fleet: &local_fleet::fleet::Fleet) {
    /// assert_eq!(fleet.query(&["holds"]).status.code(), Some(0));
    /// # }
    /// ```
    pub fn query(&self, args: &[&str]) -> Output {
        let cores: Vec<String> =
            self.processes.iter().filter(|p| p.program == "control-server").map(|p| p.http.to_string()).collect();
        let mut command = Command::new(programs().join("fleetctl"));
        command.arg("--cores").arg(cores.join(",")).args(args);
        command.output().unwrap_or_else(|e| panic!("fleetctl cannot start: {e}"))
    }

    /// Starts callers; their figures come as JSON when they end.
    /// ```no_run
    /// # fn show(fleet: &local_fleet::fleet::Fleet) {
    /// let callers = fleet.callers(5, 20, 1);
    /// println!("{}", String::from_utf8_lossy(&callers.wait_with_output().unwrap().stdout));
    /// # }
    /// ```
    pub fn callers(&self, seconds: u64, per_second: u64, seed: u64) -> std::process::Child {
        self.start_callers(seconds, per_second, seed, &[])
    }

    /// As `callers`, but each comes back after a refusal that names a time to come back; the refusals are counted by
    /// their reasons.
    /// ```no_run
    /// # fn show(fleet: &local_fleet::fleet::Fleet) {
    /// let callers = fleet.callers_that_come_back(5, 20, 1);
    /// # }
    /// ```
    pub fn callers_that_come_back(&self, seconds: u64, per_second: u64, seed: u64) -> std::process::Child {
        self.start_callers(seconds, per_second, seed, &["--come-back"])
    }

    fn start_callers(&self, seconds: u64, per_second: u64, seed: u64, more: &[&str]) -> std::process::Child {
        let edges: Vec<String> = self.edges.iter().map(SocketAddr::to_string).collect();
        let pairs = [
            ("--edges", edges.join(",")),
            ("--keys", self.shape.keys()),
            ("--shape", self.shape.caller.to_string()),
            ("--seconds", seconds.to_string()),
            ("--per-second", per_second.to_string()),
            ("--seed", seed.to_string()),
        ];
        let args = pairs.into_iter().flat_map(|(name, value)| [name.to_string(), value]);
        let mut command = Command::new(programs().join("test-doubles"));
        command.arg("caller").args(args).args(more).stdout(std::process::Stdio::piped());
        command.spawn().unwrap_or_else(|e| panic!("callers cannot start: {e}"))
    }

    /// Waits on a condition; `false` when it did not come about in time.
    /// ```
    /// assert!(local_fleet::fleet::Fleet::until(std::time::Duration::from_secs(1), || true));
    /// ```
    pub fn until(wait: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + wait;
        loop {
            if holds() {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    /// Gives the fleet its blueprint and keys, and waits until every edge takes requests.
    /// ```no_run
    /// # fn show(fleet: &local_fleet::fleet::Fleet) {
    /// fleet.set_up().unwrap();
    /// # }
    /// ```
    pub fn set_up(&self) -> Result<(), String> {
        let path = self.folder.join("blueprint.json");
        std::fs::write(&path, self.shape.blueprint("w1")).map_err(|e| e.to_string())?;
        let wait = Duration::from_secs(30);
        let answers = || self.query(&["holds"]).status.success();
        if !Self::until(wait, answers) {
            return Err("no core answers".into());
        }
        let applied = self.query(&["apply", &path.display().to_string(), "--wait"]);
        if !applied.status.success() {
            return Err(format!("blueprint: {}", String::from_utf8_lossy(&[applied.stdout, applied.stderr].concat())));
        }
        for (tenant, ..) in &self.shape.tenants {
            let added = self.query(&["key-add", &format!("key-{tenant}"), tenant]);
            if !added.status.success() {
                return Err(format!("key of {tenant}: {}", String::from_utf8_lossy(&added.stderr)));
            }
        }
        let ready = |name: &str| {
            let words = self.page(name, "/self");
            let serving = words.matches("\"weights\":\"w1\",\"leaving\":false,\"down\":false").count();
            let keys = format!("\"held\":{}", self.shape.tenants.len());
            words.contains("\"fresh\":true") && words.contains(&keys) && serving >= self.replicas.len()
        };
        let edges: Vec<String> = (1..=self.edges.len()).map(|n| format!("edge-{n}")).collect();
        match edges.iter().find(|name| !Self::until(wait, || ready(name))) {
            Some(name) => Err(format!("{name} is not ready: {}; logs: {}", self.page(name, "/self"), self.logs())),
            None => Ok(()),
        }
    }

    /// What the processes have logged, each one's first lines: nothing in a fleet that is well.
    fn logs(&self) -> String {
        let first_lines = |name: &str| {
            let text = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            text.lines().filter(|line| !line.is_empty()).take(LOG_LINES).collect::<Vec<_>>().join(" | ")
        };
        let all = self.processes.iter().map(|process| (&process.name, first_lines(&process.name)));
        all.filter(|(_, text)| !text.is_empty()).map(|(name, text)| format!("{name}: {text}\n")).collect()
    }

    /// The folder of logs and data.
    /// ```no_run
    /// # fn show(fleet: &local_fleet::fleet::Fleet) {
    /// println!("{}", fleet.folder().display());
    /// # }
    /// ```
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}
