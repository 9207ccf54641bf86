//! The control state: every member of the chain applies the same commands in the same order to it.
use crate::accepted_changes::AcceptedChanges;
use crate::command::{ClaimStatus, CommandRequest, NodeInfo, ReplicaInfo};
use crate::effect::{CommandError, CommandResult, Effect};
use crate::fleet_config::FleetConfig;
use crate::outcome::{ACCEPTED_CODE, Outcome};
use crate::route_config::RouteConfig;
use fleet_common::rpc::{
    ASSIGNMENTS, CONTROL_MEMBERS, FLEET_CONFIG, KEYS, NODES, REPLICAS, ROUTE_CONFIG, SOURCES, VersionVector, WEIGHTS,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The outcomes of so many commands can be asked for.
pub const OUTCOMES_KEPT: usize = 10_000;
/// So many once-claims are remembered at the most: further ones are rejected, none is forgotten for them.
pub const CLAIMS_MOST: usize = 50_000;
/// A completed once-claim is remembered for so many counted minutes. Heads count them by their monotonic clocks and start
/// over when another becomes head: never too soon, whatever clocks do.
pub const CLAIM_MINUTES: u64 = 60;
/// So many requests that gave a claim up are remembered with it.
pub(crate) const MAX_VOIDED_REQUESTS: usize = 16;

/// The name under which outcomes of commands on once-claims are reported; claims are no source that nodes pull.
const CLAIMS: &str = "claims";

/// Whose key it is. A key stands for its tenant until it is withdrawn, and never comes back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The name of the tenant.
    pub tenant: String,
    /// Whether it is rejected from now on.
    pub withdrawn: bool,
}

/// The assignment of a model replica to the index node that keeps its table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The name of the index node; empty where it was released.
    pub owner: String,
    /// The owner's process.
    pub incarnation: u64,
    /// Rises with each new owner: what an older one says is told from what the present one says.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The owner before did not release it: it may not know yet that it lost it.
    #[serde(default, rename = "after_lapse")]
    pub after_expiry: bool,
    /// Who had it last, as name and address, also once it was released.
    #[serde(default, rename = "holder")]
    pub last_owner: String,
    /// Whether it ever changed from one machine to another: orders of two may then be on their way at once.
    #[serde(default)]
    pub moved: bool,
}

/// A claim to run a once-request, which must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The edge whose router claimed it.
    pub edge: String,
    /// The id of the request that claimed last.
    pub request: String,
    /// How it ended, if it has.
    #[serde(rename = "ran")]
    pub status: ClaimStatus,
    /// The counted minute of its last change.
    #[serde(default, rename = "minute")]
    pub changed_minute: u64,
    /// Requests that said they would not run: a claim of theirs that comes late is rejected.
    #[serde(default)]
    pub voided: Vec<String>,
}

/// All control state. Its encoding is the content of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The number of the last entry that was applied.
    pub seq: u64,
    /// The entries that last changed each source.
    pub versions: VersionVector,
    /// As an operator sent it last.
    #[serde(rename = "blueprint")]
    pub fleet_config: Option<FleetConfig>,
    /// The one before, which can be restored.
    #[serde(default, rename = "before")]
    pub previous_fleet_config: Option<FleetConfig>,
    /// By the digests of keys.
    pub keys: BTreeMap<String, Key>,
    /// As the platform lists them.
    pub replicas: Vec<ReplicaInfo>,
    /// The nodes that may hold a lease, by name.
    #[serde(rename = "members")]
    pub nodes: BTreeMap<String, NodeInfo>,
    /// By the id of the replica.
    #[serde(rename = "duties")]
    pub assignments: BTreeMap<String, Assignment>,
    /// The newest that was given out.
    #[serde(rename = "fence")]
    pub last_fencing_token: u64,
    /// By [`claim_name`].
    pub claims: BTreeMap<String, Claim>,
    /// How many minutes the heads have counted.
    #[serde(default, rename = "minute")]
    pub minutes_passed: u64,
    /// The configuration of routes that holds.
    #[serde(default, rename = "configuration")]
    pub route_config: Option<RouteConfig>,
    /// The newest changes of it that were accepted.
    #[serde(default)]
    pub accepted_changes: AcceptedChanges,
    /// The same as a former release wrote it: plain digests by number. `decode` moves them to `accepted_changes`.
    #[serde(default, rename = "taken", skip_serializing)]
    plain_digests: BTreeMap<u64, u64>,
    /// The newest version of each model's weights that was released.
    #[serde(default, rename = "weights")]
    pub released_weights: BTreeMap<String, u64>,
    /// By the id of the command: the number of its entry, and what came of it.
    pub outcomes: BTreeMap<String, (u64, Outcome)>,
    /// The ids of those commands, oldest first.
    pub outcome_order: VecDeque<String>,
}

/// The value of a source, as nodes pull it.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum SourceValue<'a> {
    /// `blueprint`.
    FleetConfig(&'a Option<FleetConfig>),
    /// `keys`.
    Keys(&'a BTreeMap<String, Key>),
    /// `replicas`.
    Replicas(&'a [ReplicaInfo]),
    /// `members`.
    Nodes(&'a BTreeMap<String, NodeInfo>),
    /// `duties`.
    Assignments(&'a BTreeMap<String, Assignment>),
    /// Where control machines are reached by nodes.
    Addresses(Vec<&'a str>),
    /// `configuration`, without the operator's texts.
    RouteConfig(Box<Option<RouteConfig>>),
    /// `weights`.
    ReleasedWeights(&'a BTreeMap<String, u64>),
    /// There is no such source: null.
    Unknown,
}

/// The name under which a once-claim is kept. No two pairs of tenant and key have the same.
/// ```
/// use control_state::state::claim_name;
/// assert_eq!(claim_name("acme", "order-7"), "4:acme/order-7");
/// ```
pub fn claim_name(tenant: &str, key: &str) -> String {
    format!("{}:{tenant}/{key}", tenant.len())
}

impl State {
    /// Applies the next command. Only its outcome tells whether anything changed. A command whose id is known is not
    /// applied again: its first outcome is given.
    pub fn apply(&mut self, request: &CommandRequest) -> Outcome {
        self.seq += 1;
        if let Some((_, outcome)) = self.outcomes.get(&request.id) {
            return outcome.clone();
        }
        let source = request.command.source();
        let result = self.apply_to_expected(request, source);
        if let (Some(source), Ok(effect)) = (source, &result)
            && *effect != Effect::Unchanged
        {
            self.versions[source] = self.seq;
        }
        let outcome = self.outcome(source, result);
        if !request.id.is_empty() {
            self.remember_outcome(&request.id, &outcome);
        }
        outcome
    }

    /// Applies a command unless it expects to replace another version than the one that holds.
    fn apply_to_expected(&mut self, request: &CommandRequest, source: Option<usize>) -> CommandResult {
        if let (Some(expected), Some(source)) = (request.expected_version, source)
            && expected != self.versions[source]
        {
            return Err(CommandError::OtherVersion { held: self.versions[source], expected });
        }
        self.apply_command(&request.command)
    }

    fn outcome(&self, source: Option<usize>, result: CommandResult) -> Outcome {
        let (code, detail) = match result {
            Ok(effect) => (ACCEPTED_CODE, effect.to_string()),
            Err(error) => (error.code(), error.to_string()),
        };
        let name = source.map_or(CLAIMS, |source| SOURCES[source]);
        let version = source.map_or(self.seq, |source| self.versions[source]);
        Outcome { code, source: name.into(), version, detail }
    }

    fn remember_outcome(&mut self, id: &str, outcome: &Outcome) {
        self.outcomes.insert(id.to_string(), (self.seq, outcome.clone()));
        self.outcome_order.push_back(id.to_string());
        while self.outcome_order.len() > OUTCOMES_KEPT {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }

    /// The value of a source. The addresses of the control machines come from the view, not from here.
    pub fn value(&self, source: usize) -> SourceValue<'_> {
        match source {
            FLEET_CONFIG => SourceValue::FleetConfig(&self.fleet_config),
            KEYS => SourceValue::Keys(&self.keys),
            REPLICAS => SourceValue::Replicas(&self.replicas),
            NODES => SourceValue::Nodes(&self.nodes),
            ASSIGNMENTS => SourceValue::Assignments(&self.assignments),
            ROUTE_CONFIG => {
                let config = self.route_config.as_ref().map(RouteConfig::without_source_text);
                SourceValue::RouteConfig(Box::new(config))
            }
            WEIGHTS => SourceValue::ReleasedWeights(&self.released_weights),
            CONTROL_MEMBERS => SourceValue::Addresses(Vec::new()),
            _ => SourceValue::Unknown,
        }
    }

    /// The value of a source as JSON.
    pub fn value_json(&self, source: usize) -> String {
        sonic_rs::to_string(&self.value(source)).unwrap_or_else(|_| "null".into())
    }

    /// The weights that each model should run: those of a configuration of routes where there is one.
    pub fn current_weights(&self) -> BTreeMap<String, String> {
        let models = match (&self.route_config, &self.fleet_config) {
            (Some(routes), _) => routes.fleet_config(&self.released_weights).models,
            (None, Some(fleet)) => fleet.models.clone(),
            (None, None) => BTreeMap::new(),
        };
        let released = self.released_weights.iter();
        let mut current: BTreeMap<String, String> =
            released.map(|(model, version)| (model.clone(), version.to_string())).collect();
        current.extend(models.into_iter().map(|(name, model)| (name, model.weights)));
        current
    }

    /// Encodes the state as the content of a snapshot.
    ///
    /// # Errors
    /// None is known; the encoder may give one.
    pub fn encode(&self) -> Result<Vec<u8>, sonic_rs::Error> {
        sonic_rs::to_vec(self)
    }

    /// Reads a snapshot, also one of a former release. `None` where it cannot be read.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut state: State = sonic_rs::from_slice(bytes).ok()?;
        let plain_digests = std::mem::take(&mut state.plain_digests);
        if !plain_digests.is_empty() {
            state.accepted_changes = AcceptedChanges::from_plain_digests(&plain_digests);
        }
        Some(state)
    }
}
