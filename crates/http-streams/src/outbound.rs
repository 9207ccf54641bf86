//! A connection to a replica: sends a request in one write, and reads its response part by part while the client
//! that it is for is watched.
use crate::error::ResponseError;
use crate::framing::{Framing, response_framing};
use crate::head::{self, ResponseHead};
pub use crate::outcome::{ResponsePart, SendError};
use crate::wait::{WaitOutcome, close_with_reset, is_idle, read_available, set_socket_options, wait_readable};
use fleet_common::socket;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A replica that takes no bytes for so long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that a replica's machine has not acknowledged for so long are given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Limit on a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Limit on interim responses (1xx) before a response: a flood of them would outlast any deadline.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// The first status that is not interim.
const FIRST_FINAL_STATUS: u16 = 200;
/// What follows this status is another protocol, which no request asked for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Once a deadline has passed, a response is read no more often than this: what had arrived by then is taken, and a replica
/// that sends without a pause is not followed.
const MAX_LATE_READS: u32 = 16;

/// Connections are not used within so much of the end that the replica states.
const MARGIN: Duration = Duration::from_millis(1200);
/// How long one may be idle where the replica states nothing.
const IDLE: Duration = Duration::from_secs(3);
/// The system takes no shorter time-out.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection to a replica.
pub struct Outbound {
    stream: TcpStream,
    /// Bytes that were read and not used yet.
    buffer: Vec<u8>,
    framing: Framing,
    /// Reads in a row whose deadline had passed.
    late_reads: u32,
    /// The method of the current request.
    method: String,
    /// When it was last used.
    pub last_used: Instant,
    /// How long the replica keeps it open while it is idle, where it says so.
    pub keep_alive: Option<Duration>,
    /// Whether it may be used again after this response.
    pub may_reuse: bool,
    /// Whether the current request is its first one.
    pub is_new: bool,
    /// Until when a pooled connection may carry its next request; a new one has no such limit.
    pub usable_until: Option<Instant>,
}

impl Outbound {
    /// Connects within `timeout`. Errors are those of the socket.
    /// ```
    /// use http_streams::outbound::Outbound;
    /// assert!(Outbound::connect("127.0.0.1:1".parse().unwrap(), std::time::Duration::from_millis(50)).is_err());
    /// ```
    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = socket::connect(to, timeout.max(MIN_CONNECT_TIMEOUT))?;
        set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT);
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Outbound {
            stream,
            buffer: Vec::new(),
            framing: Framing::Ended,
            late_reads: 0,
            method: String::new(),
            last_used: Instant::now(),
            keep_alive: None,
            may_reuse: true,
            is_new: true,
            usable_until: None,
        })
    }

    /// The socket, to watch what the replica does.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether a pooled connection is still usable: this process may have been suspended since it was taken.
    fn check_usable(&self) -> io::Result<()> {
        if self.usable_until.is_some_and(|until| Instant::now() > until) {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "idle for too long"));
        }
        if !self.is_new && !is_idle(&self.stream) {
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, "bytes or an end came on it"));
        }
        Ok(())
    }

    /// Sends a request in one write. The error says whether any byte may have been sent.
    pub fn send(&mut self, method: &str, bytes: &[u8]) -> Result<(), SendError> {
        self.check_usable().map_err(SendError::Unsent)?;
        self.method = method.to_string();
        self.last_used = Instant::now();
        let mut sent = 0;
        while sent < bytes.len() {
            let error = match self.stream.write(&bytes[sent..]) {
                Ok(0) => io::ErrorKind::WriteZero.into(),
                Ok(count) => {
                    sent += count;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => e,
            };
            return Err(if sent == 0 { SendError::Unsent(error) } else { SendError::SentInPart(error) });
        }
        Ok(())
    }

    /// Counts a read against the bound on late ones: whether it is within it.
    fn may_read(&mut self, deadline: Instant) -> bool {
        self.late_reads = if Instant::now() < deadline { 0 } else { self.late_reads + 1 };
        self.late_reads <= MAX_LATE_READS
    }

    /// Reads what is available, waiting for it until `deadline`: `false` at the end of the connection.
    fn fill(&mut self, caller: Option<&TcpStream>, deadline: Instant) -> Result<bool, ResponsePart> {
        match wait_readable(&self.stream, caller, deadline) {
            WaitOutcome::Disconnected => return Err(ResponsePart::ClientDisconnected),
            WaitOutcome::TimedOut => return Err(ResponsePart::TimedOut),
            WaitOutcome::Readable => {}
        }
        if !self.may_read(deadline) {
            return Err(ResponsePart::TimedOut);
        }
        let count = read_available(&self.stream, &mut self.buffer);
        count.map(|count| count > 0).map_err(|error| self.broken(ResponseError::Read(error.kind())))
    }

    fn broken(&mut self, error: impl Into<ResponseError>) -> ResponsePart {
        self.may_reuse = false;
        ResponsePart::Broken(error.into())
    }

    /// Waits until `deadline` for the head of the next response, watching the client's socket. Interim responses are
    /// skipped.
    pub fn head(&mut self, caller: Option<&TcpStream>, deadline: Instant) -> ResponsePart {
        let mut interim_responses = 0;
        loop {
            let (length, head) = match head::parse_response(&self.buffer) {
                Err(error) => return self.broken(error),
                Ok(Some(parsed)) => parsed,
                Ok(None) if self.buffer.len() > MAX_HEAD_BYTES => return self.broken(ResponseError::HeadWithoutEnd),
                Ok(None) => match self.fill(caller, deadline) {
                    Ok(true) => continue,
                    Ok(false) => return self.broken(ResponseError::ClosedBeforeResponse),
                    Err(outcome) => return outcome,
                },
            };
            if length > MAX_HEAD_BYTES {
                return self.broken(ResponseError::HeadTooLarge);
            }
            self.buffer.drain(..length);
            if head.status >= FIRST_FINAL_STATUS {
                return self.accept_head(head);
            }
            interim_responses += 1;
            if head.status == SWITCHING_PROTOCOLS || interim_responses > MAX_INTERIM_RESPONSES {
                return self.broken(ResponseError::UnexpectedInterim);
            }
        }
    }

    /// Takes on the framing and the connection headers of the final response's head.
    fn accept_head(&mut self, head: ResponseHead) -> ResponsePart {
        self.framing = match response_framing(&self.method, head.status, &head.headers) {
            Ok(framing) => framing,
            Err(error) => return self.broken(error),
        };
        self.record_connection_headers(&head);
        ResponsePart::Head(head)
    }

    /// Notes how long the connection may be kept, and whether at all.
    fn record_connection_headers(&mut self, head: &ResponseHead) {
        self.keep_alive = head.keep_alive().or(self.keep_alive);
        if head.headers.contains_token("connection", "close") || head.is_http_1_0 || self.framing == Framing::UntilClose
        {
            self.may_reuse = false;
        }
    }

    /// Waits until `deadline` for more of the body, watching the client's socket.
    pub fn body(&mut self, caller: Option<&TcpStream>, deadline: Instant) -> ResponsePart {
        let mut out = Vec::new();
        loop {
            let before = self.framing;
            if let Err(error) = self.framing.take(&mut self.buffer, &mut out) {
                return self.broken(error);
            }
            if self.framing == Framing::Ended {
                self.last_used = Instant::now();
            }
            if !out.is_empty() {
                return ResponsePart::Body(out);
            }
            if self.framing == Framing::Ended {
                // Further bytes belong to no request, so the next response could not be told apart.
                self.may_reuse &= self.buffer.is_empty();
                return ResponsePart::Complete;
            }
            match self.fill(caller, deadline) {
                Ok(true) => {}
                Ok(false) if before == Framing::UntilClose => {
                    return self.broken(ResponseError::ClosedWithoutFraming);
                }
                Ok(false) => return self.broken(ResponseError::ClosedInsideResponse),
                Err(outcome) => return outcome,
            }
        }
    }

    /// Whether more of a response, or the end of the connection, has arrived than was taken, without waiting.
    pub fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || !is_idle(&self.stream)
    }

    /// Whether the body is complete already, without waiting.
    pub fn is_complete(&self) -> bool {
        self.framing == Framing::Ended
    }

    /// How long it may be idle and still be used.
    pub(crate) fn max_idle(&self) -> Duration {
        self.keep_alive.map_or(IDLE, |keep| keep.saturating_sub(MARGIN))
    }

    /// Whether it may carry another request: its response is complete and nothing followed.
    pub fn is_reusable(&self) -> bool {
        self.may_reuse && self.is_complete() && self.buffer.is_empty()
    }

    /// Closes it at once with a TCP reset.
    pub fn close_with_reset(self) {
        close_with_reset(self.stream);
    }
}
