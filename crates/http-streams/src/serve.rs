//! A pool of worker threads that each accept a connection and serve it to its end.
use crate::inbound::{Inbound, Limits, ReadOutcome};
use fleet_common::threads::{self, SMALL_STACK};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Idle workers beyond this number end.
const MAX_IDLE_WORKERS: usize = 8;
/// Delay after a failed accept; it doubles with each further one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const ACCEPT_RETRY_DELAY_MAX: Duration = Duration::from_millis(320);
/// How long a connection that is rejected may take to send its request.
const REJECT_TIMEOUT: Duration = Duration::from_millis(50);
/// `Retry-After` of a rejected connection, in seconds.
const REJECT_RETRY_AFTER_SECONDS: &str = "0.20";

/// A listener that is being served, until it is closed.
pub struct Server {
    pool: Arc<Pool>,
}

impl Server {
    /// Stops accepting: the system refuses further connections. Accepted ones are served to their end.
    /// ```
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let at = listener.local_addr().unwrap();
    /// let server = http_streams::serve::serve(listener, 4, drop);
    /// server.close();
    /// assert!(std::net::TcpStream::connect(at).is_err());
    /// ```
    pub fn close(&self) {
        self.pool.closed.store(true, Ordering::Release);
        // Wakes the workers that wait in `accept`.
        unsafe { libc::shutdown(self.pool.listener.as_raw_fd(), libc::SHUT_RDWR) };
    }
}

struct Pool {
    listener: TcpListener,
    closed: AtomicBool,
    /// Limit on workers.
    most: usize,
    /// Workers that exist, and those of them that wait in `accept`.
    all: AtomicUsize,
    idle: AtomicUsize,
    handle: Box<dyn Fn(TcpStream) + Send + Sync>,
}

/// Serves a listener with up to `most` workers; connections beyond that wait to be accepted. Where no thread is
/// available for a worker, connections get a 503 with `Retry-After` and are closed.
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
    start_first_worker(&pool);
    Server { pool }
}

/// Starts the first worker, without which no connection would ever be accepted.
fn start_first_worker(pool: &Arc<Pool>) {
    let first = pool.clone();
    pool.all.fetch_add(1, Ordering::AcqRel);
    pool.idle.fetch_add(1, Ordering::AcqRel);
    threads::start("worker", SMALL_STACK, move || run_worker(&first));
}

/// What came of starting another worker.
#[derive(Clone, Copy, PartialEq)]
enum WorkerStart {
    Started,
    /// The limit on workers is reached.
    Full,
    /// The system gave no thread.
    Refused,
}

fn add_worker(pool: &Arc<Pool>) -> WorkerStart {
    if pool.all.fetch_add(1, Ordering::AcqRel) >= pool.most {
        pool.all.fetch_sub(1, Ordering::AcqRel);
        return WorkerStart::Full;
    }
    pool.idle.fetch_add(1, Ordering::AcqRel);
    let worker = pool.clone();
    if threads::spawn_named("worker", SMALL_STACK, move || run_worker(&worker)).is_ok() {
        return WorkerStart::Started;
    }
    pool.idle.fetch_sub(1, Ordering::AcqRel);
    pool.all.fetch_sub(1, Ordering::AcqRel);
    WorkerStart::Refused
}

/// Waits for the next connection; `None` once the listener is closed. Without descriptors connections need time to end, and
/// another worker would only fail beside this one.
fn accept(pool: &Pool) -> Option<TcpStream> {
    let mut delay = ACCEPT_RETRY_DELAY;
    loop {
        if let Ok((stream, _)) = pool.listener.accept() {
            return Some(stream);
        }
        if pool.closed.load(Ordering::Acquire) {
            return None;
        }
        std::thread::sleep(delay);
        delay = (delay * 2).min(ACCEPT_RETRY_DELAY_MAX);
    }
}

fn run_worker(pool: &Arc<Pool>) {
    while let Some(stream) = accept(pool) {
        // One worker must always wait in `accept`.
        let last = pool.idle.fetch_sub(1, Ordering::AcqRel) == 1;
        let alone = last && add_worker(pool) == WorkerStart::Refused;
        let serve = || if alone { reject_connection(stream) } else { (pool.handle)(stream) };
        // A panic while one client is served must not end the worker.
        let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(serve));
        if pool.idle.fetch_add(1, Ordering::AcqRel) >= MAX_IDLE_WORKERS {
            pool.idle.fetch_sub(1, Ordering::AcqRel);
            pool.all.fetch_sub(1, Ordering::AcqRel);
            return;
        }
    }
}

/// Rejects a connection's first request, if it comes at once: it has not run and may be sent again. The last worker
/// does so where no other can be started, as nobody would accept while it serves a connection.
fn reject_connection(stream: TcpStream) {
    let mut inbound = Inbound::new(stream);
    let limits = Limits {
        header_timeout: REJECT_TIMEOUT,
        body_timeout: REJECT_TIMEOUT,
        idle_timeout: REJECT_TIMEOUT,
        ..Limits::default()
    };
    if let ReadOutcome::Request(..) = inbound.read_request(&limits) {
        let rows = [("Retry-After".to_string(), REJECT_RETRY_AFTER_SECONDS.to_string())];
        let _ = inbound.respond(503, "Service Unavailable", &rows, b"", true);
    }
}
