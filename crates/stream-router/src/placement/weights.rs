//! Which weights a request would run on, and until when superseded ones may be used.
use super::Inputs;
use crate::request_context::RequestContext;
use crate::state::RouterState;
use control_state::fleet::{APP_MODEL, Fleet, STORE_MODEL};
use control_state::process_instant::ProcessInstant;
use control_state::release_clock::is_newer;
use routing::session_placement::ReplicaStatus;
use std::time::Instant;

/// The model whose weights a request runs on at a replica: the one that it names, or else the replica's own. A request
/// that names no model runs on a version all the same. Empty for an app service or a store.
pub(super) fn model_at<'a>(context: &'a RequestContext, status: &'a ReplicaStatus) -> &'a str {
    match context.info.model.as_str() {
        "" if [APP_MODEL, STORE_MODEL].contains(&status.model.as_str()) => "",
        "" => &status.model,
        model => model,
    }
}

/// The version of the weights that a replica runs; the newest where it has not said.
pub(super) fn weights_at(inputs: &Inputs, status: &ReplicaStatus) -> String {
    if !status.weights.is_empty() {
        return status.weights.clone();
    }
    inputs.fleet.current_weights(model_at(inputs.context, status)).unwrap_or_default().to_string()
}

/// By when a request must start on these weights, as far as is known now: they may be superseded at any time. `None`
/// where they are the newest.
pub(crate) fn start_deadline(state: &RouterState, fleet: &Fleet, model: &str, weights: &str) -> Option<Instant> {
    if let Some(until) = superseded_until(state, fleet, model, weights) {
        return Some(Instant::now() + until.remaining(state.now()));
    }
    let newest = fleet.current_weights(model).unwrap_or(weights);
    let is_superseded = !weights.is_empty() && weights != newest && !is_newer(weights, newest);
    // Where nobody said when newer ones were released, that may be long ago.
    is_superseded.then(Instant::now)
}

/// Until when requests may start on these superseded weights.
pub(super) fn superseded_until(
    state: &RouterState,
    fleet: &Fleet,
    model: &str,
    weights: &str,
) -> Option<ProcessInstant> {
    fleet.superseded_weights_until(model, weights, state.settings.older_weights_bound)
}
