//! Waiting on two sockets at once, without looking again and again.
use crate::latch::Latch;
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::time::{Duration, Instant};

/// What came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// Something can be read, an end included.
    Readable,
    /// The other side of the watched connection has gone, or the latch is released.
    Left,
    TimedOut,
}

/// Waits until `from` can be read, `watched` is closed by its other side, or the time is over.
/// ```
/// use http_streams::wait::{WaitOutcome, wait};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let from = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// assert_eq!(wait(&from, None, std::time::Instant::now()), WaitOutcome::TimedOut);
/// drop(listener);
/// ```
pub fn wait(from: &TcpStream, watched: Option<&TcpStream>, until: Instant) -> WaitOutcome {
    poll(from, watched.map(|watched| (watched.as_fd(), libc::POLLRDHUP)), until)
}

/// Waits until `from` can be read, the latch is released (`Left`), or the time is over. What can be read goes first.
/// ```
/// use http_streams::{latch::Latch, wait::{WaitOutcome, wait_unless}};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let from = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// let latch = Latch::default();
/// latch.release();
/// let until = std::time::Instant::now() + std::time::Duration::from_secs(30);
/// assert_eq!(wait_unless(&from, &latch, until), WaitOutcome::Left);
/// ```
pub fn wait_unless(from: &TcpStream, latch: &Latch, until: Instant) -> WaitOutcome {
    poll(from, latch.descriptor().map(|descriptor| (descriptor, 0)), until)
}

fn poll(from: &TcpStream, watched: Option<(BorrowedFd<'_>, libc::c_short)>, until: Instant) -> WaitOutcome {
    let row = |fd, events| libc::pollfd { fd, events, revents: 0 };
    let mut rows = [row(from.as_raw_fd(), libc::POLLIN), row(-1, 0)];
    if let Some((watched, events)) = watched {
        rows[1] = row(watched.as_raw_fd(), events);
    }
    loop {
        let left = until.saturating_duration_since(Instant::now());
        // Rounded up, so that the time is over when this says so.
        let ms = left.as_micros().div_ceil(1000).min(i32::MAX as u128) as i32;
        let count = unsafe { libc::poll(rows.as_mut_ptr(), 2, ms) };
        if rows[0].revents != 0 && count > 0 {
            return WaitOutcome::Readable;
        }
        if rows[1].revents != 0 && count > 0 {
            return WaitOutcome::Left;
        }
        if count == 0 || until.saturating_duration_since(Instant::now()).is_zero() {
            return WaitOutcome::TimedOut;
        }
    }
}

/// Whether a kept connection is quiet: nothing has come on it, not even an end.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// assert!(http_streams::wait::quiet(&stream));
/// ```
pub fn quiet(stream: &TcpStream) -> bool {
    let mut row = libc::pollfd { fd: stream.as_raw_fd(), events: libc::POLLIN | libc::POLLRDHUP, revents: 0 };
    unsafe { libc::poll(&raw mut row, 1, 0) == 0 }
}

/// Bounds for a connection: no delay, a time after which unheard bytes are given up, probes while it is silent.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// http_streams::wait::bound(&stream, std::time::Duration::from_secs(1));
/// ```
pub fn bound(stream: &TcpStream, unheard: Duration) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new().with_time(Duration::from_secs(1)).with_interval(Duration::from_secs(1));
    // Each of these only makes a dead peer seen sooner; where one is missing, deadlines still end the wait.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(unheard));
    let _ = socket.set_tcp_keepalive(&probes.with_retries(3));
}

/// Has a connection end with a reset when it is dropped, so that nobody takes it for a whole answer.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// http_streams::wait::cut(std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap());
/// ```
pub fn cut(stream: TcpStream) {
    reset_on_close(&stream);
}

/// Has a connection end with a reset once it is closed, by whoever holds it.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// http_streams::wait::reset_on_close(&std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap());
/// ```
pub fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
