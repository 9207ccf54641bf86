//! Graceful shutdown: which requests are still accepted, what counts as unfinished, and when the process may end.
use crate::request_context::{LocalReply, PhaseOutcome, RequestContext};
use crate::state::RouterState;
use fleet_common::ring;
use fleet_common::settings::Settings;
use routing::shutdown::{Admission, Phase, ShutdownLimits};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stream_router::agent_client;

/// How often a router that is draining checks whether it is done.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The times of a shutdown. Whoever sends clients here notices on the health page, within the lag, that it drains.
pub fn limits(settings: &mut Settings) -> ShutdownLimits {
    let grace = Duration::from_millis(settings.number("drainMs", 8000, 0, 600_000));
    let withdrawal = Duration::from_millis(settings.number("healthLagMs", 0, 0, 600_000));
    ShutdownLimits { grace, withdrawal, not_ready_answers: 0, transit: Duration::ZERO }
}

/// Counts a request as running until it is dropped.
pub struct RunningRequest<'a>(&'a RouterState);

impl<'a> RunningRequest<'a> {
    pub fn start(state: &'a RouterState) -> Self {
        state.requests_running.fetch_add(1, Ordering::AcqRel);
        RunningRequest(state)
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.requests_running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The phase in which a router that is draining accepts only what it can finish in time.
pub fn check_shutdown(state: &Arc<RouterState>, context: &mut RequestContext) -> PhaseOutcome {
    let now = state.now();
    let time_left = context.deadline.saturating_sub(now);
    match state.shutdown().admit(now, context.kind_key(), time_left) {
        Admission::Admit => PhaseOutcome::Continue,
        Admission::Reject { .. } => PhaseOutcome::Reply(LocalReply::with_retry_after(503, "this edge is stopping")),
    }
}

/// Drains the router; returns when the process may end. Claims that are not completed count as unfinished too.
pub fn drain(state: &RouterState) {
    ring::info("shutdown requested: draining");
    state.shutdown().start_draining(state.now());
    loop {
        let unfinished = state.requests_running.load(Ordering::Acquire) + state.pending_completions().len();
        if state.shutdown().advance(state.now(), unfinished) == Phase::Done {
            if unfinished == 0 {
                agent_client::say_goodbye(state);
            }
            return;
        }
        std::thread::sleep(DRAIN_CHECK_INTERVAL);
    }
}
