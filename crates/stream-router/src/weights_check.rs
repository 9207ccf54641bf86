//! The check that no request begins on older weights later than operators are promised. A breach is counted and written
//! to the log with all that led to it; it changes nothing about the request.
use crate::placing::Place;
use crate::shared::{Shared, count};
use control_chain::naming_clock::Moment;
use fleet_common::{PeerError, Step, ring};

/// Checks a try whose first event has just come.
pub(crate) fn on_first_event(shared: &Shared, model: &str, place: &Place) {
    let (fleet, now) = (shared.fleet.read(), shared.now());
    if fleet.named_weights(model) == Some(&place.weights) {
        return;
    }
    let promise = shared.setup.weights_promise;
    let Some(until) = fleet.older_weights_until(model, &place.weights, promise) else { return };
    if Moment::at(now) <= until {
        return;
    }
    count(&shared.counters.weights_violations);
    let late = until.age(now);
    let what =
        format!("began on older weights {} of {model}, {late:?} after these had served {promise:?}", place.weights);
    ring::error(&PeerError::at(Step::Check, &place.id, &what));
}
