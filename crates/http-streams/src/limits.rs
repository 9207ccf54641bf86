//! Limits on what clients send.
use crate::latch::Latch;
use fleet_common::memory_budget::MemoryBudget;
use std::sync::Arc;
use std::time::Duration;

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// From the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// From the end of one request to the first byte of the next.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let second = Duration::from_secs(1);
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: second * 3,
            body_timeout: second * 10,
            idle_timeout: second * 15,
        }
    }
}

impl Limits {
    /// In each respect the more generous of both.
    /// ```
    /// use http_streams::limits::Limits;
    /// let small = Limits { body_bytes: 10, ..Limits::default() };
    /// assert_eq!(small.widened_by(Limits::default()), Limits::default());
    /// ```
    pub fn widened_by(self, other: Limits) -> Limits {
        Limits {
            header_bytes: self.header_bytes.max(other.header_bytes),
            body_bytes: self.body_bytes.max(other.body_bytes),
            header_timeout: self.header_timeout.max(other.header_timeout),
            body_timeout: self.body_timeout.max(other.body_timeout),
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
        }
    }
}

/// Where the limits on a connection come from. They may change while the connection waits, so they are asked for at the
/// moment at which something is judged by them, and never kept across a wait.
pub trait LimitsSource {
    /// The limits in force now.
    fn limits(&self) -> Limits;

    /// A latch that is released when the limits change; whoever waits by limits takes it before it reads these. `None`
    /// where they never change.
    fn next_change(&self) -> Option<Arc<Latch>> {
        None
    }

    /// The memory that the bodies of all requests share. `None` where it is not bounded.
    fn body_memory(&self) -> Option<&Arc<MemoryBudget>> {
        None
    }
}

/// Limits that never change.
impl LimitsSource for Limits {
    fn limits(&self) -> Limits {
        *self
    }
}
