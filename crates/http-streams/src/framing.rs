//! Where a body ends: by length, in chunks, or with its connection.
use crate::head::Headers;

/// A chunk's size with its extensions and line end, at the most, in bytes.
const SIZE_LINE_MOST: usize = 256;
/// A trailer with its line end, at the most, in bytes.
const TRAILER_MOST: usize = 4096;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// Chunks: so many bytes are left of the present one.
    Chunks(ChunkAt),
    /// All until the connection ends: nobody can tell whether it came whole.
    UntilClose,
    Ended,
}

/// Where in the chunks a reader is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkAt {
    Size,
    Data(u64),
    /// The line end after a chunk's data.
    After,
    /// Trailers, until an empty line.
    Trailer,
}

fn length(headers: &Headers) -> Result<Option<u64>, String> {
    let mut found = None;
    for (_, value) in headers.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length")) {
        let number = value.trim().bytes().all(|b| b.is_ascii_digit()).then(|| value.trim().parse().ok()).flatten();
        match (number, found) {
            (None, _) => return Err(format!("a length of {value}")),
            (Some(number), Some(other)) if number != other => return Err("two lengths".into()),
            (number, _) => found = number,
        }
    }
    Ok(found)
}

fn chunked(headers: &Headers) -> Result<bool, String> {
    let mut rows = headers.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding"));
    match (rows.next(), rows.next()) {
        (None, _) => Ok(false),
        (Some((_, value)), None) if value.trim().eq_ignore_ascii_case("chunked") => Ok(true),
        (Some((_, value)), _) => Err(format!("a transfer encoding of {value}")),
    }
}

/// The framing of a request's body. Two framings at once are an error: each side might believe the other.
/// ```
/// use http_streams::{framing::{Framing, of_request}, head::Headers};
/// let headers = |rows: &[(&str, &str)]| Headers(rows.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect());
/// assert_eq!(of_request(&headers(&[("Content-Length", "3")])), Ok(Framing::Length(3)));
/// assert!(of_request(&headers(&[("Content-Length", "3"), ("Transfer-Encoding", "chunked")])).is_err());
/// assert!(of_request(&headers(&[("Content-Length", "3"), ("content-length", "4")])).is_err());
/// ```
pub fn of_request(headers: &Headers) -> Result<Framing, String> {
    match (length(headers)?, chunked(headers)?) {
        (Some(_), true) => Err("a length and chunks".into()),
        (_, true) => Ok(Framing::Chunks(ChunkAt::Size)),
        (Some(0) | None, _) => Ok(Framing::Ended),
        (Some(length), _) => Ok(Framing::Length(length)),
    }
}

/// The framing of an answer's body.
/// ```
/// use http_streams::{framing::{Framing, of_answer}, head::Headers};
/// assert_eq!(of_answer("GET", 200, &Headers::default()), Ok(Framing::UntilClose));
/// assert_eq!(of_answer("GET", 204, &Headers::default()), Ok(Framing::Ended));
/// ```
pub fn of_answer(method: &str, status: u16, headers: &Headers) -> Result<Framing, String> {
    if method == "HEAD" || status < 200 || status == 204 || status == 304 {
        return Ok(Framing::Ended);
    }
    match (length(headers)?, chunked(headers)?) {
        (Some(_), true) => Err("a length and chunks".into()),
        (_, true) => Ok(Framing::Chunks(ChunkAt::Size)),
        (Some(0), _) => Ok(Framing::Ended),
        (Some(length), _) => Ok(Framing::Length(length)),
        (None, _) => Ok(Framing::UntilClose),
    }
}

impl Framing {
    /// Moves what is there of the body from the front of a buffer to `out`; the framing tells what is left.
    /// Errors say what is wrong with the framing.
    /// ```
    /// use http_streams::framing::{ChunkAt, Framing};
    /// let (mut framing, mut out) = (Framing::Chunks(ChunkAt::Size), Vec::new());
    /// let mut buffer = b"3\r\nabc\r\n0\r\n\r\nnext".to_vec();
    /// framing.take(&mut buffer, &mut out).unwrap();
    /// assert_eq!((framing, out.as_slice(), buffer.as_slice()), (Framing::Ended, &b"abc"[..], &b"next"[..]));
    /// ```
    pub fn take(&mut self, buffer: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), String> {
        let mut used = 0;
        let done = self.walk(buffer, &mut used, out);
        buffer.drain(..used);
        done
    }

    fn walk(&mut self, buffer: &[u8], used: &mut usize, out: &mut Vec<u8>) -> Result<(), String> {
        loop {
            let rest = &buffer[*used..];
            match *self {
                Framing::Ended => return Ok(()),
                Framing::UntilClose => {
                    out.extend_from_slice(rest);
                    *used = buffer.len();
                    return Ok(());
                }
                Framing::Length(left) | Framing::Chunks(ChunkAt::Data(left)) => {
                    let now = rest.len().min(left as usize);
                    out.extend_from_slice(&rest[..now]);
                    *used += now;
                    let left = left - now as u64;
                    *self = match (*self, left) {
                        (Framing::Length(_), 0) => Framing::Ended,
                        (Framing::Length(_), left) => Framing::Length(left),
                        (_, 0) => Framing::Chunks(ChunkAt::After),
                        (_, left) => Framing::Chunks(ChunkAt::Data(left)),
                    };
                    if left > 0 {
                        return Ok(());
                    }
                }
                Framing::Chunks(ChunkAt::Size) if rest.first().is_some_and(|b| !b.is_ascii_hexdigit()) => {
                    return Err("a chunk without a size".into());
                }
                Framing::Chunks(ChunkAt::Size) => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((length, size))) if length <= SIZE_LINE_MOST => {
                        *used += length;
                        let at = if size == 0 { ChunkAt::Trailer } else { ChunkAt::Data(size) };
                        *self = Framing::Chunks(at);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < SIZE_LINE_MOST => return Ok(()),
                    _ => return Err("a chunk's size cannot be read".into()),
                },
                Framing::Chunks(ChunkAt::After) => match rest {
                    [b'\r', b'\n', ..] => {
                        *used += 2;
                        *self = Framing::Chunks(ChunkAt::Size);
                    }
                    [] | [b'\r'] => return Ok(()),
                    _ => return Err("a chunk runs on".into()),
                },
                Framing::Chunks(ChunkAt::Trailer) => match rest.windows(2).position(|pair| pair == b"\r\n") {
                    Some(0) => {
                        *used += 2;
                        *self = Framing::Ended;
                    }
                    Some(end) if end + 2 <= TRAILER_MOST => *used += end + 2,
                    None if rest.len() < TRAILER_MOST => return Ok(()),
                    _ => return Err("trailers without an end".into()),
                },
            }
        }
    }
}

/// Writes bytes as one chunk; no bytes are no chunk, as an empty one would end the body.
pub(crate) fn write_chunk(out: &mut Vec<u8>, piece: &[u8]) {
    if !piece.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        out.extend_from_slice(piece);
        out.extend_from_slice(b"\r\n");
    }
}
