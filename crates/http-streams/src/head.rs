//! The heads of requests and responses: start line and headers.
use std::time::Duration;

/// Limit on the headers of a message; further ones are an error.
const MAX_HEADERS: usize = 128;
/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Names and values in the order of the message; names keep the case in which they were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first value of a header; the case of the name does not matter.
    /// ```
    /// use http_streams::head::Headers;
    /// let headers = Headers(vec![("Host".into(), "a".into())]);
    /// assert_eq!(headers.get("host"), Some("a"));
    /// ```
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a header's comma-separated list has a token; case does not matter.
    /// ```
    /// use http_streams::head::Headers;
    /// let headers = Headers(vec![("Connection".into(), "Keep-Alive, close".into())]);
    /// assert!(headers.contains_token("connection", "close"));
    /// ```
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let rows = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        rows.flat_map(|(_, v)| v.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// The headers that a proxy forwards: neither those of one connection only nor the framing's.
    /// ```
    /// use http_streams::head::Headers;
    /// let headers = Headers(vec![("TE".into(), "x".into()), ("A".into(), "1".into())]);
    /// assert_eq!(headers.end_to_end().count(), 1);
    /// ```
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, String)> {
        self.0.iter().filter(|(name, _)| !is_hop_by_hop(name) && !self.contains_token("connection", name))
    }
}

fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name)) || name.eq_ignore_ascii_case("content-length")
}

/// The head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, as it was sent.
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    /// The headers of the request.
    pub headers: Headers,
    /// Whether the client speaks HTTP/1.0.
    pub is_http_1_0: bool,
}

/// The head of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase of the status line.
    pub reason: String,
    /// The headers of the response.
    pub headers: Headers,
    /// Whether the server speaks HTTP/1.0.
    pub is_http_1_0: bool,
}

impl ResponseHead {
    /// How long the server keeps the connection open while it is idle, by its `Keep-Alive` header.
    /// ```
    /// let text = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=9\r\n\r\n";
    /// let (_, head) = http_streams::head::parse_response(text).unwrap().unwrap();
    /// assert_eq!(head.keep_alive(), Some(std::time::Duration::from_secs(5)));
    /// ```
    pub fn keep_alive(&self) -> Option<Duration> {
        let value = self.headers.get("keep-alive")?;
        let stated = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        stated.unwrap_or(value.trim()).parse().ok().map(Duration::from_secs)
    }
}

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    Headers(parsed.iter().map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned())).collect())
}

/// Parses a request's head at the front of a buffer: its length in bytes and the head, or `None` while it is
/// incomplete.
/// ```
/// let (length, head) = http_streams::head::parse_request(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nrest").unwrap().unwrap();
/// assert_eq!((length, head.target.as_str()), (28, "/a"));
/// assert!(http_streams::head::parse_request(b"GET /a HT").unwrap().is_none());
/// assert!(http_streams::head::parse_request(b"\0\0").is_err());
/// ```
pub fn parse_request(buffer: &[u8]) -> Result<Option<(usize, RequestHead)>, httparse::Error> {
    let mut rows = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut rows);
    match parsed.parse(buffer)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let head = RequestHead {
                method: parsed.method.unwrap_or_default().to_string(),
                target: parsed.path.unwrap_or_default().to_string(),
                headers: copy_headers(parsed.headers),
                is_http_1_0: parsed.version == Some(0),
            };
            Ok(Some((length, head)))
        }
    }
}

/// Parses a response's head likewise.
/// ```
/// let (_, head) = http_streams::head::parse_response(b"HTTP/1.1 503 Busy\r\nA: 1\r\n\r\n").unwrap().unwrap();
/// assert_eq!(head.status, 503);
/// ```
pub fn parse_response(buffer: &[u8]) -> Result<Option<(usize, ResponseHead)>, httparse::Error> {
    let mut rows = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut rows);
    match parsed.parse(buffer)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let head = ResponseHead {
                status: parsed.code.unwrap_or_default(),
                reason: parsed.reason.unwrap_or_default().to_string(),
                headers: copy_headers(parsed.headers),
                is_http_1_0: parsed.version == Some(0),
            };
            Ok(Some((length, head)))
        }
    }
}

/// Writes a start line and headers, without the empty line. Line ends inside values are left out.
/// ```
/// let mut out = Vec::new();
/// http_streams::head::write_head(&mut out, "GET / HTTP/1.1", [&("A".to_string(), "1".to_string())].into_iter());
/// assert_eq!(out, b"GET / HTTP/1.1\r\nA: 1\r\n");
/// ```
pub fn write_head<'a>(out: &mut Vec<u8>, line: &str, headers: impl Iterator<Item = &'a (String, String)>) {
    out.extend_from_slice(line.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend(value.bytes().filter(|b| !matches!(b, b'\r' | b'\n')));
        out.extend_from_slice(b"\r\n");
    }
}
