//! Errors that carry the step and the peer at which they arose.
use std::fmt;

/// What was being done when something went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Opening a connection.
    Connect,
    /// Listening on an address.
    Listen,
    /// Sending a request.
    Send,
    /// Waiting for or reading a response.
    Receive,
    /// Encoding or decoding a message.
    Decode,
    /// Reading or writing the data folder.
    Disk,
    /// Reading settings.
    Settings,
    /// Reading a configuration.
    Blueprint,
    /// Pulling updates from the control replicas.
    Pull,
    /// Polling a replica's cache events.
    Events,
    /// Forwarding a request to a replica.
    Forward,
    /// Transferring a table or cached blocks.
    Handover,
    /// Submitting a command.
    Command,
    /// Querying a node or a control replica.
    Query,
    /// A check of what must always hold.
    Check,
    /// Running a thread, which panicked.
    Thread,
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
    /// What was being done.
    pub step: Step,
    /// With whom: an address, a URL or a name.
    pub peer: String,
    /// What happened.
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
