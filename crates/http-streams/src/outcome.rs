//! What came of reading a request, of sending one and of waiting for its answer.
use crate::head::{AnswerHead, RequestHead};
use std::io;

/// Why a request was not sent whole. Only `Unsent` says that the replica cannot have run it.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte left.
    #[error("nothing was sent: {0}")]
    Unsent(io::Error),
    /// Some bytes left: nobody knows whether the request ran.
    #[error("sent in part: {0}")]
    SentInPart(io::Error),
}

/// What came of waiting for an answer.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponsePart {
    Head(AnswerHead),
    /// Bytes of the body; the framing tells whether more is to come.
    Body(Vec<u8>),
    /// The body came whole.
    Whole,
    CallerLeft,
    TimedOut,
    Broken(String),
}

/// What came on a caller's connection.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Request(RequestHead, Vec<u8>),
    /// Nothing more, or nothing in time: to be closed without an answer.
    Ended,
    /// Not to be served: a status and what is wrong.
    Bad(u16, String),
}
