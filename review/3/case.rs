//! Case 3: a router judges requests on kept connections by the limits of a configuration that holds no more.
#[path = "../stand-ins/fleet.rs"]
mod fleet;

use fleet::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CORES: usize = 4;
const EDGES: usize = 3;
const REPLICAS: usize = 6;
const KEPT_CONNECTIONS: usize = 60;
/// The limits before and after the change. The second is that of the small sites.
const FORMER_BODY_BYTES: usize = 65_536;
const BODY_BYTES: usize = 4_194_304;
/// The largest body that the sheets of the small sites name.
const LARGE_BODY: usize = 100_000;
/// `apply_ms`, and a second more.
const AFTER_ACKNOWLEDGEMENT: Duration = Duration::from_millis(3000);
const CLIENT_WAITS: Duration = Duration::from_secs(8);
/// The bound of DENIED: so many, and one in so many requests.
const DENIED_FREE: f64 = 5.0;
const DENIED_ONE_IN: f64 = 500.0;

fn configuration(revision: u64, body_bytes: usize) -> String {
    format!(
        "{{\"revision\":{revision},\"routes\":[{{\"name\":\"r-alpha\",\"hostname\":\"h.example\",\"path_prefix\":\"/alpha/\",\"type\":\"unsafe\",\
         \"timeout_ms\":8000,\"target_ms\":600,\"rank\":1,\"backend\":\"alpha\",\"tries\":2,\"public\":false}}],\"backends\":[{{\"name\":\"alpha\",\
         \"health_path\":\"/health\",\"max_conns\":630,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":{body_bytes},\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"t1\",\
         \"api_keys\":[\"key1\"],\"rank\":1}}]}}"
    )
}

fn serve_replica(listed: &Listed, runs: &Arc<AtomicU64>) {
    let (listed, runs) = (listed.clone(), runs.clone());
    serve(listed.address, move |stream| {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reading = BufReader::new(reading);
        while let Some(request) = read_message(&mut reading) {
            let id = request.header("attempt-id");
            if request.header("target-replica") != listed.id {
                respond(&stream, 421, &format!("Attempt-Id: {id}\r\nNot-Run: 1\r\n"), "");
                continue;
            }
            runs.fetch_add(1, Ordering::Relaxed);
            let body = format!("ran {} bytes", request.body.len());
            if !respond(&stream, 200, &format!("Attempt-Id: {id}\r\nServer-Seal: {}.{id}\r\n", listed.id), &body) {
                return;
            }
        }
    });
}

/// A client's kept connection.
struct Connection {
    edge: usize,
    writing: TcpStream,
    reading: BufReader<TcpStream>,
}

impl Connection {
    fn open(at: SocketAddr, edge: usize) -> Connection {
        let stream =
            TcpStream::connect_timeout(&at, Duration::from_secs(1)).unwrap_or_else(|e| fail_to_run(&e.to_string()));
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(CLIENT_WAITS));
        let writing = stream.try_clone().unwrap_or_else(|e| fail_to_run(&e.to_string()));
        Connection { edge, writing, reading: BufReader::new(stream) }
    }

    /// Sends a request with a body of so many bytes; the status of its answer, 0 without one.
    fn request(&mut self, id: &str, body_bytes: usize) -> u16 {
        let head = format!(
            "POST /alpha/order HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 8000\r\nCredential: key1\r\nContent-Length: {body_bytes}\r\n\r\n"
        );
        let mut text = head.into_bytes();
        text.resize(text.len() + body_bytes, b'x');
        // A router that rejects the head may stop reading: its answer counts all the same.
        let _ = self.writing.write_all(&text);
        read_message(&mut self.reading).map_or(0, |answer| answer.status())
    }
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new("review/3/record.txt"));
    let (subnet, folder) = (Subnet::take(), Folder::new());
    let runs = Arc::new(AtomicU64::new(0));
    let mut random = Random::new(seed_of_now());
    let rows: Vec<Listed> = (0..REPLICAS)
        .map(|number| Listed {
            id: format!("i-{:08x}", random.next() as u32),
            service: "alpha".into(),
            address: subnet.at(60 + number as u8, REPLICA_PORT),
            zone: format!("zone-{}", number % 4),
            capacity: 8,
            is_draining: false,
            models: Vec::new(),
        })
        .collect();
    rows.iter().for_each(|listed| serve_replica(listed, &runs));
    serve_list(subnet.list(), Arc::new(Mutex::new(rows)));
    let mut machines: Vec<Machine> =
        (0..CORES).map(|core| Machine::new(&subnet, Class::Core, core, &folder.0)).collect();
    machines.extend((0..EDGES).map(|edge| Machine::new(&subnet, Class::Edge, edge, &folder.0)));
    machines.iter_mut().for_each(|machine| machine.start(true));
    let cores: Vec<SocketAddr> = (0..CORES).map(|core| subnet.control(core)).collect();
    let configure = |over: u64, revision: u64, body_bytes: usize| {
        let text = configuration(revision, body_bytes);
        let status = operator_call(
            &cores,
            "/-/Config.Replace",
            &format!("Based-On: {over}\r\n"),
            &text,
            Duration::from_secs(20),
        );
        record.both(&format!("Config.Replace, revision {revision} over {over}, max_body_bytes {body_bytes}: {status}"));
        if status != 200 {
            fail_to_run("a configuration was not acknowledged");
        }
    };
    // Without the disruption the limit is the larger one from the start.
    configure(0, 3, if trouble { FORMER_BODY_BYTES } else { BODY_BYTES });
    for edge in 0..EDGES {
        wait_until("the routers are ready", Duration::from_secs(20), || is_ready(subnet.ready(edge)));
    }
    std::thread::sleep(Duration::from_secs(4));
    let (mut requests, mut denied, mut denied_on_new, mut served) = (0u64, 0u64, 0u64, 0u64);
    let mut count = |what: &str, id: &str, edge: usize, bytes: usize, status: u16, is_new: bool| {
        record.line(&format!("{what}: {id}, edge {edge}, body of {bytes} bytes: {status}"));
        requests += 1;
        served += u64::from(status == 200);
        let is_denied = (300..500).contains(&status) && ![408, 421, 429].contains(&status);
        denied += u64::from(is_denied);
        denied_on_new += u64::from(is_denied && is_new);
        (requests, denied, denied_on_new, served)
    };
    let mut kept: Vec<Connection> =
        (0..KEPT_CONNECTIONS).map(|number| Connection::open(subnet.front(number % EDGES), number % EDGES)).collect();
    for (number, connection) in kept.iter_mut().enumerate() {
        let id = format!("first-{number}");
        let status = connection.request(&id, 1000);
        count("first request of a kept connection", &id, connection.edge, 1000, status, false);
    }
    if trouble {
        configure(3, 5, BODY_BYTES);
    }
    std::thread::sleep(AFTER_ACKNOWLEDGEMENT);
    for number in 0..EDGES * 2 {
        let id = format!("new-{number}");
        let edge = number % EDGES;
        let status = Connection::open(subnet.front(edge), edge).request(&id, LARGE_BODY);
        count("request on a new connection", &id, edge, LARGE_BODY, status, true);
    }
    let mut totals = (0, 0, 0, 0);
    for (number, connection) in kept.iter_mut().enumerate() {
        let id = format!("second-{number}");
        let status = connection.request(&id, LARGE_BODY);
        totals = count("second request of a kept connection", &id, connection.edge, LARGE_BODY, status, false);
    }
    let (requests, denied, denied_on_new, served) = totals;
    let allowed = DENIED_FREE + requests as f64 / DENIED_ONE_IN;
    record.both(&format!(
        "{requests} requests, {served} served, {} runs; {denied} ended with a 4xx of the router's own ({denied_on_new} of them on new connections); {allowed:.1} are allowed",
        runs.load(Ordering::Relaxed)
    ));
    drop(machines);
    drop(folder);
    if served < KEPT_CONNECTIONS as u64 || denied_on_new > 0 {
        fail_to_run("the fleet did not serve, or the configuration was not in force on new connections");
    }
    std::process::exit(if denied as f64 > allowed { 1 } else { 0 })
}
