//! Asking over HTTP/1.1, through `attohttpc`. A body shorter than its stated length is an error:
//! the library gives such a body without a word, so the length is checked here.
use crate::{PeerError, Step};
use attohttpc::{Method, RequestBuilder};
use std::io::Read;
use std::time::Duration;

/// An answer whose body is still to be read.
pub struct StreamedResponse<B = Body> {
    /// The HTTP status code.
    pub status: u16,
    /// Header names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, read as it arrives.
    pub body: B,
}

/// A body that knows whether it came whole.
pub struct Body {
    reader: attohttpc::ResponseReader,
    left: Option<u64>,
}

impl Read for Body {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let got = self.reader.read(buffer)?;
        if let Some(left) = &mut self.left {
            if got == 0 && *left > 0 && !buffer.is_empty() {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            *left = left.saturating_sub(got as u64);
        }
        Ok(got)
    }
}

/// The longest answer of a call that does not say another bound, in bytes.
const ANSWER_MAX_BYTES: u64 = 64 << 20;

/// Header names and values to send.
pub type Headers<'a> = &'a [(&'a str, String)];

/// Sends a request and returns once the head of the answer is in.
/// ```
/// use fleet_common::http_client;
/// let gone = http_client::open("GET", "http://127.0.0.1:1/", &[], &[], std::time::Duration::from_millis(100));
/// assert!(gone.is_err());
/// ```
pub fn open(
    method: &str,
    url: &str,
    headers: Headers,
    body: &[u8],
    wait: Duration,
) -> Result<StreamedResponse, PeerError> {
    let fault = |step, e: String| PeerError::at(step, url, e);
    let method = Method::from_bytes(method.as_bytes()).map_err(|e| fault(Step::Send, e.to_string()))?;
    let mut builder = RequestBuilder::try_new(method, url)
        .map_err(|e| fault(Step::Send, e.to_string()))?
        .connect_timeout(wait.min(Duration::from_millis(800)))
        .read_timeout(wait)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build());
    for (name, value) in headers {
        builder = builder
            .try_header(
                attohttpc::header::HeaderName::from_bytes(name.as_bytes()).unwrap_or(attohttpc::header::WARNING),
                value,
            )
            .map_err(|e| fault(Step::Send, e.to_string()))?;
    }
    let answer = builder.bytes(body).send().map_err(|e| {
        let step = match e.kind() {
            attohttpc::ErrorKind::ConnectError { .. } | attohttpc::ErrorKind::ConnectNotSupported => Step::Connect,
            attohttpc::ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => Step::Connect,
            _ => Step::Receive,
        };
        fault(step, e.to_string())
    })?;
    let (status, headers, reader) = answer.split();
    let headers: Vec<(String, String)> = headers
        .iter()
        .map(|(n, v)| (n.as_str().to_string(), String::from_utf8_lossy(v.as_bytes()).into_owned()))
        .collect();
    let left = headers.iter().find(|(n, _)| n == "content-length").and_then(|(_, v)| v.parse().ok());
    Ok(StreamedResponse { status: status.as_u16(), headers, body: Body { reader, left } })
}

/// Sends a request and reads the whole answer; one of over 64 MiB is an error.
/// ```
/// use fleet_common::http_client;
/// assert!(http_client::send("GET", "http://127.0.0.1:1/", &[], &[], std::time::Duration::from_millis(100)).is_err());
/// ```
pub fn send(
    method: &str,
    url: &str,
    headers: Headers,
    body: &[u8],
    wait: Duration,
) -> Result<(u16, Vec<u8>), PeerError> {
    read_whole(open(method, url, headers, body, wait)?, url, ANSWER_MAX_BYTES)
}

/// Gets a whole answer of so many bytes at the most; a longer one is an error.
/// ```
/// use fleet_common::http_client;
/// assert!(http_client::get("http://127.0.0.1:1/", 1 << 20, std::time::Duration::from_millis(100)).is_err());
/// ```
pub fn get(url: &str, max_bytes: u64, wait: Duration) -> Result<(u16, Vec<u8>), PeerError> {
    read_whole(open("GET", url, &[], &[], wait)?, url, max_bytes)
}

fn read_whole(opened: StreamedResponse, url: &str, max_bytes: u64) -> Result<(u16, Vec<u8>), PeerError> {
    let mut whole = Vec::new();
    let read = opened.body.take(max_bytes.saturating_add(1)).read_to_end(&mut whole);
    read.map_err(|e| PeerError::at(Step::Receive, url, e))?;
    if whole.len() as u64 > max_bytes {
        return Err(PeerError::at(Step::Receive, url, format!("an answer of over {max_bytes} bytes")));
    }
    Ok((opened.status, whole))
}

/// As `ask`, for JSON: anything but a 2xx is an error that quotes the answer.
/// ```
/// use fleet_common::http_client;
/// assert!(http_client::json("GET", "http://127.0.0.1:1/", "", std::time::Duration::from_millis(100)).is_err());
/// ```
pub fn json(method: &str, url: &str, body: &str, wait: Duration) -> Result<String, PeerError> {
    let kind = [("content-type", "application/json".to_string())];
    let (status, whole) = send(method, url, &kind, body.as_bytes(), wait)?;
    let text = String::from_utf8_lossy(&whole).into_owned();
    if (200..300).contains(&status) {
        Ok(text)
    } else {
        Err(PeerError::at(Step::Receive, url, format!("{status}: {text}")))
    }
}
