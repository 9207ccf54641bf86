//! What a core would tell index nodes: whole versions of members, replicas, duties and a blueprint.
#![allow(dead_code)]
pub mod world;

use control_state::command::{NodeInfo, ReplicaInfo};
use control_state::fleet_config::{FleetConfig, IndexConfig, LoadLimits, ModelConfig, TransferCosts};
use control_state::state::Assignment;
use fleet_common::node::Identity;
use fleet_common::rpc::{ASSIGNMENTS, FLEET_CONFIG, NODES, PullResponse, REPLICAS, SourceUpdate};
use prefix_table::event::{CacheEvent, CacheReport, EventBatch, NumberedEvent};
use serde::Serialize;
use std::collections::BTreeMap;

/// The fleet as the core holds it, and the fence it gave last.
pub struct Core {
    pub members: BTreeMap<String, NodeInfo>,
    pub replicas: Vec<ReplicaInfo>,
    pub duties: BTreeMap<String, Assignment>,
    pub blueprint: FleetConfig,
    pub fence: u64,
    version: u64,
}

pub fn identity(name: &str) -> Identity {
    Identity { name: name.into(), kind: "index", incarnation: 1, address: name.into(), zone: "a".into() }
}

fn node(name: &str, kind: &str) -> (String, NodeInfo) {
    (name.into(), NodeInfo { kind: kind.into(), incarnation: 1, at: name.into(), zone: "a".into() })
}

pub fn replica(id: &str, model: &str) -> ReplicaInfo {
    ReplicaInfo {
        id: id.into(),
        at: id.into(),
        model: model.into(),
        other_models: Vec::new(),
        zone: "a".into(),
        leaving: false,
        service: String::new(),
        slots: 0,
    }
}

impl Core {
    pub fn new(nodes: &[&str], edges: &[&str], replicas: Vec<ReplicaInfo>, keep_serving: u64) -> Self {
        let index = nodes.iter().map(|name| node(name, "index"));
        let blueprint = FleetConfig {
            tenants: BTreeMap::new(),
            models: BTreeMap::from([("m".into(), ModelConfig { weights: "w1".into(), prefill_us_per_block: 1 })]),
            request_classes: BTreeMap::new(),
            route_rules: Vec::new(),
            rules: Vec::new(),
            links: TransferCosts { near_us_per_block: 1, far_us_per_block: 1, setup_us: 1 },
            index: IndexConfig { block_bytes: 64, alpha: 5, beta: 25, bits: 8192, hashes: 0 },
            limits: LoadLimits { per_replica: 9, per_edge: 9, stall_ms: 1000, keep_serving },
        };
        Core {
            members: index.chain(edges.iter().map(|name| node(name, "edge"))).collect(),
            replicas,
            duties: BTreeMap::new(),
            blueprint,
            fence: 0,
            version: 0,
        }
    }

    pub fn give(&mut self, replica: &str, node: &str) {
        self.fence += 1;
        // As the core rules: a duty that another one held before has moved.
        let before = self.duties.get(replica);
        let moved = before.is_some_and(|duty| duty.moved || duty.last_owner != node);
        let fencing_token = self.fence;
        let duty = Assignment {
            owner: node.into(),
            incarnation: 1,
            fencing_token,
            after_expiry: false,
            last_owner: node.into(),
            moved,
        };
        self.duties.insert(replica.into(), duty);
    }

    /// All of it, under a new version.
    pub fn pulled(&mut self) -> PullResponse {
        self.version += 1;
        fn source<T: Serialize>(source: usize, version: u64, value: &T) -> SourceUpdate {
            SourceUpdate { source: source as u8, version, value: sonic_rs::to_vec(value).unwrap().into() }
        }
        let changed = vec![
            source(FLEET_CONFIG, self.version, &Some(&self.blueprint)),
            source(REPLICAS, self.version, &self.replicas),
            source(NODES, self.version, &self.members),
            source(ASSIGNMENTS, self.version, &self.duties),
        ];
        PullResponse {
            lease_confirmed: 1,
            age_ms: 0,
            updates: changed.into(),
            release_ages: Default::default(),
            parked_ms: 0,
        }
    }
}

/// A replica's report with events from a number on.
pub fn report(weights: &str, load: u64, first: u64, events: Vec<CacheEvent>) -> CacheReport {
    let next = first + events.len() as u64;
    let events = events
        .into_iter()
        .enumerate()
        .map(|(at, event)| NumberedEvent { sequence: first + at as u64, event })
        .collect();
    EventBatch { incarnation: "1".into(), weights: weights.into(), load, next_sequence: next, events }.into()
}
