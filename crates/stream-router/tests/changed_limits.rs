//! Limits on clients that change while kept connections wait for their next request.
#[allow(dead_code)]
#[path = "golden/replica.rs"]
mod replica;
#[allow(dead_code)]
#[path = "golden/router.rs"]
mod router;

use control_state::route_config::RouteConfig;
use fleet_common::rpc::{self, SourceUpdate};
use http_streams::wait::{WaitOutcome, wait_readable};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use stream_router::agent_client::AgentFollower;
use stream_router::phases;
use stream_router::state::RouterState;

const SMALL_BODY: usize = 64;
const LARGE_BODY: usize = 4096;
const LONG_IDLE: Duration = Duration::from_secs(60);
const CONNECTIONS: usize = 20;
const BOUND: Duration = Duration::from_secs(20);

/// A change of the limits as a pull of the agent brings it.
fn set_limits(router: &RouterState, body_bytes: usize, idle: Duration) {
    let mut configuration: RouteConfig = (**router.fleet.read().route_config.as_ref().unwrap()).clone();
    configuration.bounds.value.body_bytes = body_bytes as u64;
    configuration.bounds.value.idle_ms = idle.as_millis() as u64;
    let version = router.fleet.read().versions[rpc::ROUTE_CONFIG] + 1;
    let value = fleet_common::json::to_text(&configuration).into_bytes().into();
    let update = SourceUpdate { source: rpc::ROUTE_CONFIG as u8, version, value };
    assert!(router.fleet.update(|fleet| fleet.apply_all(&[update])));
    router.fleet_changed();
}

/// A client's connection, served by a thread of its own.
fn connect(router: &Arc<RouterState>) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(BOUND)).unwrap();
    let (router, stream) = (router.clone(), listener.accept().unwrap().0);
    std::thread::spawn(move || phases::serve_connection(&router, stream));
    client
}

/// The status that a request gets; no route leads anywhere, so that one within the limits is answered 404.
fn status_of_request(client: &mut TcpStream, body_bytes: usize) -> u16 {
    let head = format!("POST /nowhere/ HTTP/1.1\r\nHost: h.example\r\nId: q\r\nContent-Length: {body_bytes}\r\n\r\n");
    client.write_all(head.as_bytes()).unwrap();
    // The answer to a body that is too large may come before all of it was sent.
    let _ = client.write_all(&vec![b'x'; body_bytes]);
    let mut answer = Vec::new();
    let mut bytes = [0; 1024];
    while !answer.ends_with(b"}") {
        match client.read(&mut bytes) {
            Ok(count) if count > 0 => answer.extend_from_slice(&bytes[..count]),
            ended => panic!("no complete answer: {ended:?} after {:?}", String::from_utf8_lossy(&answer)),
        }
    }
    String::from_utf8_lossy(&answer[9..12]).parse().unwrap()
}

/// Connections on which one request was served.
fn kept_connections(router: &Arc<RouterState>) -> Vec<TcpStream> {
    let mut all: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(router)).collect();
    for client in &mut all {
        assert_eq!(status_of_request(client, 1), 404);
    }
    all
}

/// Guards against 413 for requests that the configuration in force allows (review/3): the limits were taken before the
/// wait for the request, however long that lasted.
#[test]
fn a_request_on_a_kept_connection_is_judged_by_the_limits_in_force() {
    let router = router::configured(&[]);
    set_limits(&router, SMALL_BODY, LONG_IDLE);
    let mut clients = kept_connections(&router);
    set_limits(&router, LARGE_BODY, LONG_IDLE);
    let statuses: Vec<u16> = clients.iter_mut().map(|client| status_of_request(client, LARGE_BODY)).collect();
    assert_eq!(statuses, vec![404; CONNECTIONS], "a limit that was raised");
    set_limits(&router, SMALL_BODY, LONG_IDLE);
    let statuses: Vec<u16> = clients.iter_mut().map(|client| status_of_request(client, LARGE_BODY)).collect();
    assert_eq!(statuses, vec![413; CONNECTIONS], "a limit that was lowered");
}

/// Guards against connections that stay open by a time-out that holds no more.
#[test]
fn an_idle_connection_ends_by_the_idle_timeout_in_force() {
    let router = router::configured(&[]);
    set_limits(&router, SMALL_BODY, LONG_IDLE);
    let clients = kept_connections(&router);
    set_limits(&router, SMALL_BODY, Duration::from_millis(1));
    let until = Instant::now() + BOUND;
    for client in &clients {
        assert_eq!(wait_readable(client, None, until), WaitOutcome::Readable, "its end");
    }
}
