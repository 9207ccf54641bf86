//! The program's pages with one replica assigned to it, and what `--check` prints.
use crate::golden_file::compare;
use chain_replication::view::MemberAddress;
use control_server::event_loop::ReplicaHandle;
use control_server::listing::ReplicaLister;
use control_state::command::{Command as ControlCommand, CommandRequest, ReplicaInfo};
use control_state::fleet_config::FleetConfig;
use fleet_common::rpc::Response;
use fleet_common::{http_client, http_server, json};
use local_fleet::ports::Ports;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_prefix-index");
const BOUND: Duration = Duration::from_secs(60);
const CALL_BOUND: Duration = Duration::from_secs(10);
const BLUEPRINT: &str = r#"{"tenants":{"t1":{"wall":"shared"}},"models":{"m1":{"weights":"w1"}},"kinds":{},"ways":[]}"#;
const EVENTS: &str = r#"{"incarnation":"inc","weights":"w1","load":2,"next":2,"events":[{"seq":1,"event":{"type":"BlockStored","block_hashes":["1","2"],"parent_block_hash":null,"block_size":64}}]}"#;
const NO_EVENTS: &str = r#"{"incarnation":"inc","weights":"w1","load":2,"next":2,"events":[]}"#;

struct OneReplica(SocketAddr);

impl ReplicaLister for OneReplica {
    fn list(&self) -> Result<Vec<ReplicaInfo>, String> {
        Ok(vec![ReplicaInfo {
            id: "r1".into(),
            at: self.0.to_string(),
            model: "m1".into(),
            zone: "a".into(),
            ..ReplicaInfo::default()
        }])
    }
}

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// A replica whose cache holds two blocks.
fn replica() -> SocketAddr {
    let listener = listen();
    let at = listener.local_addr().unwrap();
    http_server::serve(listener, 4, |incoming| {
        let known = incoming.query.contains("incarnation=inc") && !incoming.query.contains("from=1&");
        incoming.respond_json(200, if known { NO_EVENTS } else { EVENTS }, vec![]);
    })
    .unwrap();
    at
}

/// A control replica that is alone, with a configuration and one listed replica; gives where nodes reach it.
fn control(data: std::path::PathBuf) -> (Arc<ReplicaHandle>, String) {
    let (chain, node) = (listen(), listen());
    let at = |listener: &TcpListener| listener.local_addr().unwrap().to_string();
    let reached = at(&node);
    let me = MemberAddress { id: 1, peers: at(&chain).into(), nodes: reached.clone().into(), operators: "".into() };
    let listing = Box::new(OneReplica(replica()));
    let seeds = vec![me.clone()];
    let start = control_server::StartOptions {
        address: me,
        seeds,
        found_cluster: true,
        self_registering: false,
        data,
        tolerance: 0,
        unusable_log: control_server::disk_thread::UnusableLog::Fail,
        lister: listing,
        peer_listener: chain,
        node_listener: node,
    };
    let driver = control_server::start(start).unwrap();
    let blueprint = FleetConfig::parse(&json::root(BLUEPRINT.as_bytes()).unwrap()).unwrap();
    let ask = CommandRequest::internal(ControlCommand::ReplaceFleetConfig { config: blueprint }).to_request().unwrap();
    let started = Instant::now();
    while !matches!(driver.request_any(ask.clone(), CALL_BOUND), Ok(Response::Json(_))) {
        assert!(started.elapsed() < BOUND);
    }
    (driver, reached)
}

/// Puts N in place of every number that follows a blank or a colon: counts differ from run to run.
fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    let mut number = false;
    for letter in text.chars() {
        let digit = letter.is_ascii_digit();
        match (number, digit, out.ends_with([' ', ':'])) {
            (true, true, _) => continue,
            (false, true, true) => {
                out.push('N');
                number = true;
            }
            _ => {
                out.push(letter);
                number = false;
            }
        }
    }
    out
}

#[test]
fn pages_have_the_names_they_had() {
    let data = std::env::temp_dir().join(format!("coursebend-golden-index-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&data);
    let (_driver, seed) = control(data.clone());
    let (frames, pages) = (Ports.next(), Ports.next());
    let mut command = Command::new(PROGRAM);
    command.args(["--set", "name=i1", "--set", "district=a", "--set", &format!("listen={frames}")]);
    command.args(["--set", &format!("http={pages}"), "--set", &format!("seeds={seed}")]);
    let _program = Program(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
    let get =
        |page: &str| http_client::json("GET", &format!("http://{pages}{page}"), "", CALL_BOUND).unwrap_or_default();
    let started = Instant::now();
    while !get("/self").contains("\"role\":\"holder\"") || !get("/metrics").contains("index_blocks{replica=\"r1\"} 2\n")
    {
        assert!(started.elapsed() < BOUND, "{} {}", get("/self"), get("/metrics"));
    }
    compare("self.txt", &(without_numbers(&get("/self")) + "\n"));
    compare("metrics.txt", &without_numbers(&get("/metrics")));
    compare("health.json", &get("/health"));
    let (status, body) = http_client::send("GET", &format!("http://{pages}/odd"), &[], &[], CALL_BOUND).unwrap();
    compare("no_such_page.txt", &format!("{status} {}\n", String::from_utf8(body).unwrap()));
    let _ = std::fs::remove_dir_all(&data);
}

fn check(settings: &[&str]) -> String {
    let mut command = Command::new(PROGRAM);
    command.arg("--check");
    settings.iter().for_each(|setting| _ = command.args(["--set", setting]));
    let output = command.output().unwrap();
    let (out, errors) = (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    format!("{settings:?}\nexit {}\n{out}{errors}", output.status.code().unwrap())
}

#[test]
fn check_prints_what_it_printed() {
    let whole = ["name=i1", "district=a", "listen=127.0.0.1:1", "http=127.0.0.1:2", "seeds=127.0.0.1:3,127.0.0.1:4"];
    let cases = [check(&whole), check(&["name=i1", "listen=odd", "seeds=,", "other=1"]), check(&[])];
    compare("check.txt", &cases.concat());
}
