//! One command of every kind, as a log holds them.
use control_state::command::{ClaimStatus, Command, CommandRequest, NodeInfo, ReplicaInfo};
use control_state::fleet_config::FleetConfig;
use control_state::route_config::{Change, RouteConfig, RouteConfigPatch};
use fleet_common::json;

const BLUEPRINT: &str = r#"{"tenants":{"t1":{"wall":"apart","share":3},"t2":{"wall":"shared"}},
"models":{"m1":{"weights":"w1","prefillUsPerBlock":3000}},"kinds":{"chat":{"urgency":5,"budgetMs":9000}},
"ways":[{"path":"/v1","to":"model"},{"path":"/","to":"app"}]}"#;

fn blueprint() -> FleetConfig {
    FleetConfig::parse(&json::root(BLUEPRINT.as_bytes()).unwrap()).unwrap()
}

fn replica(id: &str, leaving: bool) -> ReplicaInfo {
    ReplicaInfo {
        id: id.into(),
        at: "127.0.0.1:9".into(),
        model: "m1".into(),
        other_models: Vec::new(),
        zone: "a".into(),
        leaving,
        service: "s".into(),
        slots: 4,
    }
}

fn claim(key: &str) -> Command {
    Command::Claim { tenant: "t1".into(), key: key.into(), edge: "e1".into(), request: "q1".into() }
}

fn settle(key: &str, ran: ClaimStatus) -> Command {
    Command::CompleteClaim { tenant: "t1".into(), key: key.into(), request: "q1".into(), status: ran }
}

/// In the order of the log. The key prints are those of the keys `key-1` and `key-2`.
pub fn envelopes() -> Vec<CommandRequest> {
    let print = fleet_common::hash::key_digest;
    let node = NodeInfo { kind: "index".into(), incarnation: 5, at: "127.0.0.1:8".into(), zone: "a".into() };
    let edge = NodeInfo { kind: "edge".into(), ..node.clone() };
    let whole = RouteConfig { revision: 4, ..RouteConfig::default() };
    let named = RouteConfigPatch { revision: 5, drop_tenants: vec!["t9".into()], ..RouteConfigPatch::default() };
    let commands = vec![
        Command::ReplaceFleetConfig { config: blueprint() },
        Command::AddKey { key: print("key-1"), tenant: "t1".into() },
        Command::AddKey { key: print("key-2"), tenant: "t2".into() },
        Command::WithdrawKey { key: print("key-2") },
        Command::SetModelWeights { model: "m1".into(), weights: "w2".into() },
        Command::RestorePrevious,
        Command::ReplaceReplicas { replicas: vec![replica("r1", false), replica("r2", true)] },
        Command::Join { node: "i1".into(), info: node },
        Command::Join { node: "e1".into(), info: edge },
        Command::TakeAssignment { replica: "r1".into(), node: "i1".into() },
        Command::ReleaseAssignment { replica: "r1".into(), node: "i1".into(), fencing_token: 1 },
        Command::Claim { tenant: "t1".into(), key: "k0".into(), edge: "e1".into(), request: "q0".into() },
        claim("k1"),
        settle("k1", ClaimStatus::Claimed),
        settle("k1", ClaimStatus::Done),
        claim("k2"),
        settle("k2", ClaimStatus::Unknown),
        claim("k3"),
        settle("k3", ClaimStatus::NotExecuted),
        Command::MinutePassed,
        Command::ReleaseWeights { model: "m2".into(), version: 2 },
        Command::ChangeRouteConfig { over: 0, change: Change::Replace(Box::new(whole)) },
        Command::ChangeRouteConfig { over: 4, change: Change::Patch(Box::new(named)) },
        Command::ExpireLease { node: "i1".into(), incarnation: 5 },
    ];
    let envelope = |(number, command)| CommandRequest { id: format!("c{number}"), expected_version: None, command };
    (1..).zip(commands).map(envelope).collect()
}
