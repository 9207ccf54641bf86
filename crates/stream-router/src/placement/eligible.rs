//! The first step of a placement: which replicas may take the request at all.
use super::Inputs;
use super::weights::{model_at, superseded_until};
use crate::backlog_key::BacklogKey;
use control_state::process_instant::ProcessInstant;
use control_state::release_clock::is_newer;
use routing::in_flight_table::InFlightTable;
use routing::session_placement::ReplicaStatus;
use std::time::Duration;

/// A request starts at least this long after what waited before it.
const MIN_START_DELAY: Duration = Duration::from_millis(250);
/// How long decoding a token takes at a busy replica.
const DECODE_TIME_PER_TOKEN: Duration = Duration::from_millis(20);
/// Queue delays are estimates: the real one may be so many times as long.
const QUEUE_DELAY_FACTOR: f64 = 2.0;

/// The indices of the eligible replicas. Those that this router serves are preferred, as it knows all that waits there.
pub(super) fn eligible_replicas(inputs: &Inputs) -> Vec<usize> {
    let all = replicas_that_may_take(inputs);
    let reachable: Vec<usize> = all.iter().copied().filter(|index| !inputs.statuses[*index].unavailable).collect();
    let subsets = inputs.state.subsets.read();
    let served: Vec<usize> =
        reachable.iter().copied().filter(|index| subsets.serves(&inputs.statuses[*index].id)).collect();
    match (served.is_empty(), reachable.is_empty()) {
        (false, _) => served,
        (true, false) => reachable,
        // One that is taken for unreachable may be up after all.
        (true, true) => all,
    }
}

/// The replicas of the service that are not draining, were not attempted, have the model and run usable weights.
fn replicas_that_may_take(inputs: &Inputs) -> Vec<usize> {
    let in_flight = inputs.state.in_flight();
    let is_of_service = |status: &ReplicaStatus| status.service == inputs.context.service;
    let has_model = |status: &ReplicaStatus| status.model == inputs.context.info.model;
    // Where none has it, it is for the replica to say so.
    let must_have_model = inputs.statuses.iter().any(|status| is_of_service(status) && has_model(status));
    let may_take = |index: &usize| {
        let status = &inputs.statuses[*index];
        is_of_service(status)
            && (!must_have_model || has_model(status))
            && !status.draining
            && !inputs.context.attempted_replicas.contains(&status.id)
            && runs_usable_weights(inputs, &in_flight, status)
    };
    (0..inputs.statuses.len()).filter(may_take).collect()
}

/// Whether the replica runs the newest weights, or superseded ones on which the request can still end in time: the
/// replica is told to stop when these may be used no more.
fn runs_usable_weights(inputs: &Inputs, in_flight: &InFlightTable, status: &ReplicaStatus) -> bool {
    let model = model_at(inputs.context, status);
    let Some(newest) = inputs.fleet.current_weights(model) else { return true };
    if status.weights.is_empty() || status.weights == newest || is_newer(&status.weights, newest) {
        return true;
    }
    let until = superseded_until(inputs.state, inputs.fleet, model, &status.weights);
    until.is_some_and(|until| expected_end(inputs, in_flight, status) < until)
}

/// When the request would end at a replica, at the latest that is to be expected.
fn expected_end(inputs: &Inputs, in_flight: &InFlightTable, status: &ReplicaStatus) -> ProcessInstant {
    let queue_delay = in_flight.queue_time(inputs.now, BacklogKey::Replica(&status.id).number());
    let start = inputs.now + queue_delay.mul_f64(QUEUE_DELAY_FACTOR) + MIN_START_DELAY;
    let tokens = u32::try_from(inputs.context.info.tokens.max_output).unwrap_or(u32::MAX);
    ProcessInstant::at(start).plus(DECODE_TIME_PER_TOKEN.saturating_mul(tokens))
}
