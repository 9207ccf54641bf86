//! Admission control: whether a request is admitted to the best replica that was found for it, or rejected at once
//! with a `Retry-After`.
//!
//! What is admitted beyond the replicas' prefill capacity makes everything behind it late, and goes on doing so: a
//! backlog as long as the latency target has to be worked off before anything is in time again. So a request is
//! rejected where the backlog would make it late. Its own prefill counts only up to a share of its target, as a large
//! prompt would otherwise never be admitted on a busy fleet, however short the backlog.
use std::time::Duration;

/// What a first event takes besides queueing and prefill.
const RESPONSE_OVERHEAD: Duration = Duration::from_millis(50);
/// The first event may be expected this many latency targets after the request, its own prefill counted in part.
const MAX_LATENCY_TARGETS: f64 = 1.0;
/// The request's own prefill counts up to this share of the latency target.
const COUNTED_PREFILL_SHARE: f64 = 0.3;
/// The share of the client's patience that the first event may take: estimates may fall short.
const MAX_PATIENCE_SHARE: f64 = 0.4;
/// The share of a replica's KV cache that requests may ask for while others wait there.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Bounds on `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// A rejected request that comes back should be served within this share of the client's patience.
const SERVED_WITHIN_PATIENCE_SHARE: f64 = 0.3;

/// What is expected at the best replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartEstimate {
    /// How long the prefill of earlier requests will take.
    pub queue_delay: Duration,
    /// How long the prefill of this prompt takes.
    pub prefill_time: Duration,
    /// The share of the replica's KV cache that requests ask for, this one included; 0 where unknown.
    pub memory_share: f64,
}

/// What a route's clients expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTargets {
    /// The latency target of the first event; zero where the route names none.
    pub latency_target: Duration,
    /// How long clients wait for a first event.
    pub patience: Duration,
}

/// What admission control decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is sent to the replica.
    Admit,
    /// The request is rejected.
    Reject {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Decides whether a request is admitted to the replica of this estimate.
/// ```
/// use std::time::Duration;
/// use stream_router::admission::{AdmissionDecision, RouteTargets, StartEstimate, decide};
/// let targets = RouteTargets { latency_target: Duration::from_millis(600), patience: Duration::from_millis(3200) };
/// let estimate =
///     StartEstimate { queue_delay: Duration::ZERO, prefill_time: Duration::from_millis(100), memory_share: 0.1 };
/// assert_eq!(decide(&estimate, &targets), AdmissionDecision::Admit);
/// let late = StartEstimate { queue_delay: Duration::from_millis(700), ..estimate };
/// assert!(matches!(decide(&late, &targets), AdmissionDecision::Reject { .. }));
/// ```
pub fn decide(estimate: &StartEstimate, targets: &RouteTargets) -> AdmissionDecision {
    let first_event = estimate.queue_delay + estimate.prefill_time + RESPONSE_OVERHEAD;
    if !is_late(estimate, targets) && !exceeds_patience(first_event, targets) && !lacks_memory(estimate) {
        return AdmissionDecision::Admit;
    }
    let served_within = targets.patience.mul_f64(SERVED_WITHIN_PATIENCE_SHARE);
    let retry_after = first_event.saturating_sub(served_within).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    AdmissionDecision::Reject { retry_after }
}

/// Whether the backlog would make the first event miss the latency target.
fn is_late(estimate: &StartEstimate, targets: &RouteTargets) -> bool {
    let counted_prefill = estimate.prefill_time.min(targets.latency_target.mul_f64(COUNTED_PREFILL_SHARE));
    let counted = estimate.queue_delay + counted_prefill + RESPONSE_OVERHEAD;
    !targets.latency_target.is_zero() && counted > targets.latency_target.mul_f64(MAX_LATENCY_TARGETS)
}

fn exceeds_patience(first_event: Duration, targets: &RouteTargets) -> bool {
    first_event > targets.patience.mul_f64(MAX_PATIENCE_SHARE)
}

/// Whether the replica's KV cache is full while others wait there.
fn lacks_memory(estimate: &StartEstimate) -> bool {
    estimate.memory_share > MAX_MEMORY_SHARE && estimate.queue_delay > RESPONSE_OVERHEAD * 2
}
