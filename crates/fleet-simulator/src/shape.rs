//! How large the simulated fleet is, and which guard is switched off in a run that must be caught.
use control_state::fleet_config::FleetConfig;
use std::time::Duration;

/// Edge machines.
pub const EDGES: usize = 9;
/// Model replicas.
pub const REPLICAS: usize = 18;
/// The store's place among the replicas.
pub const STORE: usize = REPLICAS;
/// The zones; machines are spread over them in turn.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// The tenants, and whether each has a cache of its own.
pub const TENANTS: [(&str, bool); 4] = [("north", true), ("bazaar", false), ("canal", false), ("clinic", true)];
/// The prefill time of a block.
pub const PREFILL_PER_BLOCK: Duration = Duration::from_micros(4000);
/// The time between two chunks of a response.
pub const CHUNK_INTERVAL: Duration = Duration::from_millis(12);

/// A guard that is switched off, to see that the judges miss it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledGuard {
    /// None: the fleet as it is.
    None,
    /// Routers go on without a term.
    Lease,
    /// Keys are looked at when a request comes, not while it runs.
    KeyInStream,
    /// Once-requests are sent without a claim.
    Claim,
    /// What was sent is told as not run.
    UnknownOutcome,
    /// A broken stream is carried on with another replica's pieces.
    Splice,
    /// A stream that broke is ended as if it were whole.
    StreamReset,
    /// Retries cost nothing.
    RetryBudget,
    /// Leaving marks are not heeded.
    Draining,
    /// Replicas on old weights serve for ever.
    SupersededWeightsBound,
    /// Replicas take orders under any fence, and a new holder does not wait for the old term.
    FencingToken,
    /// Blocks are hashed without their wall, and replicas do not look either.
    Wall,
    /// `in force` is said as soon as a command is accepted.
    InForce,
    /// A stopped request's replica is not told.
    CloseUpstream,
}

/// The blueprint of a run's nth change: its number shows in the kinds' budgets, so that whoever gets a
/// request sees under which blueprint it was let in.
pub fn configuration(number: u64, weights: &str) -> FleetConfig {
    let tenants: Vec<String> = TENANTS
        .iter()
        .map(|(name, apart)| format!("\"{name}\":{{\"wall\":\"{}\"}}", if *apart { "apart" } else { "shared" }))
        .collect();
    let text = format!(
        "{{\"tenants\":{{{}}},\"models\":{{\"m\":{{\"weights\":\"{weights}\"}}}},\"kinds\":{{\"steady\":{{\"urgency\":5,\"budgetMs\":{}}}}},\"ways\":[{{\"path\":\"/v1/\",\"to\":\"model\"}}],\"limits\":{{\"stallMs\":2000}}}}",
        tenants.join(","),
        20_000 + number
    );
    let read = fleet_common::json::root(text.as_bytes()).and_then(|root| FleetConfig::parse(&root));
    read.unwrap_or_else(|fault| unreachable!("the simulator's own blueprint: {fault}"))
}
