//! The requests and responses that control replicas, index nodes, agents and routers send each other, as frames.
//! Their binary form is stable: golden files pin it.
use crate::{Bytes, List, Text};

/// The sources of control state that nodes follow, by their names on the wire; a version vector has one entry for each.
pub const SOURCES: [&str; 8] =
    ["blueprint", "keys", "replicas", "members", "duties", "cores", "configuration", "weights"];
/// Index in [`SOURCES`]: the configuration of the fleet: tenants, models, kinds of work.
pub const FLEET_CONFIG: usize = 0;
/// Index in [`SOURCES`]: API keys, as digests.
pub const KEYS: usize = 1;
/// Index in [`SOURCES`]: the model servers that the platform lists.
pub const REPLICAS: usize = 2;
/// Index in [`SOURCES`]: routers and index nodes that hold a lease.
pub const NODES: usize = 3;
/// Index in [`SOURCES`]: which index node each replica is assigned to.
pub const ASSIGNMENTS: usize = 4;
/// Index in [`SOURCES`]: where the control replicas are reached.
pub const CONTROL_MEMBERS: usize = 5;
/// Index in [`SOURCES`]: the configuration of routes.
pub const ROUTE_CONFIG: usize = 6;
/// Index in [`SOURCES`]: the newest released weights of each model.
pub const WEIGHTS: usize = 7;

/// Stands for the weights of a filter whose blocks are of several models: their hashes tell them apart.
pub const SEVERAL_WEIGHTS: &str = "*";

/// How long a node's lease lasts, counted from when it sent the pull that renewed it.
pub const NODE_LEASE: std::time::Duration = std::time::Duration::from_secs(3);

/// One version for each source, in the order of [`SOURCES`].
pub type VersionVector = [u64; SOURCES.len()];

/// A version vector that is written to JSON as an object: each source's name and version, in the order of [`SOURCES`].
#[derive(Clone, Copy, Debug)]
pub struct NamedVersions(pub VersionVector);

impl serde::Serialize for NamedVersions {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(SOURCES.iter().zip(self.0))
    }
}

crate::messages! {
    /// The value of one source at one version, complete.
    pub struct SourceUpdate {
        /// Index into [`SOURCES`].
        pub source: u8,
        /// Number of the log entry that made this value; a higher one replaces a lower one.
        pub version: u64,
        /// The value as JSON.
        pub value: Bytes,
    }

    /// A node's long poll for updates. It renews the node's lease and reports which versions are in use.
    pub struct Pull {
        /// The node's name, unique in the fleet.
        pub node: Text,
        /// `edge` or `index`.
        pub kind: Text,
        /// Which start of the node's process this is.
        pub incarnation: u64,
        /// IP and port where peers reach the node; may be empty.
        pub address: Text,
        /// The failure domain that the node stands in.
        pub zone: Text,
        /// The versions that the node has, in the order of [`SOURCES`].
        pub known_versions: List<u64>,
        /// The versions that are confirmed to be in use, in the order of [`SOURCES`].
        pub applied_versions: List<u64>,
        /// Whether the node may still hold a lease: 1 or 0. With 0 the lease need not be waited for.
        pub has_lease: u8,
        /// How long the response may be delayed while there is nothing new, in milliseconds.
        pub wait_ms: u32,
    }

    /// Weights that were released for a model.
    pub struct WeightsRelease {
        /// The model's name.
        pub model: Text,
        /// The version of its weights.
        pub weights: Text,
        /// The log entry that released them.
        pub seq: u64,
        /// How long ago that was when the response was sent, in milliseconds, rounded up.
        pub age_ms: u64,
    }

    /// When weights were released, relative to when the response was sent.
    pub struct ReleaseAges {
        /// The newest releases of each model, oldest first.
        pub releases: List<WeightsRelease>,
        /// How long ago a control process last started, in milliseconds, rounded up; `u64::MAX` where none is known.
        pub control_restart_age_ms: u64,
    }

    /// The response to a pull: the updates that the node lacks.
    pub struct PullResponse {
        /// Whether the node's lease is renewed: 0 if it is not, as the node is not a member yet.
        pub lease_confirmed: u8,
        /// How old the information was when the response was sent, in milliseconds.
        pub age_ms: u64,
        /// The sources whose version is newer than the node's.
        pub updates: List<SourceUpdate>,
        /// When weights were released.
        pub release_ages: ReleaseAges,
        /// How long the pull was parked before this was sent, in milliseconds, rounded down.
        pub parked_ms: u64,
    }

    /// A Bloom filter of the blocks in a replica's prefix cache.
    pub struct Filter {
        /// The replica whose cache it describes.
        pub replica: Text,
        /// The index node that built it.
        pub index: Text,
        /// The fencing token of that node's assignment.
        pub fencing_token: u64,
        /// Number of the filter under this token.
        pub version: u64,
        /// The weights that the replica runs; [`SEVERAL_WEIGHTS`] where it has several models.
        pub weights: Text,
        /// Size of the filter in bits.
        pub bit_count: u32,
        /// Number of hash functions.
        pub hash_count: u8,
        /// Number of blocks counted in.
        pub items: u32,
        /// The filter's bits, eight a byte.
        pub bits: Bytes,
    }

    /// What an index node knows of a replica's state; only the node that the replica is assigned to sends it.
    pub struct ReplicaReport {
        /// The replica's id.
        pub replica: Text,
        /// The fencing token of the sender's assignment.
        pub fencing_token: u64,
        /// Requests running and waiting.
        pub load: u64,
        /// The weights that the replica runs.
        pub weights: Text,
        /// 1 where the replica does not answer.
        pub down: u8,
        /// The first version of its filter that may still be trusted, under this token.
        pub minimum_version: u64,
        /// The weights that it was ordered to load, if any.
        pub order: Text,
        /// How far it is with them: see [`stage`].
        pub stage: u8,
        /// Requests running, as the replica reports; 0 where it does not.
        pub running: u32,
        /// Requests waiting, as the replica reports; 0 where it does not.
        pub waiting: u32,
        /// Tokens that its cache holds, as the replica reports; 0 where it does not.
        pub used_tokens: u64,
        /// Tokens that its cache could hold, as the replica reports; 0 where it does not.
        pub total_tokens: u64,
        /// 1 where the replica reports that an order is in progress.
        pub order_in_progress: u8,
    }

    /// The weights of one model at a replica that has several, and how far it is with an order for them.
    pub struct ModelReport {
        /// The model's name.
        pub model: Text,
        /// The weights that the replica runs of it.
        pub weights: Text,
        /// The weights that it was ordered to load, if any.
        pub order: Text,
        /// How far it is with them: see [`stage`].
        pub stage: u8,
    }

    /// What an index node knows of a replica's state, model by model.
    pub struct StateReport {
        /// What holds of the replica, whichever model a request names. Weights and order are empty where it has several
        /// models.
        pub replica: ReplicaReport,
        /// Its models where it has several; empty where it has one.
        pub models: List<ModelReport>,
    }

    /// One attempt to transfer cached blocks between replicas, as the router measured it.
    pub struct TransferReport {
        /// The request's id.
        pub request: Text,
        /// The router that sent it.
        pub router: Text,
        /// The replica that the blocks were to come from.
        pub source: Text,
        /// Hash of the block that was expected there.
        pub block: u64,
        /// Version of the filter that the expectation came from.
        pub filter_version: u64,
        /// Expected time to the first chunk, in milliseconds.
        pub expected_ms: u64,
        /// Measured time to the first chunk, in milliseconds.
        pub first_chunk_ms: u64,
    }

    /// The table of a replica's cached blocks, on its way to the next node that the replica is assigned to.
    pub struct TableSnapshot {
        /// The replica's id.
        pub replica: Text,
        /// The fencing token under which the table was kept.
        pub fencing_token: u64,
        /// Which start of the replica's process the events belong to.
        pub incarnation: Text,
        /// The weights that the replica runs; empty where it has several models.
        pub weights: Text,
        /// Number of the next event wanted.
        pub sequence: u64,
        /// Hashes of the cached blocks.
        pub blocks: List<u64>,
        /// Hashes of blocks that may be cached: events about them were lost.
        pub doubtful: List<u64>,
    }

    /// A membership list of control replicas to take the place of the one in force.
    pub struct SetMembersRequest {
        /// The view that the list replaces.
        pub expected_view: u64,
        /// `id@chain/node/http` of each member, separated by commas.
        pub members: Text,
    }

    /// Requests between our own programs.
    pub enum Request {
        /// A node pulls updates: answered by `Pull`.
        1 = Pull(Pull),
        /// A command, as JSON: answered by `Json` with its outcome.
        2 = Command(Bytes),
        /// A query by its path: answered by `Json`.
        3 = Query(Text),
        /// A replica's filter is wanted: answered by `Filter`.
        4 = FilterPull(Text),
        /// A new filter of a replica: answered by `Done`.
        5 = FilterPush(Filter),
        /// How a transfer went: answered by `Audit`.
        6 = TransferReport(TransferReport),
        /// A replica's table is wanted: answered by `Table`.
        7 = TablePull(Text),
        /// A table for the next node that the replica is assigned to: answered by `Done`.
        8 = TablePush(TableSnapshot),
        /// The state of replicas: answered by `Done`.
        9 = ReplicaReports(List<ReplicaReport>),
        /// A new membership list: answered by `Json`.
        10 = SetMembers(SetMembersRequest),
        /// The state of replicas that have several models each: answered by `Done`.
        11 = StateReports(List<StateReport>),
    }

    /// Responses to them.
    pub enum Response {
        /// The updates that the node lacks.
        1 = Pull(PullResponse),
        /// JSON: the outcome of a command, or a query's result.
        2 = Json(Bytes),
        /// Another control replica answers this: its IP and port, or nothing where none is known.
        3 = Redirect(Text),
        /// A replica's filter.
        4 = Filter(Filter),
        /// The verdict on a transfer report: see [`audit`].
        5 = Audit(u8),
        /// A replica's table.
        6 = Table(TableSnapshot),
        /// Taken; there is nothing to say.
        7 = Done,
        /// Not done, and why.
        8 = Rejected(Text),
        /// No control replica can answer now, as this one hears no majority. The reason is for logs.
        9 = Unavailable(Text),
    }
}

impl From<ReplicaReport> for StateReport {
    fn from(replica: ReplicaReport) -> Self {
        StateReport { replica, models: Vec::new().into() }
    }
}

impl Default for ReleaseAges {
    fn default() -> Self {
        ReleaseAges { releases: Vec::new().into(), control_restart_age_ms: u64::MAX }
    }
}

/// The index node's verdicts on a transfer report.
pub mod audit {
    /// The source had the block.
    pub const CACHED: u8 = 0;
    /// The filter was right by its bits only: the block was never there.
    pub const COLLISION: u8 = 1;
    /// The block was there when the filter was built, and no longer is.
    pub const STALE: u8 = 2;
    /// The replica is not assigned to the node that was asked.
    pub const NOT_ASSIGNED: u8 = 3;
}

/// How far a replica is with the weights that it was ordered to load.
pub mod stage {
    /// Nothing was ordered.
    pub const NONE: u8 = 0;
    /// It was ordered to, and its deadline has not passed.
    pub const LOADING: u8 = 1;
    /// It runs them.
    pub const SERVING: u8 = 2;
    /// It did not take the order, or did not run them in time.
    pub const FAILED: u8 = 3;
    /// It reports that it loads, but for much longer than the others did: the rollout no longer waits for it.
    pub const LATE: u8 = 4;
}
