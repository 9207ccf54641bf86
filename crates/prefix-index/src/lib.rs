//! An index node as a part that any program can run: holds duties for replicas, keeps their tables from
//! their events, sends out only bit filters, audits hand-over tries, and gives its replicas orders under
//! a fence. How replicas are spoken with is the program's business.
mod replica_client;
mod service;
mod tasks;

use control_state::superseded_weights::SupersededWeightsBound;
use fleet_common::frame;
use fleet_common::node::{ControlClient, Identity, Seeds};
use prefix_table::index_node::IndexNode;
pub use prefix_table::rollout_planner::SUPERSEDED_WEIGHTS_BOUND;
pub use replica_client::{
    CacheReport, EventBatch, HttpReplicaClient, NO_LONGER_ASSIGNED, OrderOutcome, OrderRequest, PollRequest, ReplicaApi,
};
pub use service::IndexService;
use std::net::TcpListener;
use std::sync::Arc;

/// What an index node is started with.
pub struct StartOptions {
    /// Who this node is.
    pub identity: Identity,
    /// Where control replicas are first looked for.
    pub seeds: Seeds,
    /// Where routers and peers ask; the identity names its address.
    pub frames: TcpListener,
    /// How replicas are polled and given orders.
    pub replicas: Arc<dyn ReplicaApi>,
    /// For how long after newer weights were named routers let older ones serve.
    pub superseded_weights_bound: SupersededWeightsBound,
}

/// Serves frames and starts the node's threads; it knows nothing until `follow` pulls.
/// ```
/// use fleet_common::node::Identity;
/// use prefix_index::{HttpReplicaClient, StartOptions};
/// let identity = Identity { name: "i1".into(), kind: "index", incarnation: 1, address: "".into(), zone: "a".into() };
/// let frames = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let service = prefix_index::start(StartOptions {
///     identity, seeds: Default::default(), frames, replicas: std::sync::Arc::new(HttpReplicaClient),
///     superseded_weights_bound: prefix_index::SUPERSEDED_WEIGHTS_BOUND.into(),
/// });
/// assert!(!service.index_node().has_valid_lease());
/// ```
pub fn start(start: StartOptions) -> Arc<IndexService> {
    let StartOptions { identity, seeds, frames, replicas, superseded_weights_bound } = start;
    let index_node = IndexNode::new(identity.clone()).with_superseded_weights_bound(superseded_weights_bound);
    let shared = Arc::new(IndexService::new(identity, seeds, replicas, index_node));
    let for_frames = shared.clone();
    frame::serve(frames, move |ask| Some(for_frames.respond(ask)));
    service::spawn_threads(&shared);
    shared
}

/// Pulls from the core for ever.
/// ```no_run
/// # fn with(service: std::sync::Arc<prefix_index::IndexService>) {
/// prefix_index::pull_forever(&service);
/// # }
/// ```
pub fn pull_forever(shared: &Arc<IndexService>) {
    let link = ControlClient::new(shared.identity.clone(), shared.seeds.clone(), shared.control_members.clone());
    fleet_common::node::follow(link, |sent, pulled| shared.apply_pull(sent, pulled))
}

/// Hands tables over, gives all duties up and leaves the fleet; returns when that is done.
/// ```
/// # use fleet_common::node::Identity;
/// # let identity = Identity { name: "i1".into(), kind: "index", incarnation: 1, address: "".into(), zone: "a".into() };
/// # let frames = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// # let replicas = std::sync::Arc::new(prefix_index::HttpReplicaClient);
/// # let service = prefix_index::start(prefix_index::StartOptions { identity, seeds: Default::default(), frames, replicas,
/// #     superseded_weights_bound: prefix_index::SUPERSEDED_WEIGHTS_BOUND.into() });
/// prefix_index::shut_down(&service);
/// ```
pub fn shut_down(shared: &IndexService) {
    shared.shut_down()
}
