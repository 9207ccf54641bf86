//! The rollout planner: which replicas of a model load new weights now. Replicas load in an order that all index nodes
//! agree on, so many at a time that a stated share keeps serving, and no further once too many loads have failed.
use control_state::release_clock::is_newer;
use fleet_common::hash::rendezvous_weight;
use fleet_common::rpc::stage;
use std::collections::BTreeSet;
use std::time::Duration;

/// For how long after newer weights were released superseded ones may serve, where nothing else is set.
pub const SUPERSEDED_WEIGHTS_BOUND: Duration = Duration::from_secs(15);
/// A replica that does not say that it is loading may take so long until its order counts as failed.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// A load that takes so many times as long as the longest that ended holds the others up no longer.
const LATE_FACTOR: u32 = 2;
/// A rollout halts when one replica in so many has failed, and at least so many.
const HALT_FRACTION: usize = 5;
const HALT_MINIMUM: usize = 2;

/// How long a load may take before other replicas need not wait for it, by the longest load of these weights that has
/// ended. There is no bound before one has ended.
pub fn late_after(longest_load: Option<Duration>) -> Option<Duration> {
    longest_load.map(|longest| (longest * LATE_FACTOR).max(LOAD_TIMEOUT))
}

/// A replica of the model as an index node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReplica {
    /// The replica's id.
    pub id: String,
    /// Which weights it runs; empty while it loads, or when nothing is known of it.
    pub weights: String,
    /// How far it is with the wanted weights: one of `fleet_common`'s stages.
    pub stage: u8,
    /// It cannot be reached.
    pub down: bool,
    /// It finishes what it has and gets no more requests.
    pub draining: bool,
    /// Whether nobody orders it now, so that it holds no other replica up: its index node was not heard lately, or weights of
    /// another model are loaded first.
    pub silent: bool,
    /// Whether routers use its weights no more, as newer ones were released too long ago: it is idle.
    pub expired: bool,
}

impl RolloutReplica {
    fn is_up(&self) -> bool {
        !self.down && !self.draining
    }

    /// Whether it was ordered to load the wanted weights.
    fn was_ordered(&self) -> bool {
        [stage::LOADING, stage::LATE, stage::FAILED].contains(&self.stage)
    }

    /// Whether others need not wait for it.
    fn is_given_up(&self) -> bool {
        [stage::FAILED, stage::LATE].contains(&self.stage)
    }
}

/// The rollout of one model's weights as an index node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Rollout<'a> {
    /// All replicas of the model.
    pub replicas: &'a [RolloutReplica],
    /// The weights that they are to run.
    pub wanted: &'a str,
    /// How many of a hundred replicas keep serving.
    pub keep_serving_percent: u64,
}

/// What is to be done about one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutDecision {
    /// It runs the wanted weights.
    AlreadyServes,
    /// It is to load them now.
    LoadNow,
    /// It keeps what it runs for now.
    Wait,
    /// Too many replicas could not load them: the others keep what they run.
    Halted {
        /// How many have failed.
        failed: usize,
        /// How many replicas are up.
        up: usize,
    },
}

/// How many of `up` replicas may load at once, where so many of a hundred keep serving.
pub fn max_loading(up: usize, keep_serving_percent: u64) -> usize {
    (up * (100 - keep_serving_percent.min(100)) as usize / 100).max(1)
}

/// The number of weights that are numbered: the oldest may serve for the shortest time, and are replaced first. Others
/// are all alike.
fn version_number(weights: &str) -> u64 {
    weights.parse().unwrap_or(u64::MAX)
}

impl<'a> Rollout<'a> {
    /// Whether a replica is to load the wanted weights now.
    pub fn decide(&self, id: &str) -> RolloutDecision {
        let replica = self.replicas.iter().find(|replica| replica.id == id);
        replica.map_or(RolloutDecision::Wait, |replica| self.choices().decide(replica))
    }

    /// Whose turn it is, worked out once for all replicas.
    pub fn choices(&self) -> RolloutChoices<'a> {
        let up: Vec<&RolloutReplica> = self.replicas.iter().filter(|replica| replica.is_up()).collect();
        let failed = up.iter().filter(|replica| replica.stage == stage::FAILED).count();
        RolloutChoices { wanted: self.wanted, up: up.len(), failed, next: self.next_replicas(&up) }
    }

    /// The replicas that may load at once. Those that load already keep their places; all nodes fill what is left in the
    /// same order.
    fn next_replicas(&self, up: &[&'a RolloutReplica]) -> BTreeSet<&'a str> {
        let is_waiting =
            |replica: &&RolloutReplica| replica.weights != self.wanted && !replica.is_given_up() && !replica.silent;
        let mut waiting: Vec<&RolloutReplica> = up.iter().copied().filter(is_waiting).collect();
        let rank = |replica: &RolloutReplica| {
            (
                replica.stage != stage::LOADING,
                version_number(&replica.weights),
                rendezvous_weight(self.wanted, &replica.id),
            )
        };
        waiting.sort_by(|one, other| rank(one).cmp(&rank(other)).then_with(|| one.id.cmp(&other.id)));
        let limit = max_loading(up.len(), self.keep_serving_percent);
        waiting.into_iter().take(limit).map(|replica| replica.id.as_str()).collect()
    }
}

/// Whose turn it is in a rollout.
#[derive(Clone, Debug)]
pub struct RolloutChoices<'a> {
    wanted: &'a str,
    /// How many replicas are up.
    up: usize,
    /// How many of these have failed.
    failed: usize,
    /// The ids of those that may load at once.
    next: BTreeSet<&'a str>,
}

impl RolloutChoices<'_> {
    /// Whether a replica of the rollout is to load the wanted weights now.
    pub fn decide(&self, replica: &RolloutReplica) -> RolloutDecision {
        if replica.weights == self.wanted {
            return RolloutDecision::AlreadyServes;
        }
        // It knows of a release that this node has not heard of yet.
        if is_newer(&replica.weights, self.wanted) {
            return RolloutDecision::Wait;
        }
        // It is idle, so loading costs nothing; and there is nothing that a halt would keep in service.
        if replica.expired && replica.is_up() {
            return RolloutDecision::LoadNow;
        }
        let has_nothing_to_lose = replica.weights.is_empty() || replica.was_ordered();
        if self.failed >= self.up.div_ceil(HALT_FRACTION).max(HALT_MINIMUM) && !has_nothing_to_lose {
            return RolloutDecision::Halted { failed: self.failed, up: self.up };
        }
        if has_nothing_to_lose || self.next.contains(replica.id.as_str()) {
            return RolloutDecision::LoadNow;
        }
        RolloutDecision::Wait
    }

    /// Whether a replica that was told to load is one more than may load at once: index nodes that did not know yet of each
    /// other's choices chose different replicas.
    pub fn is_over_limit(&self, replica: &RolloutReplica) -> bool {
        let may_load_anyway = replica.expired || replica.weights.is_empty();
        replica.stage == stage::LOADING && !may_load_anyway && !self.next.contains(replica.id.as_str())
    }

    /// Whether a replica is to load the wanted weights before those of other models: it takes one order at a time, and
    /// all index nodes must leave the same replicas out of the other models' rollouts.
    pub fn is_taken(&self, replica: &RolloutReplica) -> bool {
        replica.is_up() && !replica.is_given_up() && self.decide(replica) == RolloutDecision::LoadNow
    }
}
