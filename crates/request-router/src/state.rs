//! The state that all threads of a router share. Tables are read-copy-update; the rest is behind short locks, none of
//! which is taken while another is held.
use crate::request_trace::TraceLog;
use crate::transfer_attempt::TransferAttempt;
use control_state::fleet::Fleet;
use control_state::rules::RuleEngine;
use fleet_common::Rcu;
use fleet_common::frame::Client;
use fleet_common::hash;
use routing::admission::InFlightRequests;
use routing::claim_completion::ClaimCompletions;
use routing::lease::Lease;
use routing::link_costs::LearntCosts;
use routing::replica_table::{EjectedUntil, ReplicaReports, replica_statuses};
use routing::retry_budget::RetryBudget;
use routing::session_placement::ReplicaStatus;
use routing::shutdown::{Phase, Shutdown, ShutdownLimits};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stream_router::audit_client::AuditQueue;
use stream_router::filter_copies::FilterCopies;

pub use fleet_common::counters::count;

fleet_common::counters! {
    "coursebend_router_",
    /// Requests of clients.
    requests,
    /// Responses that were complete.
    responses_completed = "answered_whole",
    /// Streams that could not be completed.
    responses_truncated = "cut",
    /// Requests that a phase rejected.
    rejected = "refused",
    /// Requests that admission control rejected.
    rejected_over_limit = "over_limit",
    /// Rejections of replicas that were forwarded.
    rejections_forwarded = "passed_on",
    /// Attempts after the first.
    retries,
    /// Attempts for which a source of cached blocks was named.
    transfers_named = "handovers_named",
    /// Transfers that an index node has audited.
    transfers_audited = "handovers_audited",
    /// Transfers whose source did not have the blocks.
    false_hits,
    /// Filters that index nodes pushed.
    filter_pushes,
    /// Filters that were pulled as their copies were stale.
    filter_pulls,
    /// Placements where the replica has all blocks cached.
    prefix_hits,
    /// Placements where it lacks some.
    prefix_misses,
    /// Placements away from the session's own replica.
    moves,
    /// Requests that were rejected as the router held no lease.
    rejected_without_lease = "not_fresh",
    /// Transfers that saved less than half of what was expected.
    slow_transfers = "slow_handovers",
}

/// How long the agent may take to answer a command.
const AGENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Retries that may be sent at the start, and the limit on those that are saved.
const RETRY_TOKENS_AT_START: u64 = 1;
const MAX_RETRY_TOKENS: u64 = 10;
/// Limit on transfers that wait for their audit; further ones are not audited.
const MAX_PENDING_AUDITS: usize = 1024;

/// The rules of one version of the configuration.
#[derive(Default)]
pub struct CompiledRules {
    version: u64,
    pub engine: RuleEngine,
}

/// A router's state.
pub struct RouterState {
    pub name: String,
    pub zone: String,
    pub agent_address: SocketAddr,
    /// A number that tells this start of the process from others.
    pub incarnation: u64,
    /// The origin of all times in this state.
    started_at: Instant,
    /// Limit on the requests in flight, by the threads that serve them.
    pub max_requests: u64,
    pub next_request_number: AtomicU64,
    /// The fleet as it was pulled last.
    pub fleet: Rcu<Fleet>,
    pub filter_copies: FilterCopies,
    /// The rules as compiled for a version of the configuration.
    pub compiled_rules: Rcu<Arc<CompiledRules>>,
    /// What index nodes report of the replicas.
    pub load_reports: Rcu<ReplicaReports>,
    /// Until when replicas that could not be reached are avoided.
    pub unreachable: Rcu<EjectedUntil>,
    pub lease: Lease,
    pub counters: Counters,
    shutdown: Mutex<Shutdown>,
    /// Requests that are being served, those that are rejected among them.
    pub requests_running: AtomicUsize,
    in_flight: Mutex<InFlightRequests>,
    retry_tokens: Mutex<RetryBudget>,
    traces: Mutex<TraceLog>,
    learnt_links: Mutex<LearntCosts>,
    pending_completions: Mutex<ClaimCompletions>,
    /// Idle connections to the agent.
    agent_clients: Mutex<Vec<Client>>,
    /// Transfers that wait for their audit.
    pub transfer_attempts: AuditQueue<TransferAttempt>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RouterState {
    /// A router that knows nothing yet and holds no lease.
    pub fn new(
        name: String,
        zone: String,
        agent_address: SocketAddr,
        max_requests: u64,
        shutdown: ShutdownLimits,
    ) -> Self {
        RouterState {
            name,
            zone,
            agent_address,
            incarnation: hash::unique_id(),
            started_at: Instant::now(),
            max_requests,
            next_request_number: AtomicU64::new(0),
            fleet: Rcu::new(Fleet::default()),
            filter_copies: FilterCopies::default(),
            compiled_rules: Rcu::default(),
            load_reports: Rcu::new(ReplicaReports::new()),
            unreachable: Rcu::new(EjectedUntil::new()),
            lease: Lease::default(),
            counters: Counters::default(),
            shutdown: Mutex::new(Shutdown::new(shutdown)),
            requests_running: 0.into(),
            in_flight: Mutex::default(),
            retry_tokens: Mutex::new(RetryBudget::starting_with(RETRY_TOKENS_AT_START, MAX_RETRY_TOKENS)),
            traces: Mutex::default(),
            learnt_links: Mutex::default(),
            pending_completions: Mutex::default(),
            agent_clients: Mutex::default(),
            transfer_attempts: AuditQueue::new(MAX_PENDING_AUDITS),
        }
    }

    /// The requests in flight, by tenant.
    pub fn in_flight(&self) -> MutexGuard<'_, InFlightRequests> {
        lock(&self.in_flight)
    }

    /// The tokens from which retries are paid.
    pub fn retry_tokens(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_tokens)
    }

    /// Completions of claims that are not acknowledged yet.
    pub fn pending_completions(&self) -> MutexGuard<'_, ClaimCompletions> {
        lock(&self.pending_completions)
    }

    /// What links cost, as learnt. Whoever chooses a source copies it, as it is only a few numbers.
    pub fn learnt_links(&self) -> MutexGuard<'_, LearntCosts> {
        lock(&self.learnt_links)
    }

    /// The time since this router started, by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The time from the start of this router to an instant.
    pub fn since_start(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started_at)
    }

    /// The traces of recent requests.
    pub fn traces(&self) -> MutexGuard<'_, TraceLog> {
        lock(&self.traces)
    }

    /// A connection to the agent, which is to be returned after use unless it failed.
    pub fn take_agent_client(&self) -> Client {
        let idle = lock(&self.agent_clients).pop();
        idle.unwrap_or_else(|| Client::new(self.agent_address, AGENT_TIMEOUT))
    }

    /// Returns a connection to the agent.
    pub fn return_agent_client(&self, client: Client) {
        lock(&self.agent_clients).push(client);
    }

    /// Whether this router holds a lease: a confirmed pull is recent enough.
    pub fn holds_lease(&self) -> bool {
        self.lease.is_valid(Instant::now())
    }

    /// The state machine of the graceful shutdown.
    pub fn shutdown(&self) -> MutexGuard<'_, Shutdown> {
        lock(&self.shutdown)
    }

    /// Whether this router was told to stop.
    pub fn is_draining(&self) -> bool {
        self.shutdown().phase() > Phase::Serving
    }

    /// The rules of the configuration in force, compiled once for each version.
    pub fn rules(&self, fleet: &Fleet) -> Arc<CompiledRules> {
        let version = fleet.versions[fleet_common::rpc::FLEET_CONFIG];
        let current = self.compiled_rules.read();
        if current.version == version {
            return (*current).clone();
        }
        let rules = fleet.fleet_config.as_ref().map_or(&[][..], |blueprint| &blueprint.rules);
        let compiled = Arc::new(CompiledRules { version, engine: RuleEngine::new(rules) });
        self.compiled_rules.update(|current| *current = compiled.clone());
        compiled
    }

    /// The replicas' current status, by the platform's list and the index nodes' reports.
    pub fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        replica_statuses(&self.fleet.read(), &self.load_reports.read(), &self.unreachable.read(), self.now())
    }
}
