//! The fleet as a node last pulled it: complete versions of each source, never an older one.
use crate::command::{NodeInfo, ReplicaInfo};
use crate::fleet_config::FleetConfig;
use crate::process_instant::ProcessInstant;
use crate::release_clock::ReleaseClock;
use crate::route_config::RouteConfig;
use crate::state::{Assignment, Key};
use crate::superseded_weights::SupersededWeightsBound;
use fleet_common::node::Identity;
use fleet_common::rpc::{
    ASSIGNMENTS, FLEET_CONFIG, KEYS, NODES, PullResponse, REPLICAS, ROUTE_CONFIG, SOURCES, SourceUpdate, VersionVector,
    WEIGHTS,
};
use fleet_common::{hash, ring};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The model name under which the platform lists a prefix store: a source of blocks, never a place for requests.
pub const STORE_MODEL: &str = "@store";
/// The model name under which the platform lists the app service.
pub const APP_MODEL: &str = "@app";
/// The kind of nodes that keep tables of what replicas cache.
const INDEX_NODE: &str = "index";

/// A key that stands for no tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No tenant has such a key.
    #[error("unknown key")]
    Unknown,
    /// Its tenant's operator withdrew it.
    #[error("this key is withdrawn")]
    Withdrawn,
}

/// A node's knowledge of the fleet.
#[derive(Clone, Default)]
pub struct Fleet {
    /// The version of each source that is in use here.
    pub versions: VersionVector,
    /// As operators sent it, or as the configuration of routes stands for it.
    pub fleet_config: Option<FleetConfig>,
    /// When the control replicas took the releases of weights, by this node's clock.
    pub releases: ReleaseClock,
    /// By the digests of keys.
    pub keys: BTreeMap<String, Key>,
    /// As the platform lists them, and the stores that a configuration of routes names.
    pub replicas: Vec<ReplicaInfo>,
    listed_replicas: Vec<ReplicaInfo>,
    /// The nodes that may hold a lease, by name.
    pub nodes: BTreeMap<String, NodeInfo>,
    /// Which index node owns a replica, by the id of the replica.
    pub assignments: BTreeMap<String, Assignment>,
    /// The configuration of routes, where operators sent one: tenants, keys and models are then its.
    pub route_config: Option<Arc<RouteConfig>>,
    /// The newest version of each model's weights that was released.
    pub released_weights: BTreeMap<String, u64>,
}

/// Reads the value of a source. One that cannot be read is logged.
fn parse<T: serde::de::DeserializeOwned>(update: &SourceUpdate) -> Option<T> {
    match sonic_rs::from_slice(update.value.as_slice()) {
        Ok(value) => Some(value),
        Err(error) => {
            let source = SOURCES[update.source as usize];
            ring::info(&format!("source {source} version {} cannot be read: {error}", update.version));
            None
        }
    }
}

impl Fleet {
    /// Takes one source's update, completely or not at all; an older version is passed over.
    pub fn apply(&mut self, update: &SourceUpdate) {
        let source = update.source as usize;
        if source >= SOURCES.len() || update.version <= self.versions[source] {
            return;
        }
        if self.apply_value(source, update).is_some() {
            self.versions[source] = update.version;
        }
    }

    fn apply_value(&mut self, source: usize, update: &SourceUpdate) -> Option<()> {
        match source {
            // A configuration of routes stands in place of these.
            FLEET_CONFIG | KEYS if self.route_config.is_some() => {}
            FLEET_CONFIG => self.fleet_config = parse(update)?,
            KEYS => self.keys = parse(update)?,
            ROUTE_CONFIG => self.apply_route_config(parse(update)?),
            WEIGHTS => self.apply_released_weights(parse(update)?),
            REPLICAS => {
                self.listed_replicas = parse(update)?;
                self.join_stores();
            }
            NODES => self.nodes = parse(update)?,
            ASSIGNMENTS => self.assignments = parse(update)?,
            _ => {}
        }
        Some(())
    }

    /// Takes all updates; `false` when any of them could not be put to use. Whoever gets `false` must not count itself up
    /// to date: it would work on without what others were told is in force.
    pub fn apply_all(&mut self, updates: &[SourceUpdate]) -> bool {
        updates.iter().for_each(|update| self.apply(update));
        let is_in_use = |update: &SourceUpdate| {
            let version = self.versions.get(update.source as usize);
            version.is_some_and(|version| *version >= update.version)
        };
        updates.iter().all(is_in_use)
    }

    /// Takes the response to a pull that was sent at `asked`: when weights were released, and the updates. `false` when
    /// any update could not be put to use.
    pub fn apply_pull(&mut self, asked: Duration, pulled: &PullResponse) -> bool {
        self.releases.merge(told_at(asked, pulled), &pulled.release_ages);
        let updates = pulled.updates.items();
        updates.is_empty() || self.apply_all(updates)
    }

    /// Whether `apply_pull` would change anything.
    pub fn would_change(&self, asked: Duration, pulled: &PullResponse) -> bool {
        !pulled.updates.items().is_empty() || self.releases.would_change(told_at(asked, pulled), &pulled.release_ages)
    }

    /// The weights that a model should run.
    pub fn current_weights(&self, model: &str) -> Option<&str> {
        Some(&self.fleet_config.as_ref()?.models.get(model)?.weights)
    }

    /// Until when requests may begin on these superseded weights of a model, where they may do so for `bound`; none where
    /// they are the newest, or nothing is known of when newer ones were released.
    ///
    /// The bound counts from when the control replicas took the first newer ones, whenever this node learnt of it. A
    /// control process that started since may have held the rollout up: the bound then counts from its start, but not
    /// beyond the bound on all such times together.
    pub fn superseded_weights_until(
        &self,
        model: &str,
        weights: &str,
        bound: impl Into<SupersededWeightsBound>,
    ) -> Option<ProcessInstant> {
        let superseded = self.releases.superseded_at(model, weights)?;
        Some(bound.into().until(superseded, self.releases.control_restart()))
    }

    fn apply_route_config(&mut self, config: Option<RouteConfig>) {
        let Some(config) = config else { return };
        self.keys = config.key_table();
        let fleet_config = config.fleet_config(&self.released_weights);
        self.route_config = Some(Arc::new(config));
        self.join_stores();
        self.fleet_config = Some(fleet_config);
    }

    /// Stores are on no list of the platform: the configuration of routes names them.
    fn join_stores(&mut self) {
        self.replicas = self.listed_replicas.clone();
        for (name, service) in self.route_config.iter().flat_map(|config| &config.services) {
            if let Some(store) = &service.value.store {
                self.replicas.push(ReplicaInfo {
                    id: format!("{STORE_MODEL}/{name}"),
                    at: store.at.clone(),
                    model: STORE_MODEL.into(),
                    zone: store.zone.clone(),
                    service: name.clone(),
                    ..ReplicaInfo::default()
                });
            }
        }
    }

    fn apply_released_weights(&mut self, weights: BTreeMap<String, u64>) {
        self.released_weights = weights;
        if let Some(config) = &self.route_config {
            self.fleet_config = Some(config.fleet_config(&self.released_weights));
        }
    }

    /// The index nodes that hold a lease, by how they should own a replica, best first: by rendezvous hashing.
    pub fn index_nodes_by_preference(&self, replica: &str) -> Vec<&String> {
        let nodes = self.nodes.iter().filter(|(_, node)| node.kind == INDEX_NODE).map(|(name, _)| name);
        hash::rendezvous(replica, nodes)
    }

    /// The fencing token under which a node owns a replica, if it does.
    pub fn fencing_token(&self, replica: &str, me: &Identity) -> Option<u64> {
        let assignment = self.assignments.get(replica)?;
        let is_owner = assignment.owner == me.name && assignment.incarnation == me.incarnation;
        is_owner.then_some(assignment.fencing_token)
    }

    /// Where the owner of a replica is reached.
    pub fn owner_address(&self, replica: &str) -> Option<&str> {
        Some(self.nodes.get(&self.assignments.get(replica)?.owner)?.at.as_str())
    }

    /// The tenant of a key, by the key's digest.
    ///
    /// # Errors
    /// The key is unknown, or was withdrawn.
    pub fn tenant(&self, key_digest: &str) -> Result<&str, KeyError> {
        match self.keys.get(key_digest) {
            Some(key) if !key.withdrawn => Ok(&key.tenant),
            Some(_) => Err(KeyError::Withdrawn),
            None => Err(KeyError::Unknown),
        }
    }

    /// The versions of all sources as JSON fields, without braces.
    pub fn versions_json(&self) -> String {
        let fields: Vec<String> =
            SOURCES.iter().zip(self.versions).map(|(name, version)| format!("\"{name}\":{version}")).collect();
        fields.join(",")
    }
}

/// When the response was made, at the earliest: the pull was held for a while.
fn told_at(asked: Duration, pulled: &PullResponse) -> Duration {
    asked + Duration::from_millis(pulled.parked_ms)
}
