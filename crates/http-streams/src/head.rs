//! Heads of requests and answers.
use std::time::Duration;

const HEADERS_MOST: usize = 128;
/// Headers that concern only one connection.
const HOP: [&str; 9] = [
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

/// Names and values, in order, names as they were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The value of a header, whatever its case.
    /// ```
    /// use http_streams::head::Headers;
    /// let headers = Headers(vec![("Host".into(), "a".into())]);
    /// assert_eq!(headers.get("host"), Some("a"));
    /// ```
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a header lists a word, among others parted by commas.
    /// ```
    /// use http_streams::head::Headers;
    /// let headers = Headers(vec![("Connection".into(), "Keep-Alive, close".into())]);
    /// assert!(headers.lists("connection", "close"));
    /// ```
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let rows = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        rows.flat_map(|(_, v)| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Those that are to be passed on: not of one connection only, nor told by framing.
    /// ```
    /// use http_streams::head::Headers;
    /// let headers = Headers(vec![("TE".into(), "x".into()), ("A".into(), "1".into())]);
    /// assert_eq!(headers.end_to_end().count(), 1);
    /// ```
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, String)> {
        let named = |name: &str| self.lists("connection", name);
        let own = |n: &str| HOP.iter().any(|h| h.eq_ignore_ascii_case(n)) || n.eq_ignore_ascii_case("content-length");
        self.0.iter().filter(move |(n, _)| !own(n) && !named(n))
    }
}

/// The head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub old: bool,
}

/// The head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    pub status: u16,
    pub reason: String,
    pub headers: Headers,
    pub old: bool,
}

impl AnswerHead {
    /// For how long its sender keeps the connection idle, where it says so.
    /// ```
    /// let text = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=9\r\n\r\n";
    /// let (_, head) = http_streams::head::answer(text).unwrap().unwrap();
    /// assert_eq!(head.keep_alive(), Some(std::time::Duration::from_secs(5)));
    /// ```
    pub fn keep_alive(&self) -> Option<Duration> {
        let value = self.headers.get("keep-alive")?;
        let stated = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        stated.unwrap_or(value.trim()).parse().ok().map(Duration::from_secs)
    }
}

fn take(parsed: &[httparse::Header<'_>]) -> Headers {
    Headers(parsed.iter().map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned())).collect())
}

/// Reads a request's head from the front of a buffer: its length and itself, or `None` while it is not whole.
/// Errors say what is wrong with it.
/// ```
/// let (length, head) = http_streams::head::request(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nrest").unwrap().unwrap();
/// assert_eq!((length, head.target.as_str()), (28, "/a"));
/// assert!(http_streams::head::request(b"GET /a HT").unwrap().is_none());
/// assert!(http_streams::head::request(b"\0\0").is_err());
/// ```
pub fn request(buffer: &[u8]) -> Result<Option<(usize, RequestHead)>, String> {
    let mut rows = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Request::new(&mut rows);
    match parsed.parse(buffer).map_err(|e| e.to_string())? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let head = RequestHead {
                method: parsed.method.unwrap_or_default().to_string(),
                target: parsed.path.unwrap_or_default().to_string(),
                headers: take(parsed.headers),
                old: parsed.version == Some(0),
            };
            Ok(Some((length, head)))
        }
    }
}

/// Reads an answer's head likewise.
/// ```
/// let (_, head) = http_streams::head::answer(b"HTTP/1.1 503 Busy\r\nA: 1\r\n\r\n").unwrap().unwrap();
/// assert_eq!(head.status, 503);
/// ```
pub fn answer(buffer: &[u8]) -> Result<Option<(usize, AnswerHead)>, String> {
    let mut rows = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Response::new(&mut rows);
    match parsed.parse(buffer).map_err(|e| e.to_string())? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let head = AnswerHead {
                status: parsed.code.unwrap_or_default(),
                reason: parsed.reason.unwrap_or_default().to_string(),
                headers: take(parsed.headers),
                old: parsed.version == Some(0),
            };
            Ok(Some((length, head)))
        }
    }
}

/// Writes a head's first line and headers, without the framing's and without the empty line.
/// ```
/// let mut out = Vec::new();
/// http_streams::head::write(&mut out, "GET / HTTP/1.1", [&("A".to_string(), "1".to_string())].into_iter());
/// assert_eq!(out, b"GET / HTTP/1.1\r\nA: 1\r\n");
/// ```
pub fn write<'a>(out: &mut Vec<u8>, line: &str, headers: impl Iterator<Item = &'a (String, String)>) {
    out.extend_from_slice(line.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend(value.bytes().filter(|b| !matches!(b, b'\r' | b'\n')));
        out.extend_from_slice(b"\r\n");
    }
}
