//! How times enter a fingerprint: an exhaustive search tells states by it that it has seen before.
use std::time::Duration;

/// How long ago something was, up to and a little beyond the limit after which it makes no difference.
pub(crate) fn age(now: Duration, then: Duration, limit: Duration) -> Duration {
    const BEYOND: Duration = Duration::from_millis(1);
    now.saturating_sub(then).min(limit + BEYOND)
}
