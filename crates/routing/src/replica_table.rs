//! What a router knows of the replicas: the fleet's list of them, joined with what index nodes report and with failures
//! that the router met itself.
use crate::session_placement::ReplicaStatus;
use control_state::command::ReplicaInfo;
use control_state::fleet::Fleet;
use fleet_common::rpc::{NODE_LEASE, stage};
use prefix_table::filter::FilterVersion;
pub use prefix_table::replica_reports::{ModelState, ReceivedReport, ReplicaReports, merge};
use std::collections::HashMap;
use std::time::Duration;

/// Replicas that could not be reached, by id, and until when each gets no requests.
pub type EjectedUntil = HashMap<String, Duration>;

/// No filter is as new as this: what is known of the replica is too old to trust one.
pub const NO_TRUSTED_VERSION: FilterVersion = FilterVersion { fencing_token: u64::MAX, version: u64::MAX };

/// Whether a replica was ordered, or is about to be, to load weights of the model that it does not run yet.
fn is_loading(state: &ModelState) -> bool {
    [stage::LOADING, stage::LATE].contains(&state.stage) && state.weights != state.order
}

/// The oldest filter of a replica that is trusted. A filter counts only while the replica's index node is heard, and
/// from the version on that its report names: a replica that was restarted, a store that came back empty and an index
/// node that died draw no transfers.
fn minimum_version(
    fleet: &Fleet,
    replica: &ReplicaInfo,
    report: Option<&ReceivedReport>,
    now: Duration,
) -> FilterVersion {
    let current = report.filter(|received| now.saturating_sub(received.received_at) < NODE_LEASE);
    let Some(current) = current else { return NO_TRUSTED_VERSION };
    let assigned_token = fleet.assignments.get(&replica.id).map_or(0, |duty| duty.fencing_token);
    let fencing_token = current.report.fencing_token.max(assigned_token);
    FilterVersion { fencing_token, version: current.report.minimum_version }
}

/// The replicas as they are now, each for its first model: listed by the platform, loaded and running as reported.
pub fn replica_statuses(
    fleet: &Fleet,
    reports: &ReplicaReports,
    ejected: &EjectedUntil,
    now: Duration,
) -> Vec<ReplicaStatus> {
    replica_statuses_for("", fleet, reports, ejected, now)
}

/// The replicas as they are now for requests that name a model; those that do not have it, for their first model.
pub fn replica_statuses_for(
    model: &str,
    fleet: &Fleet,
    reports: &ReplicaReports,
    ejected: &EjectedUntil,
    now: Duration,
) -> Vec<ReplicaStatus> {
    let status = |replica: &ReplicaInfo| {
        let received = reports.get(&replica.id);
        let model = if replica.has_model(model) { model } else { &replica.model };
        let state = received.map(|received| received.state_of(model)).unwrap_or_default();
        let is_down = received.is_some_and(|received| received.report.down != 0);
        let is_ejected = ejected.get(&replica.id).is_some_and(|until| now < *until);
        ReplicaStatus {
            id: replica.id.clone(),
            address: replica.at.clone(),
            zone: replica.zone.clone(),
            service: replica.service.clone(),
            model: model.to_string(),
            weights: state.weights.to_string(),
            draining: replica.leaving,
            unavailable: is_ejected || is_down || is_loading(&state),
            load: received.map_or(0, |received| received.report.load),
            minimum_version: minimum_version(fleet, replica, received, now),
        }
    };
    fleet.replicas.iter().map(status).collect()
}
