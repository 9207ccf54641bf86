//! The HTTP edges' traps, shown with a caller that sees bytes.
use crossbeam::channel::bounded;
use fleet_common::cancellable_http::{self, CancelHandle};
use fleet_common::{http_client, http_server};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

fn ask(at: std::net::SocketAddr, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(format!("{head}\r\nHost: x\r\nContent-Length: 0\r\n\r\n").as_bytes()).unwrap();
    stream
}

fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut seen = Vec::new();
    let mut byte = [0u8; 1];
    while !seen.ends_with(end.as_bytes()) && stream.read(&mut byte).unwrap() == 1 {
        seen.push(byte[0]);
    }
    String::from_utf8(seen).unwrap()
}

#[test]
fn a_piece_arrives_before_the_next_is_sent_and_a_cut_closes_the_stream() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (go, wait) = bounded::<()>(1);
    http_server::serve(listener, 4, move |incoming| {
        let mut pieces = incoming.respond_chunked(200, vec![]).unwrap();
        pieces.send(b"one").unwrap();
        wait.recv().unwrap();
        pieces.send(b"two").unwrap();
    })
    .unwrap();
    let mut stream = ask(at, "POST / HTTP/1.1");
    assert!(read_until(&mut stream, "3\r\none\r\n").ends_with("3\r\none\r\n"));
    go.send(()).unwrap();
    let mut rest = String::new();
    stream.read_to_string(&mut rest).expect("the stream is closed, not left open");
    assert_eq!(rest, "3\r\ntwo\r\n", "no end chunk may follow a cut");
}

#[test]
fn a_whole_answer_ends_and_its_stream_serves_on() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    http_server::serve(listener, 4, |incoming| {
        let mut pieces = incoming.respond_chunked(200, vec![("X-A", "b\r\nc".into())]).unwrap();
        pieces.send(b"one").unwrap();
        pieces.end().unwrap();
    })
    .unwrap();
    let mut stream = ask(at, "POST / HTTP/1.1");
    let first = read_until(&mut stream, "0\r\n\r\n");
    assert!(first.contains("X-A: b  c\r\n") && first.ends_with("3\r\none\r\n0\r\n\r\n"), "{first}");
    stream.write_all(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(read_until(&mut stream, "0\r\n\r\n").ends_with("3\r\none\r\n0\r\n\r\n"));
}

#[test]
fn a_body_shorter_than_stated_is_a_mishap() {
    let answers: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc",
    ];
    for answer in answers {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let server = std::thread::spawn(move || {
            for _ in 0..2 {
                let mut stream = listener.accept().unwrap().0;
                let _ = stream.read(&mut [0; 4096]);
                stream.write_all(answer).unwrap();
            }
        });
        let cut = cancellable_http::open(
            "GET",
            &format!("http://{at}/"),
            &[],
            &[],
            Arc::new(|| true),
            &CancelHandle::default(),
        );
        let whole = cut.map(|mut opened| opened.body.read_to_end(&mut Vec::new()));
        assert!(!matches!(whole, Ok(Ok(_))), "{:?} passed as whole", String::from_utf8_lossy(answer));
        let result = http_client::send("GET", &format!("http://{at}/"), &[], &[], Duration::from_secs(5));
        assert!(result.is_err(), "{:?} passed as whole", String::from_utf8_lossy(answer));
        server.join().unwrap();
    }
}

#[test]
fn broken_frames_close_their_stream_and_no_more() {
    use fleet_common::{Text, frame};
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    frame::serve(listener, |ask: Text| Some(ask));
    let good = frame::pack(&Text::from("hello")).unwrap();
    let mut damaged = good.clone();
    *damaged.last_mut().unwrap() ^= 1;
    let huge = [u32::MAX.to_le_bytes(), [0; 4]].concat();
    let lying = {
        // A list whose count promises more than the frame holds.
        let mut body = u32::MAX.to_le_bytes().to_vec();
        body.extend_from_slice(b"x");
        let sum = fleet_common::hash::bytes(3, &body) as u32;
        [&(body.len() as u32).to_le_bytes()[..], &sum.to_le_bytes(), &body].concat()
    };
    for bad in [damaged, huge, lying, b"GET / HTTP/1.1\r\n\r\n".to_vec()] {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(&bad).unwrap();
        // The server may have reset the connection by now, which ends it as well.
        if let Err(error) = stream.shutdown(std::net::Shutdown::Write) {
            assert_eq!(error.kind(), std::io::ErrorKind::NotConnected);
        }
        let mut rest = Vec::new();
        // Closed cleanly or reset: either way without an answer.
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty());
    }
    let mut caller = frame::Client::new(at, Duration::from_secs(5));
    assert_eq!(caller.call::<Text, Text>(&Text::from("still here")).unwrap().as_str(), "still here");
}

#[test]
fn a_caller_that_stalls_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (told, heard) = bounded::<std::io::Result<()>>(1);
    http_server::serve(listener, 4, move |incoming| {
        let mut pieces = incoming.respond_chunked(200, vec![]).unwrap();
        let piece = vec![b'x'; 1 << 20];
        let sent = (0..200).try_for_each(|_| pieces.send(&piece));
        told.send(sent).unwrap();
    })
    .unwrap();
    // One sends half of its body and stops; one takes nothing of its answer.
    let mut half = TcpStream::connect(at).unwrap();
    half.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    half.write_all(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\nabc").unwrap();
    let deaf = ask(at, "POST / HTTP/1.1");
    assert!(read_until(&mut half, "cut short").starts_with("HTTP/1.1 400"));
    let sent = heard.recv_timeout(Duration::from_secs(60)).expect("the worker is stuck");
    assert!(sent.is_err());
    drop(deaf);
}

/// A peer that says nothing: the one who asked is let go the moment its stream is shut, and the
/// peer sees the end of it.
#[test]
fn a_shut_stream_ends_for_both_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let shutter = CancelHandle::default();
    let (held, url) = (shutter.clone(), format!("http://{at}/"));
    let asker = std::thread::spawn(move || {
        cancellable_http::open("POST", &url, &[], b"x", Arc::new(|| true), &held).map(|_| ()).unwrap_err()
    });
    let mut stream = listener.accept().unwrap().0;
    let mut seen = Vec::new();
    while !seen.ends_with(b"x") {
        let mut byte = [0u8; 1];
        stream.read_exact(&mut byte).unwrap();
        seen.push(byte[0]);
    }
    shutter.cancel();
    assert!(!matches!(stream.read(&mut [0; 8]), Ok(1..)), "the peer sees the end");
    assert_eq!(asker.join().unwrap().step, fleet_common::Step::Receive);
}

/// A gate that closes at any moment up to the last byte: nothing whole is sent.
#[test]
fn nothing_whole_goes_through_a_gate_that_closes() {
    let body = vec![b'x'; 1 << 20];
    for open_for in 0..6 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let peer = std::thread::spawn(move || {
            let mut seen = Vec::new();
            let Ok((mut stream, _)) = listener.accept() else { return seen };
            let _ = stream.read_to_end(&mut seen);
            seen
        });
        let asked = Arc::new(AtomicUsize::new(0));
        let gate = move || asked.fetch_add(1, Ordering::AcqRel) < open_for;
        let shutter = CancelHandle::default();
        let sent = cancellable_http::open("POST", &format!("http://{at}/"), &[], &body, Arc::new(gate), &shutter);
        assert!(sent.is_err());
        drop(sent);
        let _ = TcpStream::connect(at);
        shutter.cancel();
        let seen = peer.join().unwrap();
        assert!(seen.len() < body.len(), "{open_for}: {} bytes came", seen.len());
        assert_eq!(shutter.started(), open_for > 1, "{open_for}");
    }
}
