//! A transfer of cached parts, as a router has seen it.
use std::time::Duration;

/// A transfer whose effect was seen.
#[derive(Clone, Debug)]
pub struct TransferAttempt {
    /// The request that the transfer was for.
    pub request_id: String,
    /// The replica or store that was named as the source.
    pub source: String,
    /// The last prompt part that the source was named for.
    pub last_part: u64,
    /// From sending the request to its first event.
    pub time_to_first_event: Duration,
}
