//! Waiting for the next request of a connection.
use super::{Inbound, LimitsSource};
use crate::latch::Latch;
use crate::wait::{WaitOutcome, wait_readable_or_released};
use std::time::Instant;

impl Inbound {
    /// Waits until something of the next request has come. `false` where the connection is to be closed: it has been idle
    /// for longer than the limits in force allow, or `stop` is released.
    pub(super) fn wait_for_request(&self, stop: Option<&Latch>, limits: &impl LimitsSource) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let idle_since = Instant::now();
        loop {
            // Taken before the limits are read, so that a change in between ends the wait.
            let change = limits.next_change();
            let until = idle_since + limits.limits().idle_timeout;
            match wait_readable_or_released(&self.stream, [stop, change.as_deref()], until) {
                WaitOutcome::Readable => return true,
                WaitOutcome::Disconnected if stop.is_some_and(Latch::is_released) => return false,
                WaitOutcome::TimedOut if Instant::now() >= idle_since + limits.limits().idle_timeout => return false,
                WaitOutcome::Disconnected | WaitOutcome::TimedOut => {}
            }
        }
    }
}
