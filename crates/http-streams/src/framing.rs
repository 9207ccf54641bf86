//! Where the body of a message ends: at its length, with its last chunk, or with its connection.
use crate::error::FramingError;
use crate::head::Headers;

/// Limit on a chunk's size line with its extensions and line end, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Limit on a trailer with its line end, in bytes.
const MAX_TRAILER_BYTES: usize = 4096;

const LINE_END: &[u8] = b"\r\n";

/// How a body is framed, and how far it has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`: this many bytes are left.
    Length(u64),
    /// `Transfer-Encoding: chunked`, with the position in the chunks.
    Chunks(ChunkState),
    /// All bytes until the connection ends: nobody can tell whether the body is complete.
    UntilClose,
    /// The body is complete.
    Ended,
}

/// A reader's position in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkState {
    /// Before a chunk's size line.
    Size,
    /// Inside a chunk's data: this many bytes are left.
    Data(u64),
    /// Before the line end that follows a chunk's data.
    DataEnd,
    /// In the trailers, which end with an empty line.
    Trailer,
}

fn content_length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut found = None;
    for (_, value) in headers.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length")) {
        let number = value.trim().bytes().all(|b| b.is_ascii_digit()).then(|| value.trim().parse().ok()).flatten();
        match (number, found) {
            (None, _) => return Err(FramingError::InvalidLength(value.clone())),
            (Some(number), Some(other)) if number != other => return Err(FramingError::ConflictingLengths),
            (number, _) => found = number,
        }
    }
    Ok(found)
}

fn is_chunked(headers: &Headers) -> Result<bool, FramingError> {
    let mut rows = headers.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding"));
    match (rows.next(), rows.next()) {
        (None, _) => Ok(false),
        (Some((_, value)), None) if value.trim().eq_ignore_ascii_case("chunked") => Ok(true),
        (Some((_, value)), _) => Err(FramingError::UnsupportedEncoding(value.clone())),
    }
}

/// The framing of a request's body. Two framings at once are an error: each side might believe the other.
/// ```
/// use http_streams::{framing::{Framing, request_framing}, head::Headers};
/// let headers = |rows: &[(&str, &str)]| Headers(rows.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect());
/// assert_eq!(request_framing(&headers(&[("Content-Length", "3")])), Ok(Framing::Length(3)));
/// assert!(request_framing(&headers(&[("Content-Length", "3"), ("Transfer-Encoding", "chunked")])).is_err());
/// assert!(request_framing(&headers(&[("Content-Length", "3"), ("content-length", "4")])).is_err());
/// ```
pub fn request_framing(headers: &Headers) -> Result<Framing, FramingError> {
    match (content_length(headers)?, is_chunked(headers)?) {
        (Some(_), true) => Err(FramingError::LengthAndChunks),
        (_, true) => Ok(Framing::Chunks(ChunkState::Size)),
        (Some(0) | None, _) => Ok(Framing::Ended),
        (Some(length), _) => Ok(Framing::Length(length)),
    }
}

/// The framing of the body of a response to a request with this method.
/// ```
/// use http_streams::{framing::{Framing, response_framing}, head::Headers};
/// assert_eq!(response_framing("GET", 200, &Headers::default()), Ok(Framing::UntilClose));
/// assert_eq!(response_framing("GET", 204, &Headers::default()), Ok(Framing::Ended));
/// ```
pub fn response_framing(method: &str, status: u16, headers: &Headers) -> Result<Framing, FramingError> {
    if method == "HEAD" || status < 200 || status == 204 || status == 304 {
        return Ok(Framing::Ended);
    }
    match (content_length(headers)?, is_chunked(headers)?) {
        (Some(_), true) => Err(FramingError::LengthAndChunks),
        (_, true) => Ok(Framing::Chunks(ChunkState::Size)),
        (Some(0), _) => Ok(Framing::Ended),
        (Some(length), _) => Ok(Framing::Length(length)),
        (None, _) => Ok(Framing::UntilClose),
    }
}

impl Framing {
    /// Moves the available bytes of the body from the front of `buffer` to `out`; the framing then says what is left.
    /// ```
    /// use http_streams::framing::{ChunkState, Framing};
    /// let (mut framing, mut out) = (Framing::Chunks(ChunkState::Size), Vec::new());
    /// let mut buffer = b"3\r\nabc\r\n0\r\n\r\nnext".to_vec();
    /// framing.take(&mut buffer, &mut out).unwrap();
    /// assert_eq!((framing, out.as_slice(), buffer.as_slice()), (Framing::Ended, &b"abc"[..], &b"next"[..]));
    /// ```
    pub fn take(&mut self, buffer: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), FramingError> {
        let mut consumed = 0;
        let result = self.take_available(buffer, &mut consumed, out);
        buffer.drain(..consumed);
        result
    }

    /// Steps through the buffer until the body ends or more bytes are needed.
    fn take_available(&mut self, buffer: &[u8], consumed: &mut usize, out: &mut Vec<u8>) -> Result<(), FramingError> {
        loop {
            let rest = &buffer[*consumed..];
            let step = match *self {
                Framing::Ended => return Ok(()),
                Framing::UntilClose => {
                    out.extend_from_slice(rest);
                    *consumed = buffer.len();
                    return Ok(());
                }
                Framing::Length(left) => take_data(rest, left, out, Framing::Length, Framing::Ended),
                Framing::Chunks(ChunkState::Data(left)) => {
                    let more = |left| Framing::Chunks(ChunkState::Data(left));
                    take_data(rest, left, out, more, Framing::Chunks(ChunkState::DataEnd))
                }
                Framing::Chunks(ChunkState::Size) => take_size_line(rest)?,
                Framing::Chunks(ChunkState::DataEnd) => take_data_end(rest)?,
                Framing::Chunks(ChunkState::Trailer) => take_trailer(rest)?,
            };
            *consumed += step.consumed;
            *self = step.next.unwrap_or(*self);
            if step.needs_more {
                return Ok(());
            }
        }
    }
}

/// One step of a body's reader.
struct Step {
    /// Bytes that are used up.
    consumed: usize,
    /// The framing from here on, where it changes.
    next: Option<Framing>,
    /// Whether the next step has to wait for further bytes.
    needs_more: bool,
}

impl Step {
    fn to(consumed: usize, next: Framing) -> Step {
        Step { consumed, next: Some(next), needs_more: false }
    }

    fn wait() -> Step {
        Step { consumed: 0, next: None, needs_more: true }
    }
}

/// Copies data of which `left` bytes are still to come; `end` follows once they are all here.
fn take_data(rest: &[u8], left: u64, out: &mut Vec<u8>, more: impl FnOnce(u64) -> Framing, end: Framing) -> Step {
    let count = rest.len().min(left as usize);
    out.extend_from_slice(&rest[..count]);
    match left - count as u64 {
        0 => Step::to(count, end),
        left => Step { consumed: count, next: Some(more(left)), needs_more: true },
    }
}

fn take_size_line(rest: &[u8]) -> Result<Step, FramingError> {
    if rest.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(FramingError::MissingChunkSize);
    }
    match httparse::parse_chunk_size(rest) {
        Ok(httparse::Status::Complete((length, size))) if length <= MAX_SIZE_LINE_BYTES => {
            let next = if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
            Ok(Step::to(length, Framing::Chunks(next)))
        }
        Ok(httparse::Status::Partial) if rest.len() < MAX_SIZE_LINE_BYTES => Ok(Step::wait()),
        _ => Err(FramingError::InvalidChunkSize),
    }
}

fn take_data_end(rest: &[u8]) -> Result<Step, FramingError> {
    match rest {
        [b'\r', b'\n', ..] => Ok(Step::to(LINE_END.len(), Framing::Chunks(ChunkState::Size))),
        [] | [b'\r'] => Ok(Step::wait()),
        _ => Err(FramingError::MissingDataEnd),
    }
}

fn take_trailer(rest: &[u8]) -> Result<Step, FramingError> {
    match rest.windows(LINE_END.len()).position(|pair| pair == LINE_END) {
        Some(0) => Ok(Step::to(LINE_END.len(), Framing::Ended)),
        Some(end) if end + LINE_END.len() <= MAX_TRAILER_BYTES => {
            Ok(Step::to(end + LINE_END.len(), Framing::Chunks(ChunkState::Trailer)))
        }
        None if rest.len() < MAX_TRAILER_BYTES => Ok(Step::wait()),
        _ => Err(FramingError::TrailerTooLong),
    }
}

/// Writes data as one chunk. No data is no chunk: an empty one would end the body.
pub(crate) fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if !data.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
    }
}
