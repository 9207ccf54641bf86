//! Errors that carry the step and the peer at which they arose.
use std::fmt;

/// What was being done when something went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Connect,
    Listen,
    Send,
    Receive,
    Decode,
    Disk,
    Settings,
    Blueprint,
    Pull,
    Events,
    Forward,
    Handover,
    Command,
    Query,
    /// A check of what must always hold.
    Check,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_lowercase())
    }
}

/// An error: step, peer and what happened.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("{step} with {peer}: {what}")]
pub struct PeerError {
    pub step: Step,
    pub peer: String,
    pub what: String,
}

impl PeerError {
    /// Makes an error of anything that can be shown.
    /// ```
    /// use fleet_common::{PeerError, Step};
    /// let error = PeerError::at(Step::Send, "core-2", "stream reset");
    /// assert_eq!(error.to_string(), "send with core-2: stream reset");
    /// ```
    pub fn at(step: Step, peer: impl fmt::Display, what: impl fmt::Display) -> Self {
        PeerError { step, peer: peer.to_string(), what: what.to_string() }
    }
}
