//! Commands as they stand in the log, and as operators send them.
use crate::golden_file::{self, Codec};
use control_state::command::{ClaimStatus, Command, CommandRequest, NodeInfo, ReplicaInfo};
use control_state::route_config::{
    Bounds, Change, Engine, Item, Items, Route, RouteConfig, RouteConfigPatch, Service, Store, Tenant,
};

/// A fleet configuration with every field filled, as an operator sends it.
pub const FLEET_CONFIGURATION: &str = concat!(
    r#"{"tenants":{"acme":{"wall":"apart","share":3},"beta":{"wall":"shared"}},"#,
    r#""models":{"m":{"weights":"w1","prefillUsPerBlock":1234},"n":{"weights":"7"}},"#,
    r#""kinds":{"chat":{"urgency":9,"budgetMs":2500}},"#,
    r#""ways":[{"path":"/v1/","to":"model"},{"path":"/app/","to":"app"}],"#,
    r#""rules":[{"name":"short","refuseWhen":"tokens > 900","say":"at most 900 tokens"}],"#,
    r#""links":{"nearUsPerBlock":11,"farUsPerBlock":22,"setupUs":33},"#,
    r#""index":{"blockBytes":32,"alpha":6,"beta":26,"bits":4096,"hashes":4},"#,
    r#""limits":{"perReplica":5,"perEdge":50,"stallMs":5000,"keepServing":55}}"#
);

/// What operators send, one of each kind.
fn operator_texts() -> Vec<(&'static str, String)> {
    let configuration = FLEET_CONFIGURATION;
    vec![
        ("blueprint", format!(r#"{{"id":"c1","expect":0,"kind":"blueprint","blueprint":{configuration}}}"#)),
        ("key_add", r#"{"id":"c2","expect":1,"kind":"key_add","key":"secret","tenant":"acme"}"#.into()),
        ("key_withdraw", r#"{"id":"c3","expect":2,"kind":"key_withdraw","key":"secret"}"#.into()),
        ("weights", r#"{"id":"c4","expect":3,"kind":"weights","model":"m","weights":"w2"}"#.into()),
        ("back", r#"{"id":"c5","expect":4,"kind":"back"}"#.into()),
    ]
}

/// The command of an operator's text.
pub fn read_operator_text(text: &str) -> CommandRequest {
    CommandRequest::parse_operator_text(text.as_bytes()).expect("an operator's command")
}

/// A command with an id that replaces any version.
pub fn request(id: &str, command: Command) -> CommandRequest {
    CommandRequest { id: id.into(), expected_version: None, command }
}

pub fn replica(id: &str) -> ReplicaInfo {
    ReplicaInfo {
        id: id.into(),
        at: "10.0.0.1:8000".into(),
        model: "m".into(),
        other_models: Vec::new(),
        zone: "zone-a".into(),
        leaving: true,
        service: "chat".into(),
        slots: 16,
    }
}

pub fn node(at: &str) -> NodeInfo {
    NodeInfo { kind: "edge".into(), incarnation: 4, at: at.into(), zone: "zone-a".into() }
}

fn items<T>(name: &str, row: T, text: &str) -> Items<T> {
    Items::from([(name.to_string(), Item { value: row, source_text: text.into() })])
}

fn route() -> Route {
    Route {
        host: "chat.example".into(),
        prefix: "/v1/".into(),
        targets: vec![("chat".into(), 3)],
        idempotent: true,
        stream: true,
        resume: true,
        max_attempts: 3,
        timeout_ms: 30_000,
        latency_target_ms: 800,
        max_gap_ms: 900,
        priority: 2,
        allows_anonymous: true,
    }
}

fn services() -> Items<Service> {
    let engine = Engine {
        slots: 8,
        cache_tokens: 100_000,
        token_bytes: 160,
        link_mbps: 10_000,
        stride: 4,
        watchers: 2,
        models: vec!["m".into()],
    };
    let store = Store {
        at: "10.0.0.9:9000".into(),
        zone: "zone-b".into(),
        cache_tokens: 500_000,
        link_mbps: 25_000,
        watchers: 3,
    };
    let chat = Service { health: "/health".into(), connections: 64, engine: Some(engine), store: None };
    let kept = Service { health: String::new(), connections: 0, engine: None, store: Some(store) };
    let mut services = items("chat", chat, "name: chat");
    services.extend(items("kept", kept, "name: kept"));
    services
}

fn tenants() -> Items<Tenant> {
    items("acme", Tenant { keys: vec!["print-1".into()], priority: Some(1), isolated: true }, "name: acme")
}

fn bounds() -> Item<Bounds> {
    let row = Bounds { header_bytes: 1000, body_bytes: 2000, header_ms: 300, idle_ms: 400 };
    Item { value: row, source_text: "header_bytes: 1000".into() }
}

/// A configuration of routes with every field filled.
pub fn whole_configuration(revision: u64) -> Change {
    Change::Replace(Box::new(RouteConfig {
        revision,
        routes: items("r", route(), "host: chat.example"),
        services: services(),
        tenants: tenants(),
        bounds: bounds(),
        requires_keys: true,
        unknown_fields: [("comment".to_string(), "kept".to_string())].into_iter().collect(),
    }))
}

/// A change of named items with every field filled.
pub fn named_items(revision: u64) -> Change {
    Change::Patch(Box::new(RouteConfigPatch {
        unknown_fields: Default::default(),
        revision,
        set_routes: items("r", Route { priority: 5, ..route() }, "rank: 5"),
        set_services: services(),
        set_tenants: tenants(),
        set_bounds: Some(bounds()),
        drop_routes: vec!["old-route".into()],
        drop_services: vec!["old-service".into()],
        drop_tenants: vec!["old-tenant".into()],
    }))
}

pub fn claim(key: &str, request: &str) -> Command {
    Command::Claim { tenant: "acme".into(), key: key.into(), edge: "e1".into(), request: request.into() }
}

pub fn settle(key: &str, request: &str, ran: ClaimStatus) -> Command {
    Command::CompleteClaim { tenant: "acme".into(), key: key.into(), request: request.into(), status: ran }
}

fn commands() -> Vec<(&'static str, CommandRequest)> {
    let mut commands: Vec<(&str, CommandRequest)> =
        operator_texts().into_iter().map(|(name, text)| (name, read_operator_text(&text))).collect();
    let internal = [
        (
            "listing",
            Command::ReplaceReplicas {
                replicas: vec![replica("r1"), ReplicaInfo { id: "r2".into(), ..ReplicaInfo::default() }],
            },
        ),
        ("join", Command::Join { node: "e1".into(), info: node("10.0.0.2:7000") }),
        ("lapse", Command::ExpireLease { node: "e1".into(), incarnation: 4 }),
        ("duty_take", Command::TakeAssignment { replica: "r1".into(), node: "i1".into() }),
        ("duty_give", Command::ReleaseAssignment { replica: "r1".into(), node: "i1".into(), fencing_token: 9 }),
        ("claim", claim("once", "q1")),
        ("settle_claimed", settle("once", "q1", ClaimStatus::Claimed)),
        ("settle_done", settle("once", "q1", ClaimStatus::Done)),
        ("settle_unknown", settle("once", "q1", ClaimStatus::Unknown)),
        ("settle_not_run", settle("once", "q1", ClaimStatus::NotExecuted)),
        ("configure_whole", Command::ChangeRouteConfig { over: 3, change: whole_configuration(4) }),
        ("configure_named", Command::ChangeRouteConfig { over: 4, change: named_items(5) }),
        ("name_weights", Command::ReleaseWeights { model: "m".into(), version: 6 }),
        ("minute", Command::MinutePassed),
    ];
    commands.extend(internal.map(|(name, command)| (name, request(&format!("id-{name}"), command))));
    commands.push(("bare", CommandRequest::internal(Command::MinutePassed)));
    commands
}

const ENVELOPE: Codec<CommandRequest> = Codec {
    encode: |envelope| String::from_utf8(envelope.encode().expect("it can be written")).expect("JSON is UTF-8"),
    decode: |text| CommandRequest::decode(text.as_bytes()).expect("it can be read"),
};

#[test]
fn commands_keep_their_stored_form() {
    let commands: Vec<(String, CommandRequest)> =
        commands().into_iter().map(|(name, envelope)| (name.to_string(), envelope)).collect();
    golden_file::check(&crate::path("commands.txt"), &commands, &ENVELOPE);
}

#[test]
fn commands_of_operators_keep_their_form() {
    let texts: Vec<(String, String)> =
        operator_texts().into_iter().map(|(name, text)| (name.to_string(), text)).collect();
    golden_file::check(&crate::path("operator-commands.txt"), &texts, &golden_file::TEXT);
    let stored = std::fs::read_to_string(crate::path("commands.txt")).unwrap();
    for (name, text) in texts {
        let line = format!("{name} {}", (ENVELOPE.encode)(&read_operator_text(&text)));
        assert!(stored.lines().any(|stored| stored == line), "{name}");
    }
}
