//! A caller's connection: requests read whole within bounds, answers written whole or event by event.
use crate::framing::write_chunk;
use crate::head;
pub use crate::limits::Limits;
pub use crate::outcome::ReadOutcome;
use crate::wait::{WaitOutcome, bound, reset_on_close, wait};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

mod body;

const WRITE_WAIT: Duration = Duration::from_secs(5);
const UNHEARD: Duration = Duration::from_secs(5);

/// A caller's connection.
pub struct Inbound {
    stream: TcpStream,
    buffer: Vec<u8>,
    chunks: bool,
    /// Whether the present request asks for a head alone.
    headless: bool,
    /// When the first bytes of the present request were here.
    request_began: Instant,
}

impl Inbound {
    /// Takes a connection that was accepted.
    /// ```
    /// use http_streams::inbound::{ReadOutcome, Inbound, Limits};
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    /// let mut inbound = Inbound::new(listener.accept().unwrap().0);
    /// drop(caller);
    /// assert_eq!(inbound.next(&Limits::default()), ReadOutcome::Ended);
    /// ```
    pub fn new(stream: TcpStream) -> Self {
        bound(&stream, UNHEARD);
        let _ = stream.set_write_timeout(Some(WRITE_WAIT));
        Inbound { stream, buffer: Vec::new(), chunks: false, headless: false, request_began: Instant::now() }
    }

    /// The socket, to watch whether its caller left.
    /// ```no_run
    /// # fn show(inbound: &http_streams::inbound::Inbound) {
    /// assert!(http_streams::wait::quiet(inbound.socket()));
    /// # }
    /// ```
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes of a further request have been read already.
    pub(crate) fn is_read_ahead(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads what is there, waiting until then at the most: `false` when nothing more comes.
    fn fill(&mut self, until: Instant) -> bool {
        if wait(&self.stream, None, until) != WaitOutcome::Readable {
            return false;
        }
        let mut bytes = [0u8; 16 << 10];
        loop {
            match (&self.stream).read(&mut bytes) {
                Ok(0) => return false,
                Ok(got) => {
                    self.buffer.extend_from_slice(&bytes[..got]);
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// The next request, whole.
    /// ```
    /// use http_streams::inbound::{ReadOutcome, Inbound, Limits};
    /// use std::io::Write;
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    /// caller.write_all(b"POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi").unwrap();
    /// let mut inbound = Inbound::new(listener.accept().unwrap().0);
    /// assert!(matches!(inbound.next(&Limits::default()), ReadOutcome::Request(_, body) if body == b"hi"));
    /// ```
    pub fn next(&mut self, limits: &Limits) -> ReadOutcome {
        if self.buffer.is_empty() && !self.fill(Instant::now() + limits.idle) {
            return ReadOutcome::Ended;
        }
        self.request_began = Instant::now();
        let until = self.request_began + limits.header;
        let (length, head) = loop {
            match head::request(&self.buffer) {
                Err(what) => return ReadOutcome::Bad(400, what),
                Ok(Some((length, _))) if length > limits.header_bytes => {
                    return ReadOutcome::Bad(431, "head too large".into());
                }
                Ok(Some(read)) => break read,
                Ok(None) if self.buffer.len() > limits.header_bytes => {
                    return ReadOutcome::Bad(431, "head too large".into());
                }
                Ok(None) if Instant::now() >= until => {
                    return ReadOutcome::Bad(408, "the head did not come in time".into());
                }
                Ok(None) => {
                    if !self.fill(until) && Instant::now() < until {
                        return ReadOutcome::Ended;
                    }
                }
            }
        };
        self.buffer.drain(..length);
        self.headless = head.method == "HEAD";
        match self.body(&head, limits) {
            Ok(Some(body)) => ReadOutcome::Request(head, body),
            Ok(None) => ReadOutcome::Ended,
            Err((status, what)) => ReadOutcome::Bad(status, what),
        }
    }

    /// When the first bytes of the request that was read last were here: its caller's patience counts from before then.
    /// ```no_run
    /// # fn show(inbound: &http_streams::inbound::Inbound) {
    /// println!("{:?}", inbound.request_began().elapsed());
    /// # }
    /// ```
    pub fn request_began(&self) -> Instant {
        self.request_began
    }

    fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    /// Answers whole, in one write.
    /// ```no_run
    /// # fn show(mut inbound: http_streams::inbound::Inbound) -> std::io::Result<()> {
    /// inbound.whole(503, "Service Unavailable", &[("Retry-After".into(), "0.5".into())], b"", false)?;
    /// # Ok(()) }
    /// ```
    pub fn whole(
        &mut self,
        status: u16,
        reason: &str,
        headers: &[(String, String)],
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        let mut out = Vec::with_capacity(256 + body.len());
        head::write(&mut out, &format!("HTTP/1.1 {status} {reason}"), headers.iter());
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        if status != 204 && status != 304 {
            out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        if !self.headless {
            out.extend_from_slice(body);
        }
        self.put(&out)
    }

    /// Begins an answer in pieces, with the first of them. Without `end` it looks cut once it is closed.
    /// ```no_run
    /// # fn show(mut inbound: http_streams::inbound::Inbound) -> std::io::Result<()> {
    /// inbound.begin(200, "OK", &[], b"id: 1\n\n", false)?;
    /// inbound.piece(b"id: 2\n\n")?;
    /// inbound.end(b"")?;
    /// # Ok(()) }
    /// ```
    pub fn begin(
        &mut self,
        status: u16,
        reason: &str,
        headers: &[(String, String)],
        first: &[u8],
        close: bool,
    ) -> io::Result<()> {
        let mut out = Vec::with_capacity(512 + first.len());
        head::write(&mut out, &format!("HTTP/1.1 {status} {reason}"), headers.iter());
        out.extend_from_slice(if close { b"Connection: close\r\n" } else { b"" });
        out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        self.chunks = !self.headless;
        if !self.headless {
            write_chunk(&mut out, first);
        }
        self.put(&out)
    }

    /// Sends a piece.
    /// ```no_run
    /// # fn show(mut inbound: http_streams::inbound::Inbound) -> std::io::Result<()> {
    /// inbound.piece(b"id: 2\n\n")?;
    /// # Ok(()) }
    /// ```
    pub fn piece(&mut self, piece: &[u8]) -> io::Result<()> {
        if piece.is_empty() || self.headless {
            return Ok(());
        }
        let mut out = Vec::with_capacity(piece.len() + 16);
        write_chunk(&mut out, piece);
        self.put(&out)
    }

    /// Sends the last pieces and ends the answer: it came whole.
    /// ```no_run
    /// # fn show(mut inbound: http_streams::inbound::Inbound) -> std::io::Result<()> {
    /// inbound.end(b"id: 3\n\n")?;
    /// # Ok(()) }
    /// ```
    pub fn end(&mut self, last: &[u8]) -> io::Result<()> {
        if self.headless {
            return Ok(());
        }
        let mut out = Vec::with_capacity(last.len() + 24);
        write_chunk(&mut out, last);
        out.extend_from_slice(b"0\r\n\r\n");
        self.chunks = false;
        self.put(&out)
    }
}

impl Drop for Inbound {
    fn drop(&mut self) {
        // An answer that was begun and not ended must not look complete.
        if self.chunks {
            reset_on_close(&self.stream);
        }
    }
}
