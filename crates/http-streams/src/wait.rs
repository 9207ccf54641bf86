//! Waiting on two sockets at once without polling in a loop, and the options of sockets.
use crate::latch::Latch;
use std::io::{self, Read};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::time::{Duration, Instant};

/// Interval of keep-alive probes on an idle connection, and how many may go unanswered.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_RETRIES: u32 = 3;
/// How much is read at once, in bytes.
const READ_BYTES: usize = 16 << 10;

/// What happened first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// Something can be read, the end of the stream included.
    Readable,
    /// The watched connection was closed by its other side, or a latch was released.
    Disconnected,
    /// The deadline passed.
    TimedOut,
}

/// Waits until `from` can be read, `watched` is closed by its other side, or `until` has passed.
/// ```
/// use http_streams::wait::{WaitOutcome, wait_readable};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let from = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// assert_eq!(wait_readable(&from, None, std::time::Instant::now()), WaitOutcome::TimedOut);
/// drop(listener);
/// ```
pub fn wait_readable(from: &TcpStream, watched: Option<&TcpStream>, until: Instant) -> WaitOutcome {
    poll(from, [watched.map(|watched| (watched.as_fd(), libc::POLLRDHUP)), None], until)
}

/// Waits until `from` can be read, one of the latches is released, or `until` has passed. What can be read goes first.
/// ```
/// use http_streams::{latch::Latch, wait::{WaitOutcome, wait_readable_or_released}};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let from = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// let latch = Latch::default();
/// latch.release();
/// let until = std::time::Instant::now() + std::time::Duration::from_secs(30);
/// assert_eq!(wait_readable_or_released(&from, [Some(&latch), None], until), WaitOutcome::Disconnected);
/// ```
pub fn wait_readable_or_released(from: &TcpStream, latches: [Option<&Latch>; 2], until: Instant) -> WaitOutcome {
    let descriptors = latches.map(|latch| latch?.descriptor().map(|descriptor| (descriptor, 0)));
    poll(from, descriptors, until)
}

/// A descriptor that is watched, and the events that are waited for beside its end.
type Watched<'a> = Option<(BorrowedFd<'a>, libc::c_short)>;

fn poll(from: &TcpStream, watched: [Watched; 2], until: Instant) -> WaitOutcome {
    let row = |fd, events| libc::pollfd { fd, events, revents: 0 };
    let watched_row =
        |watched: Watched| watched.map_or(row(-1, 0), |(watched, events)| row(watched.as_raw_fd(), events));
    let mut rows = [row(from.as_raw_fd(), libc::POLLIN), watched_row(watched[0]), watched_row(watched[1])];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        // Rounded up, so that the deadline has passed when the wait times out.
        let ms = left.as_micros().div_ceil(1000).min(i32::MAX as u128) as i32;
        let count = unsafe { libc::poll(rows.as_mut_ptr(), rows.len() as libc::nfds_t, ms) };
        if rows[0].revents != 0 && count > 0 {
            return WaitOutcome::Readable;
        }
        if count > 0 && rows[1..].iter().any(|row| row.revents != 0) {
            return WaitOutcome::Disconnected;
        }
        if count == 0 || until.saturating_duration_since(Instant::now()).is_zero() {
            return WaitOutcome::TimedOut;
        }
    }
}

/// Reads once from a socket and appends the bytes to a buffer: how many there were, 0 at the end of the stream.
pub(crate) fn read_available(mut stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0u8; READ_BYTES];
    loop {
        match stream.read(&mut bytes) {
            Ok(count) => {
                buffer.extend_from_slice(&bytes[..count]);
                return Ok(count);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether nothing has arrived on a connection, not even its end.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// assert!(http_streams::wait::is_idle(&stream));
/// ```
pub fn is_idle(stream: &TcpStream) -> bool {
    let mut row = libc::pollfd { fd: stream.as_raw_fd(), events: libc::POLLIN | libc::POLLRDHUP, revents: 0 };
    unsafe { libc::poll(&raw mut row, 1, 0) == 0 }
}

/// Sets a connection's options: no delay, a limit on how long sent bytes may stay unacknowledged, and keep-alive
/// probes while it is idle.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// http_streams::wait::set_socket_options(&stream, std::time::Duration::from_secs(1));
/// ```
pub fn set_socket_options(stream: &TcpStream, unacknowledged: Duration) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    // Each of these only detects a dead peer sooner; where one is unavailable, deadlines still end the wait.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged));
    let _ = socket.set_tcp_keepalive(&probes.with_retries(PROBE_RETRIES));
}

/// Closes a connection with a TCP reset, so that nobody takes what was sent for a complete response.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// http_streams::wait::close_with_reset(std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap());
/// ```
pub fn close_with_reset(stream: TcpStream) {
    reset_on_close(&stream);
}

/// Makes a connection end with a TCP reset whenever it is closed, by whoever owns it.
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// http_streams::wait::reset_on_close(&std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap());
/// ```
pub fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
