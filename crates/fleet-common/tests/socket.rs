//! Connections that have the very address at which somebody is to listen.
use fleet_common::socket;
use std::net::TcpListener;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(30);

#[test]
fn a_connection_does_not_keep_a_listener_from_its_own_address() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = socket::connect(server.local_addr().unwrap(), BOUND).unwrap();
    let accepted = server.accept().unwrap();
    let at = connection.local_addr().unwrap();
    let listener = TcpListener::bind(at).unwrap();
    assert_eq!(listener.local_addr().unwrap(), at);
    drop(accepted);
}
