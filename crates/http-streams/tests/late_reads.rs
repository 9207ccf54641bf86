//! A replica that sends without a pause is not read beyond the deadline for long.
use http_streams::outbound::{Outbound, ResponsePart};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(30);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// The bound on reads after the deadline, and one that may have begun before it.
const MAX_LATE_PARTS: usize = 17;

/// A replica that answers a request with `head`, and then sends `piece` until nobody reads any more.
fn flood(head: &'static [u8], piece: Vec<u8>) -> (Outbound, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut outbound = Outbound::connect(listener.local_addr().unwrap(), PATIENCE).unwrap();
    let mut stream: TcpStream = listener.accept().unwrap().0;
    outbound.send("GET", REQUEST).unwrap();
    let replica = std::thread::spawn(move || {
        stream.read_exact(&mut [0; REQUEST.len()]).unwrap();
        stream.write_all(head).unwrap();
        while stream.write_all(&piece).is_ok() {}
    });
    (outbound, replica)
}

#[test]
fn a_body_without_end_is_left_at_the_deadline() {
    let mut piece = b"4000\r\n".to_vec();
    piece.resize(piece.len() + 0x4000, b'x');
    piece.extend_from_slice(b"\r\n");
    let (mut outbound, replica) = flood(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece);
    let head = outbound.head(None, Instant::now() + PATIENCE);
    assert!(matches!(head, ResponsePart::Head(_)), "{head:?}");
    let deadline = Instant::now() + Duration::from_millis(100);
    let (mut parts, mut late_parts) = (0, 0);
    let end = loop {
        match outbound.body(None, deadline) {
            ResponsePart::Body(_) if Instant::now() >= deadline => late_parts += 1,
            ResponsePart::Body(_) => parts += 1,
            other => break other,
        }
    };
    assert_eq!(end, ResponsePart::TimedOut, "after {parts} parts in time and {late_parts} late");
    assert!(late_parts <= MAX_LATE_PARTS, "{late_parts} parts came after the deadline");
    assert_eq!(outbound.body(None, deadline), ResponsePart::TimedOut, "and no more of it");
    outbound.close_with_reset();
    replica.join().unwrap();
}

#[test]
fn a_response_that_had_arrived_by_its_deadline_is_taken() {
    let body = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut outbound = Outbound::connect(listener.local_addr().unwrap(), PATIENCE).unwrap();
    let mut replica = listener.accept().unwrap().0;
    outbound.send("GET", REQUEST).unwrap();
    replica.write_all(body).unwrap();
    while http_streams::wait::is_idle(outbound.socket()) {
        std::thread::yield_now();
    }
    let passed = Instant::now();
    assert!(matches!(outbound.head(None, passed), ResponsePart::Head(head) if head.status == 200));
    assert_eq!(outbound.body(None, passed), ResponsePart::Body(b"hello".to_vec()));
    assert_eq!(outbound.body(None, passed), ResponsePart::Complete);
    assert!(outbound.is_reusable());
}
