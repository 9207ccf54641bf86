//! Whether a request is let in at the best place that was found for it, or refused at once with a time to come back.
//!
//! What is let in beyond what replicas can read makes everything behind it late, and goes on doing so: a backlog of an
//! aim's length has to be worked off before anything is in time again. So a request is refused where it would be late by
//! what waits before it. Of its own reading only a part of its aim counts, as a large prompt would otherwise never be
//! let in on a busy fleet, however short the backlog.
use std::time::Duration;

/// What a first event takes besides waiting and reading.
const ANSWERS: Duration = Duration::from_millis(50);
/// A first event may be expected so many aims after the request at the latest, the own reading counted in part.
const AIMS_MOST: f64 = 1.0;
/// The own reading counts up to this share of the aim.
const OWN_READING: f64 = 0.3;
/// Of a caller's patience so much may be waited for a first event: what is thought may be short of what comes.
const PATIENCE_MOST: f64 = 0.4;
/// Nothing is sent to a replica whose requests ask for more of its memory than this, while others wait there.
const MEMORY_MOST: f64 = 0.9;
/// A refused caller is asked to stay away for so long at the least, and at the most.
const COME_SOON: Duration = Duration::from_millis(200);
const COME_BACK: Duration = Duration::from_millis(1500);
/// By this share of its caller's patience a request should be served when it comes back.
const SERVED_BY: f64 = 0.3;

/// What is expected at the best place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// How long what was sent there before will be read yet.
    pub waiting: Duration,
    /// What reading this prompt takes.
    pub work: Duration,
    /// The share of the replica's memory that is asked for, this prompt among it.
    pub memory: f64,
}

/// What a route's callers want.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Within how long a first event is in time; zero where the route names none.
    pub aim: Duration,
    /// How long callers wait for a first event.
    pub patience: Duration,
}

/// When to come back, where the request is refused; none where it is let in.
/// ```
/// use std::time::Duration;
/// use stream_router::admission::{Estimate, Limits, refuse};
/// let limits = Limits { aim: Duration::from_millis(600), patience: Duration::from_millis(3200) };
/// let estimate = Estimate { waiting: Duration::ZERO, work: Duration::from_millis(100), memory: 0.1 };
/// assert_eq!(refuse(&estimate, &limits), None);
/// assert!(refuse(&Estimate { waiting: Duration::from_millis(700), ..estimate }, &limits).is_some());
/// ```
pub fn refuse(estimate: &Estimate, limits: &Limits) -> Option<Duration> {
    let first = estimate.waiting + estimate.work + ANSWERS;
    let counted = estimate.waiting + estimate.work.min(limits.aim.mul_f64(OWN_READING)) + ANSWERS;
    let late = !limits.aim.is_zero() && counted > limits.aim.mul_f64(AIMS_MOST);
    let too_long = first > limits.patience.mul_f64(PATIENCE_MOST);
    let no_memory = estimate.memory > MEMORY_MOST && estimate.waiting > ANSWERS * 2;
    let after = first.saturating_sub(limits.patience.mul_f64(SERVED_BY));
    (late || too_long || no_memory).then(|| after.clamp(COME_SOON, COME_BACK))
}
