//! Why a request or a response cannot be read.
//!
//! The texts of [`RequestError`] are part of what clients see, so they stay as they are.
use std::io;

/// A body whose end cannot be told without doubt, or whose chunks are malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// `Content-Length` is not a decimal number of bytes that fits in 64 bits.
    #[error("a length of {0}")]
    InvalidLength(String),
    /// Two `Content-Length` headers differ.
    #[error("two lengths")]
    ConflictingLengths,
    /// `Transfer-Encoding` is anything but `chunked`, once.
    #[error("a transfer encoding of {0}")]
    UnsupportedEncoding(String),
    /// Both `Content-Length` and `Transfer-Encoding` are given: each side might believe the other.
    #[error("a length and chunks")]
    LengthAndChunks,
    /// A chunk does not start with a hexadecimal digit.
    #[error("a chunk without a size")]
    MissingChunkSize,
    /// A chunk's size line is malformed or too long.
    #[error("a chunk's size cannot be read")]
    InvalidChunkSize,
    /// A chunk's data is not followed by a line end.
    #[error("a chunk runs on")]
    MissingDataEnd,
    /// A trailer line is too long.
    #[error("trailers without an end")]
    TrailerTooLong,
}

/// Why a client's request is rejected before anybody has seen it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is not HTTP/1.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The head is larger than the limit.
    #[error("head too large")]
    HeadTooLarge,
    /// The head did not arrive within the time-out.
    #[error("the head did not come in time")]
    HeadTimeout,
    /// The body's framing is ambiguous or malformed.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// The body is larger than the limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The body did not arrive within the time-out.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// The bodies of all requests together take as much memory as they may.
    #[error("no memory is left for the body")]
    OutOfMemory,
}

impl RequestError {
    /// The HTTP status of the response that rejects the request.
    pub fn status(&self) -> u16 {
        match self {
            RequestError::Head(_) | RequestError::Framing(_) => 400,
            RequestError::HeadTimeout | RequestError::BodyTimeout => 408,
            RequestError::BodyTooLarge => 413,
            RequestError::HeadTooLarge => 431,
            RequestError::OutOfMemory => 503,
        }
    }
}

/// Why a replica's response cannot be read to its end. Its connection is not used again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The head is not HTTP/1.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The head is larger than the limit.
    #[error("a head too large")]
    HeadTooLarge,
    /// The limit on a head was reached without its end.
    #[error("a head without an end")]
    HeadWithoutEnd,
    /// Too many interim responses, or one that switches to another protocol.
    #[error("interim answers that nobody asked for")]
    UnexpectedInterim,
    /// The body's framing is ambiguous or malformed.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// The connection ended before the head was complete.
    #[error("closed before an answer")]
    ClosedBeforeResponse,
    /// The connection ended before the body was complete.
    #[error("closed inside an answer")]
    ClosedInsideResponse,
    /// The connection ended, and only that marks the body's end: it may be incomplete.
    #[error("closed: nobody can tell whether whole")]
    ClosedWithoutFraming,
    /// The socket failed.
    #[error("read failed: {0}")]
    Read(io::ErrorKind),
}
