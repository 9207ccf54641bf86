//! The check that no request begins on older weights later than operators are promised. A breach is counted and written
//! to the log with all that led to it; it changes nothing about the request.
use crate::placing::Place;
use crate::shared::{Shared, count};
use fleet_common::{PeerError, Step, ring};

/// Checks a try whose first event has just come.
pub(crate) fn on_first_event(shared: &Shared, model: &str, place: &Place) {
    let fleet = shared.fleet.read();
    let Some(superseded) = fleet.namings.superseded_at(model, &place.weights) else { return };
    let now = shared.now();
    let latest_start = superseded.max(fleet.namings.control_restart().unwrap_or(superseded));
    let bound = shared.setup.weights_promise;
    if latest_start.age(now) <= bound {
        return;
    }
    count(&shared.counters.weights_violations);
    let what = format!(
        "began on weights {} of {model}, superseded {:?} ago, control started {:?} ago, bound {bound:?}",
        place.weights,
        superseded.age(now),
        fleet.namings.control_restart().map(|at| at.age(now)),
    );
    ring::error(&PeerError::at(Step::Check, &place.id, &what));
}
