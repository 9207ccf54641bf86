//! Session placement: which replica a session's requests go to. With the same statuses every router chooses the same.
use fleet_common::hash::rendezvous_weight;
use prefix_table::filter::FilterVersion;
use std::cmp::Reverse;

/// A replica as a router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The replica's id.
    pub id: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The service that it belongs to, by the same list as its address.
    pub service: String,
    /// The model: of a replica with several, the one that is asked about.
    pub model: String,
    /// The weights of that model; empty where it has none, or nothing is known.
    pub weights: String,
    /// It finishes what it has and gets no more requests.
    pub draining: bool,
    /// It could not be reached, or it loads weights of the model.
    pub unavailable: bool,
    /// Requests that run or wait there, as the index reported to all routers alike.
    pub load: u64,
    /// The oldest version of its filter that is still trusted.
    pub minimum_version: FilterVersion,
}

/// Why a request went to its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementReason {
    /// It is the session's home replica.
    Home,
    /// It is the replica that the client named.
    Affinity,
    /// The replica that the client named is gone, drains or runs other weights.
    AffinityLost,
    /// The home replica is over the load bound.
    LoadBound,
    /// An attempt at another replica failed.
    Retry,
}

impl PlacementReason {
    /// The value of the header `X-Place-Reason`.
    pub fn header_value(self) -> &'static str {
        match self {
            PlacementReason::Home => "home",
            PlacementReason::Affinity => "kept",
            PlacementReason::AffinityLost => "place-lost",
            PlacementReason::LoadBound => "load-bound",
            PlacementReason::Retry => "retry",
        }
    }
}

/// A request of a session.
pub struct SessionRequest<'a> {
    /// The session.
    pub session: &'a str,
    /// The model.
    pub model: &'a str,
    /// The released weights.
    pub weights: &'a str,
    /// Whether replicas on these superseded weights may serve (a rollout is young).
    pub superseded_may_serve: &'a dyn Fn(&str) -> bool,
    /// The replica that the client named, from an earlier response.
    pub affinity: Option<&'a str>,
    /// Replicas of failed attempts.
    pub attempted: &'a [String],
    /// How many requests a replica runs at once.
    pub max_per_replica: u64,
}

impl SessionRequest<'_> {
    fn may_go_to(&self, replica: &ReplicaStatus) -> bool {
        let is_available = !replica.draining && !replica.unavailable;
        replica.model == self.model
            && is_available
            && !self.attempted.contains(&replica.id)
            && self.may_use(&replica.weights)
    }

    fn may_use(&self, weights: &str) -> bool {
        weights == self.weights || (!weights.is_empty() && (self.superseded_may_serve)(weights))
    }

    /// A replica with so many running or waiting gets no more.
    fn load_limit(&self) -> u64 {
        self.max_per_replica * 2
    }

    /// Five quarters of the average load, and half of what a replica runs at once.
    fn load_bound(&self, eligible: &[&ReplicaStatus]) -> u64 {
        let total: u64 = eligible.iter().map(|replica| replica.load).sum();
        total * 5 / (eligible.len() as u64 * 4) + self.max_per_replica.div_ceil(2)
    }

    fn reason(&self, rank: usize) -> PlacementReason {
        if !self.attempted.is_empty() {
            PlacementReason::Retry
        } else if self.affinity.is_some() {
            PlacementReason::AffinityLost
        } else if rank == 0 {
            PlacementReason::Home
        } else {
            PlacementReason::LoadBound
        }
    }
}

/// Chooses the replica for a request: the one that the client named, else the first within the load bound in the
/// session's rendezvous order; none where no replica may take it.
pub fn choose_replica<'a>(
    replicas: &'a [ReplicaStatus],
    request: &SessionRequest,
) -> Option<(&'a ReplicaStatus, PlacementReason)> {
    let mut eligible: Vec<&ReplicaStatus> = replicas.iter().filter(|replica| request.may_go_to(replica)).collect();
    if eligible.is_empty() {
        return None;
    }
    let named = request.affinity.and_then(|id| eligible.iter().find(|replica| replica.id == id));
    if let Some(replica) = named.filter(|replica| replica.load < request.load_limit()) {
        return Some((replica, PlacementReason::Affinity));
    }
    eligible.sort_by_key(|replica| (Reverse(rendezvous_weight(request.session, &replica.id)), replica.id.as_str()));
    let bound = request.load_bound(&eligible);
    let within_bounds = |replica: &&ReplicaStatus| replica.load <= bound && replica.load < request.load_limit();
    let rank = eligible.iter().position(within_bounds)?;
    Some((eligible[rank], request.reason(rank)))
}
