//! An index node as a state machine: (now, input) gives outputs. It keeps the tables of the replicas assigned to it from
//! their events, shadows others, sends orders and announces to routers. Threads or a simulator drive it.
use crate::announcements::Recipients;
use crate::event::CacheReport;
use crate::peer_requests::AuditRecord;
use crate::replica_reports::ReplicaReports;
use crate::rollout_planner::SUPERSEDED_WEIGHTS_BOUND;
use crate::rollout_progress::RolloutProgress;
use crate::table::TableSize;
pub use crate::tracked_replica::{LoadOrder, ReplicaLoad, TrackedReplica};
use control_state::command::Command;
use control_state::fleet::Fleet;
use control_state::superseded_weights::SupersededWeightsBound;
use fleet_common::node::Identity;
use fleet_common::rpc::{NODE_LEASE, PullResponse, Request, StateReport, TableSnapshot, VersionVector};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What an index node reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due about every 50 ms.
    Tick,
    /// A pull that was sent at this time has been answered.
    Pulled(Duration, PullResponse),
    /// A poll of this replica, under this fencing token, was answered or failed.
    Polled(String, u64, Result<CacheReport, String>),
    /// Another index node's snapshot of this replica's table, if it had one.
    SnapshotFetched(String, Option<TableSnapshot>),
    /// A command about this replica's assignment was answered, one way or another.
    CommandAnswered(String),
    /// An order to a replica was answered, or failed.
    OrderAnswered(OrderAnswer),
    /// A report of another index node changed a replica's state: what waits for it goes on at once.
    StateChanged,
    /// This node is to stop: assignments are released and tables handed over.
    Leave,
}

/// What a replica answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It loads the weights.
    Accepted,
    /// It runs them already.
    AlreadyLoaded,
    /// It carries out another order: it is to be asked again.
    Busy,
}

/// What came of an order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The replica's id.
    pub replica: String,
    /// The model.
    pub model: String,
    /// The weights to load.
    pub weights: String,
    /// What the replica answered, or why nothing is known of it.
    pub outcome: Result<OrderOutcome, String>,
}

/// What an index node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a replica or store for its events.
    Poll {
        /// The replica's id.
        replica: String,
        /// Its address.
        at: String,
        /// The fencing token of its assignment.
        fence: u64,
        /// The incarnation that is known; empty when none is.
        incarnation: String,
        /// The number of the next event wanted.
        from: u64,
        /// Whether it is a store.
        is_store: bool,
        /// Whether an order to it is not yet done: its state is awaited then, not only its events.
        ordered: bool,
    },
    /// Ask another index node for its snapshot of a table.
    FetchSnapshot {
        /// The replica's id.
        replica: String,
        /// The other node's address.
        at: String,
    },
    /// Send a command about this replica's assignment to the control replicas.
    Command(String, Command),
    /// Order a replica to load weights.
    Order {
        /// The replica's id.
        replica: String,
        /// Its address.
        at: String,
        /// The fencing token of its assignment.
        fence: u64,
        /// The model.
        model: String,
        /// Whether the replica has other models too, so that the order must name this one.
        has_several_models: bool,
        /// The weights to load.
        weights: String,
    },
    /// Send a request to the node at this address; its answer is not wanted.
    Send(String, Request),
    /// Write a line to the log.
    Log(String),
}

/// A snapshot that is being fetched.
pub(crate) struct SnapshotFetch {
    /// The fencing token under which its table is to be owned; 0 for a shadow.
    pub fencing_token: u64,
    /// The nodes to ask next, by name.
    pub candidates: Vec<String>,
    pub started_at: Duration,
}

/// An index node.
pub struct IndexNode {
    /// This node.
    pub me: Identity,
    /// The fleet as it was pulled last.
    pub fleet: Fleet,
    /// The replicas that are owned or shadowed here, by id.
    pub replicas: BTreeMap<String, TrackedReplica>,
    /// What other index nodes reported of the replicas that they own.
    pub peer_reports: ReplicaReports,
    /// The models of each listed replica, by the replica's id.
    pub(crate) listed_models: BTreeMap<String, Vec<String>>,
    /// The versions of the sources that `listed_models` was taken from.
    pub(crate) models_as_of: Option<[u64; 2]>,
    pub(crate) now: Duration,
    /// When the last confirmed pull was sent: the lease counts from then.
    pub(crate) lease_confirmed_at: Option<Duration>,
    pub(crate) fetches: BTreeMap<String, SnapshotFetch>,
    /// Replicas about which a command is on its way, and since when.
    pub(crate) pending_commands: BTreeMap<String, Duration>,
    /// The reports that were sent last, by replica.
    pub(crate) announced: BTreeMap<String, StateReport>,
    /// When all reports were last sent.
    pub(crate) announced_at: Option<Duration>,
    pub(crate) recipients: Recipients,
    /// Why the rollouts that are halted are so, by model.
    pub(crate) halted: BTreeMap<String, String>,
    /// The latest rollout of each model.
    pub rollouts: BTreeMap<String, RolloutProgress>,
    /// The latest audits of transfers, oldest first.
    pub(crate) audit_log: VecDeque<AuditRecord>,
    pub(crate) assignments_checked_at: Duration,
    /// Replicas that another node may have owned before: the first order waits until that node's orders are surely past.
    pub taken_over: BTreeSet<String>,
    pub(crate) member_since: Option<Duration>,
    /// A report changed a replica's state, and nothing has followed from it yet.
    pub(crate) state_changed: bool,
    pub(crate) shutting_down: bool,
    pub(crate) superseded_weights_bound: SupersededWeightsBound,
    pub(crate) last_tick_at: Option<Duration>,
    /// No order is announced or sent before this.
    pub(crate) orders_resume_at: Duration,
    /// How many rollouts were not complete in time.
    pub overdue_rollouts: u64,
    pub(crate) outputs: Vec<Output>,
}

/// Bits of a table, where no configuration says otherwise.
const DEFAULT_BITS: u32 = 16_384;

/// The size of tables that the configuration asks for.
pub fn table_size(fleet: &Fleet) -> TableSize {
    let index = fleet.fleet_config.as_ref().map(|config| &config.index);
    TableSize {
        bits: index.map_or(DEFAULT_BITS, |index| index.bits as u32),
        hashes: index.map_or(0, |index| index.hashes as u8),
    }
}

impl IndexNode {
    /// A node that knows nothing yet.
    pub fn new(me: Identity) -> Self {
        IndexNode {
            me,
            fleet: Fleet::default(),
            replicas: BTreeMap::new(),
            peer_reports: ReplicaReports::new(),
            listed_models: BTreeMap::new(),
            models_as_of: None,
            now: Duration::ZERO,
            lease_confirmed_at: None,
            fetches: BTreeMap::new(),
            pending_commands: BTreeMap::new(),
            announced: BTreeMap::new(),
            announced_at: None,
            recipients: Recipients::default(),
            halted: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            audit_log: VecDeque::new(),
            assignments_checked_at: Duration::ZERO,
            taken_over: BTreeSet::new(),
            member_since: None,
            state_changed: false,
            shutting_down: false,
            superseded_weights_bound: SUPERSEDED_WEIGHTS_BOUND.into(),
            last_tick_at: None,
            orders_resume_at: Duration::ZERO,
            overdue_rollouts: 0,
            outputs: Vec::new(),
        }
    }

    /// The same with another bound on how long superseded weights may serve: that of the routers.
    pub fn with_superseded_weights_bound(mut self, bound: impl Into<SupersededWeightsBound>) -> Self {
        self.superseded_weights_bound = bound.into();
        self
    }

    /// Whether this node's lease is valid.
    pub fn has_valid_lease(&self) -> bool {
        self.lease_confirmed_at.is_some_and(|sent| self.now < sent + NODE_LEASE)
    }

    /// The fencing token under which this node owns a replica now: by the control replicas' word, and within its lease.
    pub fn owned_fencing_token(&self, replica: &str) -> Option<u64> {
        self.has_valid_lease().then(|| self.fleet.fencing_token(replica, &self.me)).flatten()
    }

    /// The versions of the sources that this node has applied.
    pub fn applied_versions(&self) -> VersionVector {
        self.fleet.versions
    }

    /// The models that a replica has, by the platform's list.
    pub fn models_of(&self, replica: &str) -> &[String] {
        self.listed_models.get(replica).map_or(&[], Vec::as_slice)
    }

    /// Why the rollouts that are halted are so, by model.
    pub fn halted(&self) -> &BTreeMap<String, String> {
        &self.halted
    }

    /// Moves the clock on without an input.
    pub fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Takes an input and returns what is to be done.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.advance_clock(now);
        match input {
            Input::Tick if !self.shutting_down => {
                self.detect_process_pause();
                self.check_assignments();
                self.poll_replicas();
                self.advance_rollouts();
                self.announce();
            }
            Input::Tick => {}
            Input::Pulled(sent, pulled) => self.on_pulled(sent, pulled),
            Input::Polled(replica, fence, polled) => self.on_polled(&replica, fence, polled),
            Input::SnapshotFetched(replica, copy) => self.on_snapshot_fetched(&replica, copy),
            Input::CommandAnswered(replica) => _ = self.pending_commands.remove(&replica),
            Input::OrderAnswered(answer) => self.on_order_answered(answer),
            Input::StateChanged => self.on_state_changed(),
            Input::Leave => {
                self.shutting_down = true;
                self.shut_down();
            }
        }
        std::mem::take(&mut self.outputs)
    }

    pub(crate) fn log(&mut self, line: String) {
        self.outputs.push(Output::Log(line));
    }
}
