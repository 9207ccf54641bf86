//! Limits that change while a connection waits for a request, or for the rest of one.
use http_streams::inbound::{Inbound, Limits, LimitsSource, ReadOutcome};
use http_streams::latch::Latch;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SOON: Duration = Duration::from_millis(60);
const MINUTE: Duration = Duration::from_secs(60);
const SMALL_BODY: usize = 10;
const LARGE_BODY: usize = 100;

/// Limits that a test changes, and which tell it whenever they are asked for.
struct Changing {
    limits: Mutex<Limits>,
    latch: Mutex<Arc<Latch>>,
    asked: Mutex<Sender<()>>,
}

impl LimitsSource for Changing {
    fn limits(&self) -> Limits {
        let limits = *self.limits.lock().unwrap();
        let _ = self.asked.lock().unwrap().send(());
        limits
    }

    fn next_change(&self) -> Option<Arc<Latch>> {
        Some(self.latch.lock().unwrap().clone())
    }
}

/// A connection whose next request is read by a thread of its own.
struct Fixture {
    limits: Arc<Changing>,
    asked: Receiver<()>,
    client: TcpStream,
    outcome: Receiver<ReadOutcome>,
}

fn limits(body_bytes: usize, idle_timeout: Duration) -> Limits {
    Limits { body_bytes, idle_timeout, header_timeout: MINUTE, body_timeout: MINUTE, ..Limits::default() }
}

impl Fixture {
    fn reading(first: Limits) -> Fixture {
        let (asked_sender, asked) = channel();
        let limits =
            Arc::new(Changing { limits: Mutex::new(first), latch: Mutex::default(), asked: Mutex::new(asked_sender) });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut inbound = Inbound::new(listener.accept().unwrap().0);
        let (outcome_sender, outcome) = channel();
        let read_by = limits.clone();
        std::thread::spawn(move || {
            let never = Latch::default();
            outcome_sender.send(inbound.next_request(&never, &*read_by)).unwrap();
        });
        Fixture { limits, asked, client, outcome }
    }

    /// Waits until the limits were asked for once more.
    fn until_asked(&self) {
        self.asked.recv_timeout(MINUTE).unwrap();
    }

    fn set(&self, limits: Limits) {
        *self.limits.limits.lock().unwrap() = limits;
        std::mem::take(&mut *self.limits.latch.lock().unwrap()).release();
    }

    fn send(&mut self, text: &str) {
        self.client.write_all(text.as_bytes()).unwrap();
    }

    fn status(&self) -> u16 {
        match self.outcome.recv_timeout(MINUTE).unwrap() {
            ReadOutcome::Request(..) => 200,
            ReadOutcome::Rejected(error) => error.status(),
            ReadOutcome::Ended => 0,
        }
    }
}

fn request_of(body_bytes: usize) -> String {
    format!("POST / HTTP/1.1\r\nContent-Length: {body_bytes}\r\n\r\n{}", "b".repeat(body_bytes))
}

#[test]
fn a_request_is_judged_by_the_limits_at_its_arrival() {
    for (before, after, status) in [(SMALL_BODY, LARGE_BODY, 200), (LARGE_BODY, SMALL_BODY, 413)] {
        let mut fixture = Fixture::reading(limits(before, MINUTE));
        fixture.until_asked();
        fixture.set(limits(after, MINUTE));
        fixture.send(&request_of(LARGE_BODY));
        assert_eq!(fixture.status(), status, "{before} bytes, then {after}");
    }
}

/// A client cannot take back what it has sent, so neither change may end a request that one of both allows.
#[test]
fn a_body_under_way_is_judged_by_the_more_generous_limits() {
    let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "b".repeat(bytes));
    for (before, after) in [(SMALL_BODY, LARGE_BODY), (LARGE_BODY, SMALL_BODY)] {
        let mut fixture = Fixture::reading(limits(before, MINUTE));
        fixture.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        // Asked before the wait, when the request began, for its head, its body's time and its body's first check.
        (0..5).for_each(|_| fixture.until_asked());
        fixture.set(limits(after, MINUTE));
        fixture.send(&(chunk(LARGE_BODY) + "0\r\n\r\n"));
        assert_eq!(fixture.status(), 200, "{before} bytes, then {after}");
    }
}

#[test]
fn a_connection_that_waits_ends_by_a_lowered_idle_timeout() {
    let fixture = Fixture::reading(limits(SMALL_BODY, MINUTE * 60));
    fixture.until_asked();
    fixture.set(limits(SMALL_BODY, SOON));
    assert_eq!(fixture.status(), 0);
}

#[test]
fn a_connection_that_waits_goes_on_by_a_raised_idle_timeout() {
    let mut fixture = Fixture::reading(limits(SMALL_BODY, SOON));
    fixture.until_asked();
    // Nobody is woken: the end of the former time-out is when the limits are asked for again.
    *fixture.limits.limits.lock().unwrap() = limits(SMALL_BODY, MINUTE);
    fixture.until_asked();
    fixture.send(&request_of(1));
    assert_eq!(fixture.status(), 200);
}
