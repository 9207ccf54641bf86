//! The check that no request starts on superseded weights later than operators are guaranteed. A violation is counted
//! and written to the log; it changes nothing about the request.
use crate::placement::Placement;
use crate::state::{RouterState, count};
use control_state::process_instant::ProcessInstant;
use fleet_common::{PeerError, Step, ring};
use std::time::Instant;

/// Checks an attempt whose response has just started. `last_wait` is when it had certainly not started yet: this process
/// may have been suspended since, with the response unread, so what may have started in time is not counted.
pub(crate) fn check_started(state: &RouterState, placement: &Placement, last_wait: Instant) {
    let (fleet, model) = (state.fleet.read(), &placement.model);
    if fleet.current_weights(model).is_none_or(|named| named == placement.weights) {
        return;
    }
    let guarantee = state.settings.superseded_weights_guarantee;
    let Some(until) = fleet.superseded_weights_until(model, &placement.weights, guarantee) else { return };
    let started = state.now().saturating_sub(last_wait.elapsed());
    if ProcessInstant::at(started) <= until {
        return;
    }
    count(&state.counters.superseded_weights_violations);
    let late = until.age(started);
    let what = format!(
        "started on superseded weights {} of {model}, {late:?} after the guaranteed {guarantee:?}",
        placement.weights
    );
    ring::error(&PeerError::at(Step::Check, &placement.replica, &what));
}
