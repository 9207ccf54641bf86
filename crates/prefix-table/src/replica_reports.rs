//! Reports of replicas' states, which index nodes send to routers and to each other.
use fleet_common::rpc::{ModelReport, ReplicaReport, StateReport};
use std::collections::BTreeMap;
use std::time::Duration;

/// A report and when it was received, by the receiver's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    /// The report.
    pub report: ReplicaReport,
    /// Its models, where the replica has several.
    pub models: Vec<ModelReport>,
    /// When it was received, by the receiver's clock.
    pub received_at: Duration,
}

/// The weights of one model at a replica, and how far the replica is with an order for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelState<'a> {
    /// The weights that it runs; empty where it runs none, or nothing is known.
    pub weights: &'a str,
    /// The weights that it was ordered to load, if any.
    pub order: &'a str,
    /// How far it is with them: one of `fleet_common`'s stages.
    pub stage: u8,
}

impl ReceivedReport {
    /// What was reported of a model. A replica that does not name its model has no other.
    pub fn state_of(&self, model: &str) -> ModelState<'_> {
        if self.models.is_empty() {
            let ReplicaReport { weights, order, stage, .. } = &self.report;
            return ModelState { weights: weights.as_str(), order: order.as_str(), stage: *stage };
        }
        let own = self.models.iter().find(|own| own.model.as_str() == model);
        own.map_or_else(ModelState::default, |own| ModelState {
            weights: own.weights.as_str(),
            order: own.order.as_str(),
            stage: own.stage,
        })
    }
}

/// The latest report of each replica, by the replica's id.
pub type ReplicaReports = BTreeMap<String, ReceivedReport>;

/// Takes reports, except those under an older fencing token than the present one.
pub fn merge<R: Into<StateReport>>(reports: &mut ReplicaReports, now: Duration, received: Vec<R>) {
    for report in received {
        let StateReport { replica: report, models } = report.into();
        let replica = report.replica.to_string();
        if reports.get(&replica).is_none_or(|present| present.report.fencing_token <= report.fencing_token) {
            reports.insert(replica, ReceivedReport { report, models: models.into_items(), received_at: now });
        }
    }
}

/// Whether two reports agree on a replica's state, its load and memory apart.
pub fn same_state(one: &ReplicaReport, other: &ReplicaReport) -> bool {
    let numbers = |report: &ReplicaReport| (report.fencing_token, report.down, report.minimum_version, report.stage);
    numbers(one) == numbers(other) && one.weights == other.weights && one.order == other.order
}

/// Whether two reports agree on the state of a replica and of each of its models, load and memory apart.
pub fn same_states(one: &StateReport, other: &StateReport) -> bool {
    same_state(&one.replica, &other.replica) && one.models == other.models
}

/// Whether these reports would change the known state of any replica.
pub fn changes_any_state(reports: &ReplicaReports, received: &[StateReport]) -> bool {
    received.iter().any(|StateReport { replica, models }| {
        let present = reports.get(replica.replica.as_str());
        present
            .is_none_or(|present| !same_state(&present.report, replica) || present.models.as_slice() != models.items())
    })
}
