//! Control machines that are replaced: a node goes on with those that it learned of, whatever it needs them for.
use chain_replication::view::MemberAddress;
use control_server::disk_thread::UnusableLog;
use control_server::event_loop::ReplicaHandle;
use control_server::listing::ReplicaLister;
use control_state::command::{Command, CommandRequest, ReplicaInfo};
use control_state::fleet_config::FleetConfig;
use fleet_common::node::Identity;
use fleet_common::rpc::Response;
use fleet_common::{Rcu, json};
use prefix_index::{HttpReplicaClient, SUPERSEDED_WEIGHTS_BOUND, StartOptions};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(30);
const LOOK_EVERY: Duration = Duration::from_millis(10);
const CONFIG: &str = r#"{"tenants":{"t1":{"wall":"shared"}},"models":{"m1":{"weights":"w1"}},"kinds":{},"ways":[]}"#;
/// Where nobody listens.
const NOBODY: &str = "127.0.0.1:1";

struct OneReplica;

impl ReplicaLister for OneReplica {
    fn list(&self) -> Result<Vec<ReplicaInfo>, String> {
        let (id, model) = ("r1".to_string(), "m1".to_string());
        Ok(vec![ReplicaInfo { id, at: NOBODY.into(), model, zone: "a".into(), ..ReplicaInfo::default() }])
    }
}

fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let ((_open, tick), begun) = (channel::<()>(), Instant::now());
    while !condition() {
        assert!(begun.elapsed() < BOUND, "{what}");
        let _ = tick.recv_timeout(LOOK_EVERY);
    }
}

/// A control replica alone, and where nodes reach it.
fn control() -> (Arc<ReplicaHandle>, SocketAddr) {
    let (peers, nodes) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let at = nodes.local_addr().unwrap();
    let address = MemberAddress {
        id: 1,
        peers: peers.local_addr().unwrap().to_string().into(),
        nodes: at.to_string().into(),
        operators: "".into(),
    };
    let data = std::env::temp_dir().join(format!("coursebend-members-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&data);
    let driver = control_server::start(control_server::StartOptions {
        seeds: vec![address.clone()],
        address,
        found_cluster: true,
        self_registering: false,
        data,
        tolerance: 0,
        unusable_log: UnusableLog::Fail,
        lister: Box::new(OneReplica),
        peer_listener: peers,
        node_listener: nodes,
    });
    (driver.unwrap(), at)
}

/// Guards against review/5: the link for commands knew the seeds alone, so that a node whose seeds were replaced could pull,
/// and neither take nor give up an assignment.
#[test]
fn commands_reach_a_control_member_that_only_pulls_told_of() {
    let (driver, control_at) = control();
    let config = FleetConfig::parse(&json::root(CONFIG.as_bytes()).unwrap()).unwrap();
    let ask = CommandRequest::internal(Command::ReplaceFleetConfig { config }).to_request().unwrap();
    until("configured", || matches!(driver.request_any(ask.clone(), BOUND), Ok(Response::Json(_))));
    let seeds = Arc::new(Rcu::new(vec![control_at]));
    let frames = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = frames.local_addr().unwrap().to_string();
    let identity = Identity { name: "i1".into(), kind: "index", incarnation: 1, address, zone: "a".into() };
    let service = prefix_index::start(StartOptions {
        identity,
        seeds: seeds.clone(),
        frames,
        replicas: Arc::new(HttpReplicaClient),
        superseded_weights_bound: SUPERSEDED_WEIGHTS_BOUND.into(),
    });
    let pulling = service.clone();
    std::thread::spawn(move || prefix_index::pull_forever(&pulling));
    until("the node holds a lease", || service.index_node().has_valid_lease());
    seeds.update(|seeds| *seeds = vec![NOBODY.parse().unwrap()]);
    until("the replica is assigned to the node", || service.index_node().owned_fencing_token("r1").is_some());
}
