//! A pool of workers that accept for themselves: one wakes for a new connection and stays with it.
use crate::inbound::{Inbound, Limits, ReadOutcome};
use fleet_common::threads::{self, SMALL_STACK};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Idle workers beyond so many end.
const IDLE_KEPT: usize = 8;
/// After an error a listener accepts again so much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// How long a connection that is turned away may take to say what it wants.
const SHED_WAIT: Duration = Duration::from_millis(50);
/// When a caller that is turned away may come back, in seconds.
const SHED_RETRY_AFTER: &str = "0.20";

/// A listener that is served, until it is closed.
pub struct Server {
    pool: Arc<Pool>,
}

impl Server {
    /// Takes no further connections: from here on they are refused by the system. Those that were accepted go on.
    /// ```
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let at = listener.local_addr().unwrap();
    /// let server = http_streams::serve::serve(listener, 4, drop);
    /// server.close();
    /// assert!(std::net::TcpStream::connect(at).is_err());
    /// ```
    pub fn close(&self) {
        self.pool.closed.store(true, Ordering::Release);
        // Wakes the workers that wait for a connection.
        unsafe { libc::shutdown(self.pool.listener.as_raw_fd(), libc::SHUT_RDWR) };
    }
}

struct Pool {
    listener: TcpListener,
    closed: AtomicBool,
    most: usize,
    all: AtomicUsize,
    idle: AtomicUsize,
    handle: Box<dyn Fn(TcpStream) + Send + Sync>,
}

/// Serves a listener with up to `most` workers; connections beyond that wait to be accepted. Where no thread can be
/// had for a worker, connections are answered 503 with `Retry-After` and closed.
/// ```
/// use std::io::{Read, Write};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let at = listener.local_addr().unwrap();
/// http_streams::serve::serve(listener, 4, |mut stream| _ = stream.write_all(b"hi"));
/// let mut text = String::new();
/// std::net::TcpStream::connect(at).unwrap().read_to_string(&mut text).unwrap();
/// assert_eq!(text, "hi");
/// ```
pub fn serve(listener: TcpListener, most: usize, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> Server {
    let (closed, all, idle) = (false.into(), 0.into(), 0.into());
    let pool = Arc::new(Pool { listener, closed, most, all, idle, handle: Box::new(handle) });
    start_first(&pool);
    Server { pool }
}

/// The first worker: without it nobody would ever be heard.
fn start_first(pool: &Arc<Pool>) {
    let first = pool.clone();
    pool.all.fetch_add(1, Ordering::AcqRel);
    pool.idle.fetch_add(1, Ordering::AcqRel);
    threads::start("worker", SMALL_STACK, move || work(&first));
}

/// What came of asking for one more worker.
#[derive(Clone, Copy, PartialEq)]
enum Hired {
    Yes,
    /// There are as many as there may be.
    Full,
    /// No thread could be had.
    Refused,
}

fn hire(pool: &Arc<Pool>) -> Hired {
    if pool.all.fetch_add(1, Ordering::AcqRel) >= pool.most {
        pool.all.fetch_sub(1, Ordering::AcqRel);
        return Hired::Full;
    }
    pool.idle.fetch_add(1, Ordering::AcqRel);
    let worker = pool.clone();
    if threads::spawn_named("worker", SMALL_STACK, move || work(&worker)).is_ok() {
        return Hired::Yes;
    }
    pool.idle.fetch_sub(1, Ordering::AcqRel);
    pool.all.fetch_sub(1, Ordering::AcqRel);
    Hired::Refused
}

fn work(pool: &Arc<Pool>) {
    loop {
        let accepted = pool.listener.accept();
        if accepted.is_err() && pool.closed.load(Ordering::Acquire) {
            return;
        }
        // Somebody must always be there to accept.
        let last = pool.idle.fetch_sub(1, Ordering::AcqRel) == 1;
        let alone = last && hire(pool) == Hired::Refused;
        match accepted {
            Ok((stream, _)) => {
                let serve = || if alone { shed(stream) } else { (pool.handle)(stream) };
                // One caller's trouble must not take the worker from the others.
                let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(serve));
            }
            // Out of descriptors: give those that hold them time to end.
            Err(_) => std::thread::sleep(ACCEPT_AGAIN),
        }
        if pool.idle.fetch_add(1, Ordering::AcqRel) >= IDLE_KEPT {
            pool.idle.fetch_sub(1, Ordering::AcqRel);
            pool.all.fetch_sub(1, Ordering::AcqRel);
            return;
        }
    }
}

/// Turns a connection away: its request, if one comes at once, has not run and may be sent again. The last worker
/// does so where no other can be had, as it would hear nobody else while it serves one.
fn shed(stream: TcpStream) {
    let mut inbound = Inbound::new(stream);
    let limits = Limits { header: SHED_WAIT, body: SHED_WAIT, idle: SHED_WAIT, ..Limits::default() };
    if let ReadOutcome::Request(..) = inbound.next(&limits) {
        let rows = [("Retry-After".to_string(), SHED_RETRY_AFTER.to_string())];
        let _ = inbound.whole(503, "Service Unavailable", &rows, b"", true);
    }
}
