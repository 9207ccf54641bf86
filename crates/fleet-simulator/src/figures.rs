//! What came of a run, in figures.
use crate::scenario::Scenario;
use crate::world::{Observation, World};
use std::collections::BTreeSet;
use std::time::Duration;

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The rules that were broken.
    pub violations: Vec<String>,
    /// The longest from a fault's end until every edge served and a command was taken.
    pub data_recovery: Duration,
    /// The same for commands of operators.
    pub control_recovery: Duration,
    /// The longest from weights accepted until all replicas that were up ran them.
    pub longest_rollout: Duration,
    /// Calls of clients.
    pub calls: usize,
    /// Streams that ended complete.
    pub complete: usize,
    /// Calls that reached a replica, and attempts made for them.
    pub attempts: (u64, u64),
    /// Executions for which a transfer source was named.
    pub with_source: usize,
}

/// What held when, as committed: leaving marks and weights.
#[derive(Default)]
pub(crate) struct CommittedHistory {
    /// Machine, from when to when it was marked.
    pub draining: Vec<(usize, Duration, Duration)>,
    pub weights: Vec<(String, Duration)>,
    pub late_rollouts: Vec<String>,
}

impl Scenario {
    pub(crate) fn figures(&mut self) {
        let (world, outcome) = (&self.world, &mut self.outcome);
        outcome.calls = world.calls.len();
        outcome.complete = world
            .observations
            .iter()
            .filter(|(_, saw)| matches!(saw, Observation::StreamEnded { whole: true, .. }))
            .count();
        outcome.attempts = (world.attempts.len() as u64, world.attempts.values().sum());
        outcome.with_source =
            world.replicas.iter().flat_map(|r| &r.runs).filter(|run| run.request.source.is_some()).count();
        if outcome.data_recovery > Duration::from_secs(12) || outcome.control_recovery > Duration::from_secs(12) {
            let (data, control) = (outcome.data_recovery, outcome.control_recovery);
            outcome.violations.push(format!("service back only after {data:?} for callers, {control:?} for operators"));
        }
    }
}

/// Edges that gave a whole answer to a call made after a moment.
pub(crate) fn served(world: &World, since: Duration) -> BTreeSet<usize> {
    let whole = world.observations.iter().rev().take_while(|(at, _)| *at >= since).filter_map(|(_, saw)| match saw {
        Observation::StreamEnded { call, whole: true, .. } => world.calls.get(call),
        _ => None,
    });
    whole.filter(|open| open.called_at >= since).map(|open| open.request.edge).collect()
}
