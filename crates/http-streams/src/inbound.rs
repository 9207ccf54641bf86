//! A client's connection: reads complete requests within limits, and writes responses at once or in chunks.
use crate::error::RequestError;
use crate::framing::write_chunk;
use crate::head::{self, RequestHead};
use crate::latch::Latch;
pub use crate::limits::{Limits, LimitsSource};
pub use crate::outcome::ReadOutcome;
use crate::wait::{WaitOutcome, read_available, reset_on_close, set_socket_options, wait_readable};
use fleet_common::memory_budget::Reservation;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

mod body;
mod idle;

/// The limits on a request: the most generous that held at any moment since its first byte, so that a change of limits
/// ends no request that was within them when it was sent.
struct RequestLimits<'a, S> {
    source: &'a S,
    widest: Limits,
}

impl<'a, S: LimitsSource> RequestLimits<'a, S> {
    fn starting(source: &'a S) -> Self {
        RequestLimits { source, widest: source.limits() }
    }

    /// The limits by which the request is judged now.
    fn now(&mut self) -> Limits {
        self.widest = self.widest.widened_by(self.source.limits());
        self.widest
    }
}

/// A client that takes no bytes for so long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that a client's machine has not acknowledged for so long are given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// For so long, and for so many bytes, a client may go on sending a request that was rejected.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 16 << 20;

/// Buffer space for a response's head, in bytes; larger ones only cost another allocation.
const HEAD_CAPACITY: usize = 512;
/// Buffer space for a chunk's size line, line end and the last chunk, in bytes.
const CHUNK_OVERHEAD: usize = 24;

/// A client's connection.
pub struct Inbound {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Whether a chunked response was started and not finished.
    chunked_open: bool,
    /// Whether the current request is a HEAD, so that responses have no body.
    head_only: bool,
    /// When the first bytes of the current request arrived.
    request_began: Instant,
    /// The memory of the current request's body, until the response is written.
    body_memory: Option<Reservation>,
}

impl Inbound {
    /// Serves a connection that was accepted.
    /// ```
    /// use http_streams::inbound::{ReadOutcome, Inbound, Limits};
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    /// let mut inbound = Inbound::new(listener.accept().unwrap().0);
    /// drop(caller);
    /// assert_eq!(inbound.read_request(&Limits::default()), ReadOutcome::Ended);
    /// ```
    pub fn new(stream: TcpStream) -> Self {
        set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        Inbound {
            stream,
            buffer: Vec::new(),
            chunked_open: false,
            head_only: false,
            request_began: Instant::now(),
            body_memory: None,
        }
    }

    /// The socket, to watch whether the client disconnects.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads what is available, waiting for it until `deadline`: `false` when nothing more comes.
    fn fill(&mut self, deadline: Instant) -> bool {
        wait_readable(&self.stream, None, deadline) == WaitOutcome::Readable && self.read_some()
    }

    /// Reads what is available: `false` when nothing more comes.
    fn read_some(&mut self) -> bool {
        read_available(&self.stream, &mut self.buffer).is_ok_and(|count| count > 0)
    }

    /// Reads the next complete request within the limits, each read at the moment at which it is applied.
    /// ```
    /// use http_streams::inbound::{ReadOutcome, Inbound, Limits};
    /// use std::io::Write;
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    /// caller.write_all(b"POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi").unwrap();
    /// let mut inbound = Inbound::new(listener.accept().unwrap().0);
    /// assert!(matches!(inbound.read_request(&Limits::default()), ReadOutcome::Request(_, body) if body == b"hi"));
    /// ```
    pub fn read_request(&mut self, limits: &impl LimitsSource) -> ReadOutcome {
        match self.wait_for_request(None, limits) {
            true => self.read_waiting_request(limits),
            false => ReadOutcome::Ended,
        }
    }

    /// Reads the next complete request. `Ended` if the latch is released before its first byte.
    /// ```
    /// use http_streams::{inbound::{Inbound, Limits, ReadOutcome}, latch::Latch};
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let _caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    /// let mut inbound = Inbound::new(listener.accept().unwrap().0);
    /// let latch = Latch::default();
    /// latch.release();
    /// assert_eq!(inbound.next_request(&latch, &Limits::default()), ReadOutcome::Ended);
    /// ```
    pub fn next_request(&mut self, stop: &Latch, limits: &impl LimitsSource) -> ReadOutcome {
        match self.wait_for_request(Some(stop), limits) {
            true => self.read_waiting_request(limits),
            false => ReadOutcome::Ended,
        }
    }

    /// Reads a request of which something has come, or the end of the connection.
    fn read_waiting_request(&mut self, source: &impl LimitsSource) -> ReadOutcome {
        if self.buffer.is_empty() && !self.read_some() {
            return ReadOutcome::Ended;
        }
        self.request_began = Instant::now();
        let mut limits = RequestLimits::starting(source);
        let head = match self.read_head(&mut limits) {
            Ok(Some(head)) => head,
            Ok(None) => return ReadOutcome::Ended,
            Err(error) => return ReadOutcome::Rejected(error),
        };
        self.head_only = head.method == "HEAD";
        match self.read_body(&head, &mut limits) {
            Ok(Some(body)) => ReadOutcome::Request(head, body),
            Ok(None) => ReadOutcome::Ended,
            Err(error) => ReadOutcome::Rejected(error),
        }
    }

    /// The complete head; `None` where the connection ended before.
    fn read_head(
        &mut self,
        limits: &mut RequestLimits<impl LimitsSource>,
    ) -> Result<Option<RequestHead>, RequestError> {
        loop {
            let Limits { header_bytes, header_timeout, .. } = limits.now();
            let deadline = self.request_began + header_timeout;
            match head::parse_request(&self.buffer)? {
                Some((length, _)) if length > header_bytes => return Err(RequestError::HeadTooLarge),
                Some((length, head)) => {
                    self.buffer.drain(..length);
                    return Ok(Some(head));
                }
                None if self.buffer.len() > header_bytes => return Err(RequestError::HeadTooLarge),
                None if Instant::now() >= deadline => return Err(RequestError::HeadTimeout),
                None => {
                    if !self.fill(deadline) && Instant::now() < deadline {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// When the first bytes of the request that was read last arrived: the client has waited at least since then.
    pub fn request_started(&self) -> Instant {
        self.request_began
    }

    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    /// Closes the connection after the response to a request that was not read whole. Bytes that nobody reads would reset it,
    /// and the client would lose the response: what it still sends is read and dropped, within bounds.
    pub fn close_after_rejection(self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let deadline = Instant::now() + LINGER_TIMEOUT;
        let mut left = LINGER_BYTES;
        let mut dropped = Vec::new();
        while left > 0 && wait_readable(&self.stream, None, deadline) == WaitOutcome::Readable {
            match read_available(&self.stream, &mut dropped) {
                Ok(count) if count > 0 => left = left.saturating_sub(count),
                _ => return,
            }
            dropped.clear();
        }
    }

    /// Writes a complete response, in one write. Errors are those of the socket.
    /// ```no_run
    /// # fn show(mut inbound: http_streams::inbound::Inbound) -> std::io::Result<()> {
    /// inbound.respond(503, "Service Unavailable", &[("Retry-After".into(), "0.5".into())], b"", false)?;
    /// # Ok(()) }
    /// ```
    pub fn respond(
        &mut self,
        status: u16,
        reason: &str,
        headers: &[(String, String)],
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        let mut out = Vec::with_capacity(HEAD_CAPACITY + body.len());
        head::write_head(&mut out, &format!("HTTP/1.1 {status} {reason}"), headers.iter());
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        if status != 204 && status != 304 {
            out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        if !self.head_only {
            out.extend_from_slice(body);
        }
        self.body_memory = None;
        self.write_all(&out)
    }

    /// Starts a chunked response, with its first chunk. Unless it is finished, closing resets the connection.
    /// ```no_run
    /// # fn show(mut inbound: http_streams::inbound::Inbound) -> std::io::Result<()> {
    /// inbound.start_chunked(200, "OK", &[], b"id: 1\n\n", false)?;
    /// inbound.send_chunk(b"id: 2\n\n")?;
    /// inbound.finish_chunked(b"")?;
    /// # Ok(()) }
    /// ```
    pub fn start_chunked(
        &mut self,
        status: u16,
        reason: &str,
        headers: &[(String, String)],
        first: &[u8],
        close: bool,
    ) -> io::Result<()> {
        let mut out = Vec::with_capacity(HEAD_CAPACITY + first.len());
        head::write_head(&mut out, &format!("HTTP/1.1 {status} {reason}"), headers.iter());
        out.extend_from_slice(if close { b"Connection: close\r\n" } else { b"" });
        out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        self.chunked_open = !self.head_only;
        if !self.head_only {
            write_chunk(&mut out, first);
        }
        self.write_all(&out)
    }

    /// Sends a chunk; an empty one sends nothing.
    pub fn send_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() || self.head_only {
            return Ok(());
        }
        let mut out = Vec::with_capacity(data.len() + CHUNK_OVERHEAD);
        write_chunk(&mut out, data);
        self.write_all(&out)
    }

    /// Sends the last chunk and finishes the response.
    pub fn finish_chunked(&mut self, last: &[u8]) -> io::Result<()> {
        self.body_memory = None;
        if self.head_only {
            return Ok(());
        }
        let mut out = Vec::with_capacity(last.len() + CHUNK_OVERHEAD);
        write_chunk(&mut out, last);
        out.extend_from_slice(b"0\r\n\r\n");
        self.chunked_open = false;
        self.write_all(&out)
    }
}

impl Drop for Inbound {
    fn drop(&mut self) {
        // A response that was started and not finished must not look complete.
        if self.chunked_open {
            reset_on_close(&self.stream);
        }
    }
}
