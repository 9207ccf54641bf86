//! Which weights a replica runs of which model, by its own report.
use crate::event::CacheReport;
use std::collections::BTreeMap;

/// The weights that a replica runs of each of its models. A replica with one model does not name it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaWeights {
    of_only_model: String,
    by_model: BTreeMap<String, String>,
}

impl ReplicaWeights {
    /// Those of the only model; empty while it runs none.
    pub fn of_only_model(weights: &str) -> Self {
        ReplicaWeights { of_only_model: weights.into(), by_model: BTreeMap::new() }
    }

    /// As a replica reports them.
    pub fn from_report(report: &CacheReport) -> Self {
        ReplicaWeights { of_only_model: report.batch.weights.clone(), by_model: report.models.clone() }
    }

    /// The weights of the only model; empty where there are several.
    pub fn only(&self) -> &str {
        &self.of_only_model
    }

    /// The weights of a model; empty while it runs none, or nothing is known. A replica that does not name its model has
    /// no other.
    pub fn of(&self, model: &str) -> &str {
        if self.by_model.is_empty() {
            return &self.of_only_model;
        }
        self.by_model.get(model).map_or("", String::as_str)
    }
}
