//! A connection to a replica: a request goes out in one write, its answer is read piece by piece while the
//! caller is watched.
use crate::framing::{Framing, of_answer};
use crate::head::{self, AnswerHead};
pub use crate::outcome::{ResponsePart, SendError};
use crate::wait::{WaitOutcome, bound, cut, quiet, wait};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const WRITE_WAIT: Duration = Duration::from_secs(3);
/// Bytes that a replica's machine has not acknowledged for so long are given up.
const UNHEARD: Duration = Duration::from_millis(1500);
const HEAD_MOST: usize = 64 << 10;
/// Interim answers before an answer, at the most: a flood of them would outlast any deadline.
const INTERIM_MOST: u32 = 16;
/// After it the bytes are another protocol's, which no request asked for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// A connection to a replica.
pub struct Outbound {
    stream: TcpStream,
    buffer: Vec<u8>,
    framing: Framing,
    method: String,
    /// When it was last used.
    pub used: Instant,
    /// For how long the replica keeps it idle, where it says so.
    pub keep: Option<Duration>,
    /// Whether it may be used again after this answer.
    pub good: bool,
    /// Whether this is its first request.
    pub fresh: bool,
    /// Until when a kept connection may carry its next request; a new one has no such bound.
    pub usable_until: Option<Instant>,
}

impl Outbound {
    /// Connects, within `patience`.
    /// ```
    /// use http_streams::outbound::Outbound;
    /// assert!(Outbound::connect("127.0.0.1:1".parse().unwrap(), std::time::Duration::from_millis(50)).is_err());
    /// ```
    pub fn connect(to: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, patience.max(Duration::from_millis(1)))?;
        bound(&stream, UNHEARD);
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        Ok(Outbound {
            stream,
            buffer: Vec::new(),
            framing: Framing::Ended,
            method: String::new(),
            used: Instant::now(),
            keep: None,
            good: true,
            fresh: true,
            usable_until: None,
        })
    }

    /// The socket.
    /// ```no_run
    /// # fn show(outbound: &http_streams::outbound::Outbound) {
    /// assert!(http_streams::wait::quiet(outbound.socket()));
    /// # }
    /// ```
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether a kept connection is still fit at this moment: this process may have stood still since it was taken.
    fn check_usable(&self) -> io::Result<()> {
        if self.usable_until.is_some_and(|until| Instant::now() > until) {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "idle for too long"));
        }
        if !self.fresh && !quiet(&self.stream) {
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, "bytes or an end came on it"));
        }
        Ok(())
    }

    /// Sends a request in one write. The error tells whether any byte may have left.
    /// ```no_run
    /// # fn show(mut outbound: http_streams::outbound::Outbound) {
    /// outbound.send("GET", b"GET / HTTP/1.1\r\n\r\n").unwrap();
    /// # }
    /// ```
    pub fn send(&mut self, method: &str, bytes: &[u8]) -> Result<(), SendError> {
        self.check_usable().map_err(SendError::Unsent)?;
        self.method = method.to_string();
        self.used = Instant::now();
        let mut sent = 0;
        while sent < bytes.len() {
            let error = match self.stream.write(&bytes[sent..]) {
                Ok(0) => io::ErrorKind::WriteZero.into(),
                Ok(now) => {
                    sent += now;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => e,
            };
            return Err(if sent == 0 { SendError::Unsent(error) } else { SendError::SentInPart(error) });
        }
        Ok(())
    }

    fn fill(&mut self, caller: Option<&TcpStream>, until: Instant) -> Result<bool, ResponsePart> {
        match wait(&self.stream, caller, until) {
            WaitOutcome::Left => return Err(ResponsePart::CallerLeft),
            WaitOutcome::TimedOut => return Err(ResponsePart::TimedOut),
            WaitOutcome::Readable => {}
        }
        let mut bytes = [0u8; 16 << 10];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(got) => {
                    self.buffer.extend_from_slice(&bytes[..got]);
                    return Ok(got > 0);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(self.broken(e)),
            }
        }
    }

    fn broken(&mut self, what: impl ToString) -> ResponsePart {
        self.good = false;
        ResponsePart::Broken(what.to_string())
    }

    /// Waits for the head of the next answer. Interim answers are passed over.
    /// ```no_run
    /// # fn show(mut outbound: http_streams::outbound::Outbound) {
    /// let _head = outbound.head(None, std::time::Instant::now());
    /// # }
    /// ```
    pub fn head(&mut self, caller: Option<&TcpStream>, until: Instant) -> ResponsePart {
        let mut interim = 0;
        loop {
            match head::answer(&self.buffer) {
                Err(what) => return self.broken(what),
                Ok(Some((length, _))) if length > HEAD_MOST => return self.broken("a head too large"),
                Ok(Some((length, head))) => {
                    self.buffer.drain(..length);
                    interim += u32::from(head.status < 200);
                    if head.status == SWITCHING_PROTOCOLS || interim > INTERIM_MOST {
                        return self.broken("interim answers that nobody asked for");
                    }
                    if head.status < 200 {
                        continue;
                    }
                    self.framing = match of_answer(&self.method, head.status, &head.headers) {
                        Ok(framing) => framing,
                        Err(what) => return self.broken(what),
                    };
                    self.note(&head);
                    return ResponsePart::Head(head);
                }
                Ok(None) if self.buffer.len() > HEAD_MOST => return self.broken("a head without an end"),
                Ok(None) => match self.fill(caller, until) {
                    Ok(true) => {}
                    Ok(false) => return self.broken("closed before an answer"),
                    Err(heard) => return heard,
                },
            }
        }
    }

    fn note(&mut self, head: &AnswerHead) {
        self.keep = head.keep_alive().or(self.keep);
        if head.headers.lists("connection", "close") || head.old || self.framing == Framing::UntilClose {
            self.good = false;
        }
    }

    /// Waits for more of the body.
    /// ```no_run
    /// # fn show(mut outbound: http_streams::outbound::Outbound) {
    /// let _body = outbound.body(None, std::time::Instant::now());
    /// # }
    /// ```
    pub fn body(&mut self, caller: Option<&TcpStream>, until: Instant) -> ResponsePart {
        let mut out = Vec::new();
        loop {
            let before = self.framing;
            if let Err(what) = self.framing.take(&mut self.buffer, &mut out) {
                return self.broken(what);
            }
            if self.framing == Framing::Ended {
                self.used = Instant::now();
            }
            if !out.is_empty() {
                return ResponsePart::Body(out);
            }
            if self.framing == Framing::Ended {
                // More than the answer came: it belongs to no request, and what comes next cannot be told.
                self.good &= self.buffer.is_empty();
                return ResponsePart::Whole;
            }
            match self.fill(caller, until) {
                Ok(true) => {}
                Ok(false) if before == Framing::UntilClose => {
                    return self.broken("closed: nobody can tell whether whole");
                }
                Ok(false) => return self.broken("closed inside an answer"),
                Err(heard) => return heard,
            }
        }
    }

    /// Whether the body has come whole already, without waiting.
    /// ```no_run
    /// # fn show(outbound: &http_streams::outbound::Outbound) {
    /// assert!(!outbound.ended());
    /// # }
    /// ```
    pub fn ended(&self) -> bool {
        self.framing == Framing::Ended
    }

    /// Whether it may carry another request: its answer came whole and nothing after it.
    /// ```no_run
    /// # fn show(outbound: &http_streams::outbound::Outbound) {
    /// assert!(outbound.reusable());
    /// # }
    /// ```
    pub fn reusable(&self) -> bool {
        self.good && self.ended() && self.buffer.is_empty()
    }

    /// Ends it at once, with a reset.
    /// ```no_run
    /// # fn show(outbound: http_streams::outbound::Outbound) {
    /// outbound.cut();
    /// # }
    /// ```
    pub fn cut(self) {
        cut(self.stream);
    }
}
