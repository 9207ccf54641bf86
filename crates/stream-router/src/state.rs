//! The state that all threads of a router share. Tables are read-copy-update; the rest is behind short locks, none of
//! which is taken while another is held.
use crate::audit_client::AuditQueue;
use crate::client_limits::{LimitsWatch, limits_of};
pub use crate::counters::{Counters, count};
use crate::dialect::Dialect;
use crate::filter_copies::FilterCopies;
use crate::gossip::GossipSocket;
use crate::readiness_log::{Readiness, ReadinessLog};
use crate::retry_budget::RetryBudget;
pub use crate::settings::{ClientPatience, RouterSettings};
use crate::shutdown::ShutdownCoordinator;
use crate::subsets::Subsets;
use crate::transfer_attempt::TransferAttempt;
use control_state::fleet::Fleet;
use fleet_common::memory_budget::MemoryBudget;
use fleet_common::{Rcu, hash, ring};
use http_streams::latch::Latch;
use http_streams::limits::{Limits, LimitsSource};
use http_streams::pool::{Pool, RECENTLY_USED};
use routing::in_flight_table::InFlightTable;
use routing::lease::Lease;
use routing::link_queues::LinkQueues;
use routing::placement_cost::{CostModel, RecentPrompts};
use routing::replica_table::{EjectedUntil, ReplicaReports, replica_statuses_for};
use routing::session_placement::ReplicaStatus;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A report that repeats one so recent is not noted again.
const WEIGHTS_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A report is dropped once it is so old.
const WEIGHTS_REPORT_KEPT: Duration = Duration::from_secs(60);
/// Limit on transfers that wait for their audit; further ones are not audited.
const MAX_PENDING_AUDITS: usize = 256;

/// The requests that this router itself has running and waiting at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// All of them.
    pub running: u64,
    /// Of those, the ones sent since the last report of the replica's load.
    pub sent_since_report: u64,
    /// The replica's own last report.
    pub reported: Option<ReportedLoad>,
}

/// A replica's load by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run and wait, from all routers.
    pub requests: u64,
    /// When it said so, since the start of the router.
    pub at: Duration,
}

/// The weights that a replica runs of a model by its own report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedWeights {
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// When it said so, since the start of the router.
    pub at: Duration,
}

/// A router's state.
pub struct RouterState {
    /// The settings with which it was started.
    pub settings: RouterSettings,
    /// The header names of clients and replicas.
    pub dialect: Box<dyn Dialect>,
    /// A number that tells this start of the process from others.
    pub incarnation: u64,
    /// The origin of all times in this state.
    started_at: Instant,
    /// The fleet as it was pulled last.
    pub fleet: Rcu<Fleet>,
    /// Which prompt parts each replica has cached, as far as is known.
    pub filter_copies: FilterCopies,
    /// What index nodes report of the replicas.
    pub load_reports: Rcu<ReplicaReports>,
    /// Until when replicas that could not be reached are avoided.
    pub unreachable: Rcu<EjectedUntil>,
    /// The weights that replicas said they run of each model, which may be newer than the index's reports.
    pub reported_weights: Rcu<HashMap<String, Vec<ReportedWeights>>>,
    /// Until when this router may work.
    pub lease: Lease,
    /// Idle connections to replicas.
    pub pool: Pool,
    /// What this router has done.
    pub counters: Counters,
    /// The graceful shutdown.
    pub shutdown: ShutdownCoordinator,
    /// The memory of the bodies of all requests.
    pub(crate) body_memory: Arc<MemoryBudget>,
    /// Requests of clients that are being served.
    pub requests_running: AtomicU64,
    retry_budget: Mutex<RetryBudget>,
    recent_prompts: Mutex<RecentPrompts>,
    in_flight: Mutex<InFlightTable>,
    link_backlogs: Mutex<LinkQueues>,
    pub(crate) gossip: GossipSocket,
    /// Wakes connections that wait for a request when the limits on clients change.
    pub(crate) limits_watch: LimitsWatch,
    /// Which routers serve which replicas.
    pub(crate) subsets: Rcu<Subsets>,
    local_loads: Mutex<HashMap<String, LocalLoad>>,
    cost_model: Mutex<CostModel>,
    readiness_log: Mutex<ReadinessLog>,
    /// Transfers that wait for their audit.
    pub(crate) transfer_attempts: AuditQueue<TransferAttempt>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RouterState {
    /// A router that knows nothing yet and holds no lease.
    pub fn new(settings: RouterSettings, dialect: Box<dyn Dialect>) -> Self {
        let retry_budget = RetryBudget::new(settings.retry_budget);
        let gossip = GossipSocket::bind(settings.gossip_address);
        RouterState {
            dialect,
            incarnation: hash::unique_id(),
            started_at: Instant::now(),
            fleet: Rcu::new(Fleet::default()),
            filter_copies: FilterCopies::default(),
            load_reports: Rcu::new(ReplicaReports::new()),
            unreachable: Rcu::new(EjectedUntil::new()),
            reported_weights: Rcu::default(),
            lease: Lease::default(),
            pool: Pool::new(RECENTLY_USED),
            counters: Counters::default(),
            shutdown: ShutdownCoordinator::new(settings.shutdown),
            body_memory: MemoryBudget::new(settings.body_memory_bytes),
            settings,
            requests_running: 0.into(),
            retry_budget: Mutex::new(retry_budget),
            recent_prompts: Mutex::default(),
            in_flight: Mutex::default(),
            link_backlogs: Mutex::default(),
            gossip,
            limits_watch: LimitsWatch::default(),
            subsets: Rcu::default(),
            local_loads: Mutex::default(),
            cost_model: Mutex::default(),
            readiness_log: Mutex::default(),
            transfer_attempts: AuditQueue::new(MAX_PENDING_AUDITS),
        }
    }

    /// The time since this router started, by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether this router holds a lease: a confirmed pull is recent enough.
    pub fn holds_lease(&self) -> bool {
        self.lease.is_valid_within(Instant::now(), self.settings.lease)
    }

    /// Whether clients should be sent here: it holds a lease, has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.holds_lease() && self.fleet.read().route_config.is_some()
    }

    /// Whether this router can serve, or what it lacks.
    pub fn readiness(&self) -> Readiness {
        let fleet = self.fleet.read();
        if self.shutdown.is_draining() {
            Readiness::Draining
        } else if !self.holds_lease() {
            Readiness::NoLease
        } else if fleet.route_config.is_none() {
            Readiness::NoConfiguration
        } else if fleet.replicas.is_empty() {
            Readiness::NoReplicas
        } else {
            Readiness::Ready
        }
    }

    /// Writes to the log whether this router serves, where that has changed.
    pub(crate) fn log_readiness(&self) {
        let line = lock(&self.readiness_log).observe(self.now(), self.readiness());
        if let Some(line) = line {
            ring::announce(&line);
        }
    }

    /// The retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// The prompt parts that were sent where recently.
    pub fn recent_prompts(&self) -> MutexGuard<'_, RecentPrompts> {
        lock(&self.recent_prompts)
    }

    /// The prompts that wait for prefill at each replica.
    pub fn in_flight(&self) -> MutexGuard<'_, InFlightTable> {
        lock(&self.in_flight)
    }

    /// How long links are occupied by transfers.
    pub(crate) fn link_backlogs(&self) -> MutexGuard<'_, LinkQueues> {
        lock(&self.link_backlogs)
    }

    /// The requests that this router itself has at each replica.
    pub fn local_loads(&self) -> MutexGuard<'_, HashMap<String, LocalLoad>> {
        lock(&self.local_loads)
    }

    /// The costs that placement compares.
    pub fn cost_model(&self) -> MutexGuard<'_, CostModel> {
        lock(&self.cost_model)
    }

    /// The status of the replicas that this version of the fleet lists, by these reports of index nodes, for requests that
    /// name this model; their weights by their own report where that is newer. Fleet and reports are the caller's, so that
    /// all that it decides is by one version of each.
    pub fn replica_statuses(&self, model: &str, fleet: &Fleet, reports: &ReplicaReports) -> Vec<ReplicaStatus> {
        let reported_weights = self.reported_weights.read();
        let mut statuses = replica_statuses_for(model, fleet, reports, &self.unreachable.read(), self.now());
        for status in &mut statuses {
            let index_reported_at = reports.get(&status.id).map(|received| received.received_at).unwrap_or_default();
            // A request runs on the model that it names, whatever the list says.
            let asked = if model.is_empty() { status.model.as_str() } else { model };
            let of_model = |reported: &&ReportedWeights| reported.model == asked;
            let reported = reported_weights
                .get(&status.id)
                .and_then(|of_replica| of_replica.iter().find(of_model))
                .filter(|report| report.at >= index_reported_at || status.weights.is_empty());
            if let Some(reported) = reported {
                status.weights = reported.version.clone();
            }
        }
        statuses
    }

    /// Records which weights of a model a replica said it runs.
    pub fn record_weights(&self, replica: &str, model: &str, weights: &str) {
        let now = self.now();
        let is_recent = |reported: &ReportedWeights, within: Duration| now.saturating_sub(reported.at) < within;
        let is_known = |last: &ReportedWeights| {
            last.model == model && last.version == weights && is_recent(last, WEIGHTS_REPORT_INTERVAL)
        };
        let known = self.reported_weights.read().get(replica).is_some_and(|reported| reported.iter().any(is_known));
        if known {
            return;
        }
        let report = ReportedWeights { model: model.to_string(), version: weights.to_string(), at: now };
        self.reported_weights.update(|reported_weights| {
            for reported in reported_weights.values_mut() {
                reported.retain(|last| is_recent(last, WEIGHTS_REPORT_KEPT));
            }
            reported_weights.retain(|_, reported| !reported.is_empty());
            let of_replica = reported_weights.entry(replica.to_string()).or_default();
            of_replica.retain(|last| last.model != model);
            of_replica.push(report.clone());
        });
    }
}

/// The limits on clients by the configuration in force.
impl LimitsSource for RouterState {
    fn limits(&self) -> Limits {
        limits_of(&self.fleet.read())
    }

    fn next_change(&self) -> Option<Arc<Latch>> {
        Some(self.limits_watch.next_change())
    }

    fn body_memory(&self) -> Option<&Arc<MemoryBudget>> {
        Some(&self.body_memory)
    }
}
