//! A control replica that cannot reach a majority, or whose head fell silent, says so soon: an operator who
//! hears nothing for a second goes elsewhere, and must not be confirmed or refused by one that was cut off.
#[path = "../../chain-replication/tests/direct/mod.rs"]
mod direct;

use chain_replication::control_replica::ControlReplica;
use chain_replication::message::PeerMessage;
use chain_replication::step::RecoveredDisk;
use chain_replication::view::{Member, MemberAddress, View};
use control_server::directory::LocalDirectory;
use control_server::disk_thread::{ReopeningStore, UnusableLog};
use control_server::event_loop::{ReplicaHandle, start};
use control_server::log_store::LogStore;
use control_state::command::{Command, CommandRequest};
use direct::empty_beat;
use fleet_common::rpc::{Request, Response};
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// An operator's patience, and what may be used of it before the answer has to be on its way.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);
const PROMPT: Duration = Duration::from_millis(500);

struct Alone {
    driver: ReplicaHandle,
    folder: PathBuf,
}

impl Drop for Alone {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The replica with this id of a founded chain of three; nobody answers for the others.
fn one_of_three(name: &str, id: u32, nodes: [&str; 3]) -> Alone {
    let folder = std::env::temp_dir().join(format!("coursebend-silent-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let cores: Vec<MemberAddress> = (1..)
        .zip(nodes)
        .map(|(id, node)| MemberAddress { id, peers: "127.0.0.1:1".into(), nodes: node.into(), operators: "".into() })
        .collect();
    assert_eq!(View::founding(cores.clone(), 1).chain.items().len(), 3);
    let (path, known) = (folder.clone(), cores.clone());
    let disk = ReopeningStore::open(
        UnusableLog::Fail,
        Box::new(move || {
            let files = LocalDirectory::open(&path)?;
            LogStore::open(Box::new(files), Some(1), &known).map(|(store, found)| (Box::new(store) as _, found))
        }),
    );
    let make = move |now: Duration, found: RecoveredDisk| {
        let incarnation = found.hard_state.as_ref().unwrap().incarnation;
        ControlReplica::start(now, Member { id, incarnation }, cores.clone(), found)
    };
    let (polls, _) = crossbeam::channel::bounded(4);
    Alone { driver: start(disk.unwrap(), Box::new(make), polls), folder }
}

fn command() -> Request {
    CommandRequest::internal(Command::ReleaseWeights { model: "m".into(), version: 2 }).to_request().unwrap()
}

fn took(ask: impl FnOnce()) -> Duration {
    let begun = Instant::now();
    ask();
    begun.elapsed()
}

#[test]
fn a_replica_that_hears_no_majority_says_so_within_half_a_second() {
    let unreachable = "127.0.0.1:1";
    let alone = one_of_three("reads", 3, [unreachable; 3]);
    for ask in [Request::Query("configuration".into()), command()] {
        let wait = took(|| {
            let answer = alone.driver.request_any(ask.clone(), OPERATOR_PATIENCE);
            assert!(!matches!(answer, Ok(Response::Json(_))), "nothing may be confirmed or read here: {answer:?}");
        });
        assert!(wait < PROMPT, "{wait:?}");
    }
}

#[test]
fn a_head_that_hears_no_majority_gives_up_what_it_was_sent_inside_an_operators_patience() {
    let alone = one_of_three("head", 1, ["127.0.0.1:1"; 3]);
    let wait = took(|| {
        let answer = alone.driver.request_any(command(), Duration::from_secs(5));
        assert!(!matches!(answer, Ok(Response::Json(_))), "it cannot be committed: {answer:?}");
    });
    assert!(wait < OPERATOR_PATIENCE, "{wait:?}");
}

#[test]
fn a_head_that_takes_the_call_and_falls_silent_is_not_waited_for() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = silent.local_addr().unwrap().to_string();
    let alone = one_of_three("silent", 3, [&at, "127.0.0.1:1", "127.0.0.1:1"]);
    // The chain is heard well, so that the call is passed on to its head.
    for from in [1, 2] {
        alone.driver.receive(PeerMessage { from, incarnation: 1, message: empty_beat(1, true) });
    }
    let wait = took(|| {
        let answer = alone.driver.request_any(command(), OPERATOR_PATIENCE);
        assert!(!matches!(answer, Ok(Response::Json(_))), "{answer:?}");
    });
    assert!(wait < OPERATOR_PATIENCE + Duration::from_millis(100), "{wait:?}");
}
