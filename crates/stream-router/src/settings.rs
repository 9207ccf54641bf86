//! The settings of a router.
use crate::retry_budget::RetryBudgetLimits;
use control_state::route_config::Route;
use control_state::superseded_weights::SupersededWeightsBound;
pub use routing::shutdown::ShutdownLimits;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The name of the machine, unique in the fleet.
    pub name: String,
    /// The zone that the machine is in.
    pub zone: String,
    /// Where the agent on the same machine listens.
    pub agent_address: SocketAddr,
    /// Where this router receives the announcements of others, by UDP.
    pub gossip_address: SocketAddr,
    /// The operator's limit on retries.
    pub retry_budget: RetryBudgetLimits,
    /// How long a confirmed pull allows this router to work, where that is shorter than a node's lease: whatever was
    /// withdrawn is out of use after that.
    pub lease: Duration,
    /// How long after new weights were released requests may start on superseded ones.
    pub older_weights_bound: SupersededWeightsBound,
    /// What operators are guaranteed: after so long no request starts on superseded weights.
    pub superseded_weights_guarantee: SupersededWeightsBound,
    /// How long clients wait.
    pub patience: ClientPatience,
    /// The times of a graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// The memory that the bodies of all requests may take together, in bytes.
    pub body_memory_bytes: usize,
}

/// How long clients wait for the next event of a stream: the longest of a minimum, a multiple of the route's latency
/// target and a multiple of its pauses between events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientPatience {
    /// The shortest time.
    pub minimum: Duration,
    /// Multiple of the route's latency target.
    pub latency_targets: u32,
    /// Multiple of the route's pause between events.
    pub event_gaps: u32,
}

impl Default for ClientPatience {
    fn default() -> Self {
        ClientPatience { minimum: Duration::from_secs(2), latency_targets: 4, event_gaps: 8 }
    }
}

impl ClientPatience {
    /// How long clients of this route wait.
    /// ```
    /// use control_state::route_config::Route;
    /// let route = Route { latency_target_ms: 600, max_gap_ms: 400, ..Route::default() };
    /// assert_eq!(stream_router::settings::ClientPatience::default().of(&route).as_millis(), 3200);
    /// ```
    pub fn of(&self, route: &Route) -> Duration {
        let latency_target = Duration::from_millis(route.latency_target_ms);
        let max_gap = Duration::from_millis(route.max_gap_ms);
        self.minimum.max(latency_target * self.latency_targets).max(max_gap * self.event_gaps)
    }
}
