//! Commands: everything that changes control state. In the log they are JSON; what operators send is read strictly, and
//! every error names the place in the text by its JSON pointer.
use crate::fleet_config::FleetConfig;
use crate::route_config::Change;
use fleet_common::hash::key_digest;
use fleet_common::json::{self, JsonField, ParseError};
use fleet_common::rpc::{ASSIGNMENTS, FLEET_CONFIG, KEYS, NODES, REPLICAS, ROUTE_CONFIG, Request, WEIGHTS};
use fleet_common::{PeerError, Step};
use serde::{Deserialize, Serialize};

/// The longest id of an operator's command, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A model replica, store or app service as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// As the platform names it.
    pub id: String,
    /// Its address, an IP and port.
    pub at: String,
    /// The model that it serves, the first of several, or a name with `@` for a store or app service.
    pub model: String,
    /// The models that it serves besides the first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub other_models: Vec<String>,
    /// Its failure domain.
    #[serde(rename = "district")]
    pub zone: String,
    /// It is to be drained.
    pub leaving: bool,
    /// The service it belongs to, where a configuration of routes names services.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: String,
    /// How many requests it works on at once; 0 where unknown.
    #[serde(default)]
    pub slots: u64,
}

impl ReplicaInfo {
    /// All models that it serves.
    /// ```
    /// use control_state::command::ReplicaInfo;
    /// let replica = ReplicaInfo { model: "a".into(), other_models: vec!["b".into()], ..ReplicaInfo::default() };
    /// assert_eq!(replica.models().collect::<Vec<_>>(), ["a", "b"]);
    /// ```
    pub fn models(&self) -> impl Iterator<Item = &str> {
        std::iter::once(self.model.as_str()).chain(self.other_models.iter().map(String::as_str))
    }

    /// Whether it serves a model.
    pub fn has_model(&self, model: &str) -> bool {
        self.models().any(|own| own == model)
    }

    /// Whether it serves more than one model.
    pub fn has_several_models(&self) -> bool {
        !self.other_models.is_empty()
    }

    /// Sets its models: each once, in the order of their names, so that the same set always reads the same. An empty list
    /// stands for a replica without models, under the name `without`.
    pub fn set_models(&mut self, mut models: Vec<String>, without: &str) {
        models.sort();
        models.dedup();
        let mut models = models.into_iter();
        self.model = models.next().unwrap_or_else(|| without.into());
        self.other_models = models.collect();
    }
}

/// A node that may hold a lease: an edge or an index node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// `edge` or `index`.
    pub kind: String,
    /// The node's process.
    pub incarnation: u64,
    /// Its address, an IP and port.
    pub at: String,
    /// Its failure domain.
    #[serde(rename = "district")]
    pub zone: String,
}

/// How a once-request ended, or that it has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStatus {
    /// It may be running.
    Claimed,
    /// It ran to its end.
    Done,
    /// Nobody can say whether it ran.
    Unknown,
    /// It never ran, and another request may claim.
    #[serde(rename = "not_run")]
    NotExecuted,
}

/// Everything that changes control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind")]
pub enum Command {
    /// The fleet's configuration, as an operator sent it.
    #[serde(rename = "blueprint")]
    ReplaceFleetConfig {
        /// The new configuration.
        #[serde(rename = "blueprint")]
        config: FleetConfig,
    },
    /// Keys are given by their digests.
    #[serde(rename = "key_add")]
    AddKey {
        /// The digest of the key.
        key: String,
        /// Whose key it is.
        tenant: String,
    },
    /// The key is rejected from now on.
    #[serde(rename = "key_withdraw")]
    WithdrawKey {
        /// The digest of the key.
        key: String,
    },
    /// The weights that a model of the fleet's configuration should run.
    #[serde(rename = "weights")]
    SetModelWeights {
        /// The name of the model.
        model: String,
        /// The name of the weights.
        weights: String,
    },
    /// The platform's list of replicas.
    #[serde(rename = "listing")]
    ReplaceReplicas {
        /// All of them, by id.
        replicas: Vec<ReplicaInfo>,
    },
    /// A node pulls for the first time, or as another process.
    #[serde(rename = "join")]
    Join {
        /// The name of the node.
        node: String,
        /// What the node says of itself.
        #[serde(rename = "member")]
        info: NodeInfo,
    },
    /// A node has not pulled for longer than any lease of its can last.
    #[serde(rename = "lapse")]
    ExpireLease {
        /// The name of the node.
        node: String,
        /// The process whose lease it is.
        incarnation: u64,
    },
    /// An index node takes over a replica that has no owner.
    #[serde(rename = "duty_take")]
    TakeAssignment {
        /// The id of the replica.
        replica: String,
        /// The name of the index node.
        node: String,
    },
    /// An index node gives a replica up.
    #[serde(rename = "duty_give")]
    ReleaseAssignment {
        /// The id of the replica.
        replica: String,
        /// The name of the index node.
        node: String,
        /// Under which the node owns the replica.
        #[serde(rename = "fence")]
        fencing_token: u64,
    },
    /// A router wants to run a once-request.
    #[serde(rename = "claim")]
    Claim {
        /// The tenant of the request.
        tenant: String,
        /// The idempotency key, unique for the tenant.
        key: String,
        /// The edge whose router claims.
        edge: String,
        /// The id of the request.
        request: String,
    },
    /// How a claimed once-request ended.
    #[serde(rename = "settle")]
    CompleteClaim {
        /// The tenant of the request.
        tenant: String,
        /// The idempotency key, unique for the tenant.
        key: String,
        /// The id of the request.
        request: String,
        /// How it ended.
        #[serde(rename = "ran")]
        status: ClaimStatus,
    },
    /// A configuration of routes, or a change of one, on top of the operator's version `over`.
    #[serde(rename = "configure")]
    ChangeRouteConfig {
        /// The operator's number of the version that the change builds on.
        over: u64,
        /// The change.
        change: Change,
    },
    /// A version of a model's weights is released; versions rise.
    #[serde(rename = "name_weights")]
    ReleaseWeights {
        /// The name of the model.
        model: String,
        /// The version that is released.
        #[serde(rename = "revision")]
        version: u64,
    },
    /// The fleet's configuration before this one holds again, as a new version.
    #[serde(rename = "back")]
    RestorePrevious,
    /// A minute of the head's monotonic clock has passed: old claims may be forgotten.
    #[serde(rename = "minute")]
    MinutePassed,
}

impl Command {
    /// The source that the command may change; none for once-claims, which nodes do not pull.
    pub(crate) fn source(&self) -> Option<usize> {
        match self {
            Command::ReplaceFleetConfig { .. } | Command::SetModelWeights { .. } | Command::RestorePrevious => {
                Some(FLEET_CONFIG)
            }
            Command::ChangeRouteConfig { .. } => Some(ROUTE_CONFIG),
            Command::ReleaseWeights { .. } => Some(WEIGHTS),
            Command::AddKey { .. } | Command::WithdrawKey { .. } => Some(KEYS),
            Command::ReplaceReplicas { .. } => Some(REPLICAS),
            Command::Join { .. } | Command::ExpireLease { .. } => Some(NODES),
            Command::TakeAssignment { .. } | Command::ReleaseAssignment { .. } => Some(ASSIGNMENTS),
            Command::Claim { .. } | Command::CompleteClaim { .. } | Command::MinutePassed => None,
        }
    }

    /// Whether it may change which weights a model should run.
    pub fn may_release_weights(&self) -> bool {
        matches!(
            self,
            Command::ReleaseWeights { .. }
                | Command::ChangeRouteConfig { .. }
                | Command::ReplaceFleetConfig { .. }
                | Command::SetModelWeights { .. }
                | Command::RestorePrevious
        )
    }
}

/// A command with its id and the version that it expects to replace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Makes the command idempotent, and its outcome can be asked for by it. Empty for the fleet's own commands.
    pub id: String,
    /// None replaces any version.
    #[serde(rename = "expect")]
    pub expected_version: Option<u64>,
    /// What is to be done.
    pub command: Command,
}

impl CommandRequest {
    /// A command of the fleet itself, without an id.
    pub fn internal(command: Command) -> Self {
        CommandRequest { id: String::new(), expected_version: None, command }
    }

    /// Encodes the command for the log.
    ///
    /// # Errors
    /// None is known; the encoder may give one.
    pub fn encode(&self) -> Result<Vec<u8>, sonic_rs::Error> {
        sonic_rs::to_vec(self)
    }

    /// The request that puts this command to a control replica.
    ///
    /// # Errors
    /// The command cannot be encoded.
    pub fn to_request(&self) -> Result<Request, PeerError> {
        let bytes = self.encode().map_err(|error| PeerError::at(Step::Command, "own command", error))?;
        Ok(Request::Command(bytes.into()))
    }

    /// Reads a command of the log. `None` where it cannot be read.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        sonic_rs::from_slice(bytes).ok()
    }

    /// Reads an operator's command, strictly. Keys are given plain and kept as digests.
    ///
    /// # Errors
    /// The first place at which the text is not as it should be.
    /// ```
    /// use control_state::command::CommandRequest;
    /// let text = br#"{"id":"c1","expect":0,"kind":"key_add","key":"k","tenant":7}"#;
    /// assert_eq!(CommandRequest::parse_operator_text(text).unwrap_err().pointer, "/tenant");
    /// ```
    pub fn parse_operator_text(text: &[u8]) -> Result<Self, ParseError> {
        let root = json::root(text)?;
        let kind_field = root.required("kind")?;
        let kind = kind_field.text()?;
        let fields: &[&str] = match kind.as_str() {
            "blueprint" => &["blueprint"],
            "key_add" => &["key", "tenant"],
            "key_withdraw" => &["key"],
            "weights" => &["model", "weights"],
            "back" => &[],
            _ => return Err(kind_field.error("blueprint, back, key_add, key_withdraw or weights is wanted")),
        };
        root.only_fields(&[&["id", "expect", "kind"], fields].concat())?;
        let id_field = root.required("id")?;
        let id = id_field.text()?;
        if id.len() > MAX_ID_BYTES {
            return Err(id_field.error(format!("an id of at most {MAX_ID_BYTES} bytes is wanted")));
        }
        let expected_version = Some(root.required("expect")?.number(0, u64::MAX - 1)?);
        Ok(CommandRequest { id, expected_version, command: parse_command(&root, &kind)? })
    }
}

fn parse_command(root: &JsonField<'_>, kind: &str) -> Result<Command, ParseError> {
    let text = |field: &str| root.required(field)?.text();
    Ok(match kind {
        "blueprint" => Command::ReplaceFleetConfig { config: FleetConfig::parse(&root.required("blueprint")?)? },
        "back" => Command::RestorePrevious,
        "key_add" => Command::AddKey { key: key_digest(&text("key")?), tenant: text("tenant")? },
        "key_withdraw" => Command::WithdrawKey { key: key_digest(&text("key")?) },
        _ => Command::SetModelWeights { model: text("model")?, weights: text("weights")? },
    })
}
