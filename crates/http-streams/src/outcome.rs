//! The outcomes of reading a request, of sending one and of waiting for its response.
use crate::error::{RequestError, ResponseError};
use crate::head::{RequestHead, ResponseHead};
use std::io;

/// Why a request was not sent completely. Only `Unsent` says that the replica cannot have run it.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte was sent.
    #[error("nothing was sent: {0}")]
    Unsent(io::Error),
    /// Some bytes were sent: nobody knows whether the request ran.
    #[error("sent in part: {0}")]
    SentInPart(io::Error),
}

/// What came of waiting for a response.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The head of the response.
    Head(ResponseHead),
    /// Bytes of the body; more may follow.
    Body(Vec<u8>),
    /// The body is complete.
    Complete,
    /// The client that the response is for has gone.
    ClientDisconnected,
    /// The deadline passed first.
    TimedOut,
    /// The response cannot be read to its end.
    Broken(ResponseError),
}

/// What came of reading a client's next request.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A complete request: its head and body.
    Request(RequestHead, Vec<u8>),
    /// No request, or none in time: to be closed without a response.
    Ended,
    /// Not to be served; the connection is closed after the response.
    Rejected(RequestError),
}
