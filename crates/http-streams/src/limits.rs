//! Bounds on callers.
use std::time::Duration;

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header: Duration,
    pub body: Duration,
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let second = Duration::from_secs(1);
        Limits { header_bytes: 16 << 10, body_bytes: 4 << 20, header: second * 3, body: second * 10, idle: second * 15 }
    }
}
