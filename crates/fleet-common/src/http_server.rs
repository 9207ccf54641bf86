//! Answering over HTTP/1.1, through `tiny_http`. The library's chunked writer holds pieces back and
//! ends a body cleanly even after an error, and dropping its raw writer leaves the stream open. So
//! pieces are framed here on the raw writer, and a cut shuts the stream itself.
use crate::client_socket::{bound_waiting, caller_left, with_stream};
use crate::threads::{self, STACK};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

const BODY_MAX: u64 = 4 << 20;
const HEADERS_MAX: usize = 16 << 10;
/// Workers of a listener for pages.
pub const WORKERS: usize = 16;

/// A request with its body read, not yet answered.
pub struct Incoming {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// What follows the `?`; empty where there is none.
    pub query: String,
    /// Header names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, complete.
    pub body: Vec<u8>,
    /// Whether the client's connection is closed after the response.
    pub closes_connection: bool,
    request: tiny_http::Request,
    caller: Option<SocketAddr>,
    old: bool,
}

/// Sends the head of an answer and then its pieces, each as it comes.
pub struct ChunkedResponse {
    writer: Box<dyn Write + Send>,
    caller: Option<SocketAddr>,
    ended: bool,
    closes: bool,
}

/// Names and values of an answer's headers.
pub type ResponseHeaders = Vec<(&'static str, String)>;

impl Incoming {
    /// A header's value, by its lower-case name.
    /// ```no_run
    /// # fn show(incoming: fleet_common::http_server::Incoming) -> std::io::Result<()> {
    /// let key = incoming.header("authorization");
    /// # Ok(()) }
    /// ```
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Whether the caller speaks HTTP/1.0, which has no pieces and so cannot show a cut.
    /// ```no_run
    /// # fn show(incoming: fleet_common::http_server::Incoming) -> std::io::Result<()> {
    /// if incoming.cannot_stream() { incoming.respond_json(505, "{}", vec![]); }
    /// # Ok(()) }
    /// ```
    pub fn cannot_stream(&self) -> bool {
        self.old
    }

    /// Answers with whole JSON.
    /// ```no_run
    /// # fn show(incoming: fleet_common::http_server::Incoming) -> std::io::Result<()> {
    /// incoming.respond_json(200, "{\"ok\":true}", vec![]);
    /// # Ok(()) }
    /// ```
    pub fn respond_json(self, status: u16, body: &str, extra: ResponseHeaders) {
        self.respond(status, "application/json", body.as_bytes(), extra);
    }

    /// Answers with the lines of the log ring.
    /// ```no_run
    /// # fn show(incoming: fleet_common::http_server::Incoming) {
    /// incoming.respond_log();
    /// # }
    /// ```
    pub fn respond_log(self) {
        self.respond(200, "text/plain", crate::ring::lines().join("\n").as_bytes(), vec![]);
    }

    /// Answers with a whole body of any type.
    /// ```no_run
    /// # fn show(incoming: fleet_common::http_server::Incoming) -> std::io::Result<()> {
    /// incoming.respond(200, "text/plain", b"up", vec![]);
    /// # Ok(()) }
    /// ```
    pub fn respond(self, status: u16, kind: &str, body: &[u8], extra: ResponseHeaders) {
        let mut answer = tiny_http::Response::from_data(body).with_status_code(status);
        for (name, value) in extra.iter().map(|(n, v)| (*n, v.as_str())).chain([("Content-Type", kind)]) {
            if let Ok(header) = tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                answer.add_header(header);
            }
        }
        let (caller, closes) = (self.caller, self.closes_connection);
        if self.request.respond(answer).is_ok() && closes {
            shut(caller);
        }
    }

    /// Whether the caller has gone away, seen without reading anything.
    /// ```no_run
    /// # fn show(incoming: fleet_common::http_server::Incoming) -> std::io::Result<()> {
    /// let _gone: bool = incoming.client_disconnected();
    /// # Ok(()) }
    /// ```
    pub fn client_disconnected(&self) -> bool {
        caller_left(self.caller)
    }

    /// Begins an answer in pieces.
    /// ```no_run
    /// # fn show(incoming: fleet_common::http_server::Incoming) -> std::io::Result<()> {
    /// let mut pieces = incoming.respond_chunked(200, vec![("Content-Type", "text/event-stream".into())])?;
    /// pieces.send(b"data: hello\n\n")?;
    /// pieces.end()?;
    /// # Ok(()) }
    /// ```
    pub fn respond_chunked(self, status: u16, extra: ResponseHeaders) -> std::io::Result<ChunkedResponse> {
        let (caller, closes) = (self.caller, self.closes_connection);
        let mut writer = self.request.into_writer();
        let mut head = format!("HTTP/1.1 {status} OK\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in extra {
            head.push_str(&format!("{name}: {}\r\n", value.replace(['\r', '\n'], " ")));
        }
        head.push_str(if closes { "Connection: close\r\n\r\n" } else { "\r\n" });
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(ChunkedResponse { writer, caller, ended: false, closes })
    }
}

impl ChunkedResponse {
    /// Sends a piece and pushes it out.
    /// ```no_run
    /// # fn show(mut pieces: fleet_common::http_server::ChunkedResponse) -> std::io::Result<()> {
    /// pieces.send(b"data: one\n\n")?;
    /// # Ok(()) }
    /// ```
    pub fn send(&mut self, piece: &[u8]) -> std::io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        let mut framed = format!("{:x}\r\n", piece.len()).into_bytes();
        framed.extend_from_slice(piece);
        framed.extend_from_slice(b"\r\n");
        self.writer.write_all(&framed)?;
        self.writer.flush()
    }

    /// Ends a whole answer. Without this call the stream is cut, and looks it.
    /// ```no_run
    /// # fn show(pieces: fleet_common::http_server::ChunkedResponse) -> std::io::Result<()> {
    /// pieces.end()?;
    /// # Ok(()) }
    /// ```
    pub fn end(mut self) -> std::io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()?;
        self.ended = true;
        Ok(())
    }

    /// Whether the caller has gone away.
    /// ```no_run
    /// # fn show(pieces: fleet_common::http_server::ChunkedResponse) -> std::io::Result<()> {
    /// let _gone: bool = pieces.client_disconnected();
    /// # Ok(()) }
    /// ```
    pub fn client_disconnected(&self) -> bool {
        caller_left(self.caller)
    }
}

impl Drop for ChunkedResponse {
    fn drop(&mut self) {
        if !self.ended || self.closes {
            shut(self.caller);
        }
    }
}

/// Ends a caller's stream, after what was written.
fn shut(caller: Option<SocketAddr>) {
    with_stream(caller, |fd| unsafe { libc::shutdown(fd, libc::SHUT_RDWR) == 0 });
}

/// Serves a listener with a pool of workers; oversized requests are refused before `answer` sees them.
/// ```
/// use fleet_common::{http_server, http_client};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let at = listener.local_addr().unwrap();
/// http_server::serve(listener, 2, |incoming| incoming.respond_json(200, "{}", vec![])).unwrap();
/// let wait = std::time::Duration::from_secs(5);
/// assert_eq!(http_client::json("GET", &format!("http://{at}/x"), "", wait).unwrap(), "{}");
/// ```
pub fn serve(
    listener: TcpListener,
    workers: usize,
    answer: impl Fn(Incoming) + Send + Sync + 'static,
) -> std::io::Result<()> {
    let server = tiny_http::Server::from_listener(listener, None).map_err(std::io::Error::other)?;
    let (server, answer) = (Arc::new(server), Arc::new(answer));
    for _ in 0..workers {
        let (server, answer) = (server.clone(), answer.clone());
        threads::start("pages", STACK, move || {
            while let Ok(request) = server.recv() {
                if let Some(incoming) = take_in(request) {
                    answer(incoming);
                }
            }
        });
    }
    Ok(())
}

fn take_in(mut request: tiny_http::Request) -> Option<Incoming> {
    let headers: Vec<(String, String)> =
        request.headers().iter().map(|h| (h.field.as_str().as_str().to_lowercase(), h.value.to_string())).collect();
    let refuse = |request: tiny_http::Request, status: u16, what: &str| {
        let body = format!("{{\"error\":{{\"pointer\":\"\",\"what\":\"{what}\"}}}}");
        let _ = request.respond(tiny_http::Response::from_string(body).with_status_code(status));
        None
    };
    if headers.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>() > HEADERS_MAX {
        return refuse(request, 431, "headers over 16 KiB");
    }
    with_stream(request.remote_addr().copied(), bound_waiting);
    let mut body = Vec::new();
    let read = request.as_reader().take(BODY_MAX + 1).read_to_end(&mut body);
    if body.len() as u64 > BODY_MAX {
        return refuse(request, 413, "body over 4 MiB");
    }
    let stated = request.body_length();
    if read.is_err() || stated.is_some_and(|length| length != body.len()) {
        return refuse(request, 400, "body cut short");
    }
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_string(), query.to_string()),
        None => (request.url().to_string(), String::new()),
    };
    let caller = request.remote_addr().copied();
    let old = *request.http_version() < tiny_http::HTTPVersion(1, 1);
    let method = request.method().to_string();
    Some(Incoming { method, path, query, headers, body, closes_connection: false, request, caller, old })
}
