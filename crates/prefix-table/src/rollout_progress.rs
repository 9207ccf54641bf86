//! How far the rollout of a model's weights is, as an index node sees it: for its log, its pages and its metrics.
use crate::rollout_planner::RolloutReplica;
use fleet_common::rpc::stage;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// How many replicas of a model are how far with the weights that are released for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RolloutCounts {
    /// They run the weights.
    pub serving: usize,
    /// They load them.
    pub loading: usize,
    /// They did not load them in time, or did not accept the order.
    pub failed: usize,
    /// They are up, on other weights, and were not ordered yet.
    pub waiting: usize,
    /// They cannot be reached, or drain.
    pub away: usize,
}

impl RolloutCounts {
    /// Counts a model's replicas.
    pub fn of(replicas: &[RolloutReplica], wanted: &str) -> Self {
        let mut counts = RolloutCounts::default();
        for replica in replicas {
            let count = match replica.stage {
                _ if replica.down || replica.draining => &mut counts.away,
                _ if replica.weights == wanted => &mut counts.serving,
                stage::LOADING | stage::LATE => &mut counts.loading,
                stage::FAILED => &mut counts.failed,
                _ => &mut counts.waiting,
            };
            *count += 1;
        }
        counts
    }

    /// Whether no replica that is up lacks the weights.
    pub fn complete(&self) -> bool {
        self.loading + self.failed + self.waiting == 0
    }
}

/// The progress of the rollout of one model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The weights.
    pub weights: String,
    /// When this node learnt of them.
    pub started_at: Duration,
    /// How long it took until no replica lacked them, once that was so.
    pub completed_after: Option<Duration>,
    /// The present counts.
    pub counts: RolloutCounts,
    /// Whether it was not complete in time.
    pub overdue: bool,
    /// The longest load of these weights that has ended, as seen here.
    pub longest_load_time: Option<Duration>,
    /// Since when each replica that loads them has done so.
    loading_since: BTreeMap<String, Duration>,
}

impl RolloutProgress {
    /// A rollout that starts now.
    pub fn start(weights: &str, now: Duration) -> Self {
        RolloutProgress {
            weights: weights.to_string(),
            started_at: now,
            completed_after: None,
            counts: RolloutCounts::default(),
            overdue: false,
            longest_load_time: None,
            loading_since: BTreeMap::new(),
        }
    }

    /// Learns how long loads take from the replicas as they are now.
    pub fn observe_load_times(&mut self, replicas: &[RolloutReplica], now: Duration) {
        for replica in replicas {
            if replica.weights == self.weights {
                let took = self.loading_since.remove(&replica.id).map(|since| now.saturating_sub(since));
                self.longest_load_time = self.longest_load_time.max(took);
            } else if replica.stage == stage::LOADING {
                self.loading_since.entry(replica.id.clone()).or_insert(now);
            } else if replica.stage != stage::LATE {
                self.loading_since.remove(&replica.id);
            }
        }
    }

    /// Takes the present counts. Returns a line for the log where they complete the rollout.
    pub fn update(&mut self, model: &str, counts: RolloutCounts, now: Duration) -> Option<String> {
        self.counts = counts;
        if !counts.complete() || self.completed_after.is_some() {
            return None;
        }
        let took = now.saturating_sub(self.started_at);
        self.completed_after = Some(took);
        Some(format!("rollout of {model} to {} took {took:?}: {counts:?}", self.weights))
    }

    /// Checks that the rollout is complete within one and a half times `bound`, for which superseded weights may serve,
    /// where its weights were released `age` ago. Returns a line for the log when it first is not.
    pub fn check_deadline(&mut self, model: &str, age: Duration, bound: Duration) -> Option<String> {
        if self.overdue || self.counts.complete() || age <= bound + bound / 2 {
            return None;
        }
        self.overdue = true;
        Some(format!("rollout of {model} to {} is overdue after {age:?}: {:?}", self.weights, self.counts))
    }
}
