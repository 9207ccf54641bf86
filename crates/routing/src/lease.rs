//! The edge's lease as its router sees it: a router works only within the lease of its last confirmed pull, by the
//! monotonic clock.
use fleet_common::rpc::NODE_LEASE;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// When the last confirmed pull was sent. Shared by all workers without a lock.
pub struct Lease {
    started_at: Instant,
    /// Since `started_at`, in microseconds; 0 before the first confirmed pull.
    confirmed_us: AtomicU64,
}

impl Default for Lease {
    fn default() -> Self {
        Lease { started_at: Instant::now(), confirmed_us: AtomicU64::new(0) }
    }
}

impl Lease {
    /// Renews the lease by a confirmed pull that was sent `age` before `asked_at`. It never goes backwards.
    pub fn renew(&self, asked_at: Instant, age: Duration) {
        let sent_at = asked_at.saturating_duration_since(self.started_at).saturating_sub(age);
        self.confirmed_us.fetch_max(sent_at.as_micros() as u64, Ordering::AcqRel);
    }

    /// Whether the lease is valid.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.is_valid_within(now, NODE_LEASE)
    }

    /// Whether the lease is valid where it may be no longer than `longest`.
    pub fn is_valid_within(&self, now: Instant, longest: Duration) -> bool {
        let confirmed_us = self.confirmed_us.load(Ordering::Acquire);
        let ends_at = Duration::from_micros(confirmed_us) + longest.min(NODE_LEASE);
        confirmed_us > 0 && now.saturating_duration_since(self.started_at) < ends_at
    }
}
