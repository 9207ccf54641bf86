//! A running core whose disk refuses writes or hangs: it starts over in its process, and goes on answering.
use chain_replication::control_replica::ControlReplica;
use chain_replication::view::{Member, MemberAddress};
use control_server::directory::{LocalDirectory, LogDirectory};
use control_server::disk_thread::{ReopeningStore, UnusableLog};
use control_server::event_loop::{ReplicaHandle, start};
use control_server::log_store::LogStore;
use control_state::command::{Command, CommandRequest};
use control_state::fleet_config::FleetConfig;
use control_state::outcome::Outcome;
use fleet_common::rpc::{Request, Response};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A folder that refuses writes while told to, and whose syncs wait for a lock.
#[derive(Clone, Default)]
struct Trouble {
    refuses: Arc<AtomicBool>,
    hangs: Arc<Mutex<()>>,
}

struct Troubled(LocalDirectory, Trouble);

impl Troubled {
    fn refused(&self) -> io::Result<()> {
        match self.1.refuses.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl LogDirectory for Troubled {
    fn file_names(&self) -> io::Result<Vec<String>> {
        self.0.file_names()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.read(name)
    }
    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.refused()?;
        self.0.write(name, at, bytes)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        drop(self.1.hangs.lock());
        self.refused()?;
        self.0.sync(name)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.refused()?;
        self.0.remove(name)
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        self.0.sync_directory()
    }
    fn free_bytes(&self) -> u64 {
        self.0.free_bytes()
    }
}

/// A core alone, founded on an empty folder.
fn core(name: &str, trouble: Trouble) -> (ReplicaHandle, PathBuf) {
    let path = std::env::temp_dir().join(format!("coursebend-driver-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let folder = path.clone();
    let at = MemberAddress { id: 1, peers: "".into(), nodes: "".into(), operators: "".into() };
    let cores = vec![at];
    let seeds = cores.clone();
    let mut begun = false;
    let disk = ReopeningStore::open(
        UnusableLog::Fail,
        Box::new(move || {
            let files = Troubled(LocalDirectory::open(&folder)?, trouble.clone());
            let founds = (!std::mem::replace(&mut begun, true)).then_some(0);
            LogStore::open(Box::new(files), founds, &cores).map(|(store, found)| (Box::new(store) as _, found))
        }),
    );
    let make = move |now, found: chain_replication::step::RecoveredDisk| {
        let incarnation = found.hard_state.as_ref().unwrap().incarnation;
        ControlReplica::start(now, Member { id: 1, incarnation }, seeds.clone(), found)
    };
    let (polls, _) = crossbeam::channel::bounded(4);
    (start(disk.unwrap(), Box::new(make), polls), path)
}

fn blueprint(number: u64) -> Request {
    let text =
        format!("{{\"tenants\":{{\"t{number}\":{{\"wall\":\"shared\"}}}},\"models\":{{}},\"kinds\":{{}},\"ways\":[]}}");
    let blueprint = FleetConfig::parse(&fleet_common::json::root(text.as_bytes()).unwrap()).unwrap();
    let command = Command::ReplaceFleetConfig { config: blueprint };
    Request::Command(
        CommandRequest { id: format!("c{number}"), expected_version: None, command }.encode().unwrap().into(),
    )
}

/// Asks until there is an outcome.
fn taken(driver: &ReplicaHandle, number: u64) -> Outcome {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(20) {
        if let Ok(Response::Json(text)) = driver.request_any(blueprint(number), Duration::from_secs(5)) {
            return sonic_rs::from_slice(text.as_slice()).unwrap();
        }
    }
    panic!("command {number} was not taken");
}

#[test]
fn a_disk_that_refused_writes_is_used_again() {
    let trouble = Trouble::default();
    let (driver, path) = core("refuses", trouble.clone());
    assert!(taken(&driver, 1).accepted());
    for round in 2..5 {
        trouble.refuses.store(true, Ordering::Relaxed);
        let refused = driver.request(blueprint(round * 10));
        assert!(!matches!(refused, Response::Json(_)), "nothing is acknowledged that is not synced: {refused:?}");
        trouble.refuses.store(false, Ordering::Relaxed);
        assert!(taken(&driver, round).accepted());
    }
    // What was acknowledged before is still known: said again, it has the same outcome.
    let first = taken(&driver, 1);
    assert!(first.accepted() && first.version == 1, "{first:?}");
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_core_answers_while_its_disk_hangs() {
    let trouble = Trouble::default();
    let (driver, path) = core("hangs", trouble.clone());
    assert!(taken(&driver, 1).accepted());
    let held = trouble.hangs.lock().unwrap();
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| driver.request(blueprint(2)));
        let begun = Instant::now();
        while driver.role().as_deref() == Some("head") && begun.elapsed() < Duration::from_millis(1500) {
            let asked = Instant::now();
            assert!(matches!(driver.request(Request::Query("self".into())), Response::Json(_)));
            assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
        }
        // By now the disk is known to hang, and nothing more is taken.
        assert!(matches!(driver.request(blueprint(3)), Response::Redirect(_)));
        drop(held);
        assert!(matches!(waiting.join().unwrap(), Response::Json(_)));
    });
    assert!(taken(&driver, 3).accepted());
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_control_replica_whose_step_panics_starts_again_from_its_disk() {
    let path = std::env::temp_dir().join(format!("coursebend-driver-{}-panic", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let cores = vec![MemberAddress { id: 1, peers: "".into(), nodes: "".into(), operators: "".into() }];
    let (folder, seeds) = (path.clone(), cores.clone());
    let disk = ReopeningStore::open(
        UnusableLog::Fail,
        Box::new(move || {
            let founds = (!control_server::log_store::is_initialized(&folder)).then_some(0);
            control_server::log_store::open(&folder, founds, &cores).map(|(store, found)| (Box::new(store) as _, found))
        }),
    );
    let mut starts = 0;
    let make = move |now, found: chain_replication::step::RecoveredDisk| {
        starts += 1;
        assert_ne!(starts, 1, "the first start panics");
        let incarnation = found.hard_state.as_ref().unwrap().incarnation;
        ControlReplica::start(now, Member { id: 1, incarnation }, seeds.clone(), found)
    };
    let (polls, _polled) = crossbeam::channel::unbounded();
    let driver = start(disk.unwrap(), Box::new(make), polls);
    let begun = Instant::now();
    while driver.role().as_deref() != Some("head") {
        assert!(begun.elapsed() < Duration::from_secs(30), "it does not start again");
    }
    let _ = std::fs::remove_dir_all(path);
}

/// Guards against a control replica that stands still for good, or ends, as a panic took its disk's thread away.
#[test]
fn a_log_whose_opening_panics_is_opened_again() {
    let path = std::env::temp_dir().join(format!("coursebend-driver-{}-open-panic", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let cores = vec![MemberAddress { id: 1, peers: "".into(), nodes: "".into(), operators: "".into() }];
    let (folder, seeds) = (path.clone(), cores.clone());
    let mut openings = 0;
    let disk = ReopeningStore::open(
        UnusableLog::WaitForRepair,
        Box::new(move || {
            openings += 1;
            assert!(openings > 2, "the first openings panic");
            control_server::log_store::open(&folder, Some(0), &cores)
                .map(|(store, found)| (Box::new(store) as _, found))
        }),
    );
    let make = move |now, found: chain_replication::step::RecoveredDisk| {
        let incarnation = found.hard_state.as_ref().unwrap().incarnation;
        ControlReplica::start(now, Member { id: 1, incarnation }, seeds.clone(), found)
    };
    let (polls, _polled) = crossbeam::channel::unbounded();
    let driver = start(disk.unwrap(), Box::new(make), polls);
    assert!(taken(&driver, 1).accepted());
    let _ = std::fs::remove_dir_all(path);
}
