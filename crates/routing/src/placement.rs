//! Placement of an attempt: its replica, and the source of a prefix that the replica lacks, from all that a router knows.
use crate::link_costs::{LearntCosts, LinkCosts};
use crate::replica_table::{EjectedUntil, ReplicaReports, replica_statuses_for};
use crate::session_placement::{PlacementReason, ReplicaStatus, SessionRequest, choose_replica};
use crate::transfer_source::{FilterCopies, TransferSource, cached_blocks, choose_source};
use control_state::fleet::Fleet;
use control_state::process_instant::ProcessInstant;
use prefix_table::blocks;
use std::time::Duration;

/// For how long after newer weights were released replicas on superseded ones may serve.
pub const SUPERSEDED_WEIGHTS_BOUND: Duration = prefix_table::rollout_planner::SUPERSEDED_WEIGHTS_BOUND;

/// What a router knows.
pub struct FleetView<'a> {
    /// The fleet as it was pulled last.
    pub fleet: &'a Fleet,
    /// The reports of index nodes.
    pub replica_reports: &'a ReplicaReports,
    /// Replicas that get no requests for now.
    pub ejected: &'a EjectedUntil,
    /// The copies of the replicas' filters.
    pub filter_copies: &'a FilterCopies,
    /// The learnt costs of links.
    pub learnt_costs: &'a LearntCosts,
    /// The present time, by this process's clock.
    pub now: Duration,
}

/// A request that is to be placed.
pub struct PlacementRequest<'a> {
    /// The tenants that may share cached prefixes have the same wall.
    pub wall: &'a str,
    /// The model.
    pub model: &'a str,
    /// The prompt's bytes.
    pub prompt: &'a [u8],
    /// The session.
    pub session: &'a str,
    /// The replica that the client named.
    pub affinity: Option<&'a str>,
    /// Replicas of failed attempts.
    pub attempted: &'a [String],
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The replica.
    pub replica: ReplicaStatus,
    /// Why it goes there.
    pub reason: PlacementReason,
    /// The source of a prefix, if one is used.
    pub source: Option<TransferSource>,
    /// The hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// The size of a block by which they were cut, in bytes.
    pub block_bytes: u64,
    /// How many leading blocks the replica has cached itself, by its filter.
    pub cached_blocks: usize,
    /// What a block costs on the source's link, in microseconds, as far as is known.
    pub link_us_per_block: u64,
}

/// Places an attempt among all replicas that the router knows; none where no replica may take it.
pub fn find_placement(state: &FleetView, request: &PlacementRequest) -> Option<Placement> {
    let replicas = replica_statuses_for(request.model, state.fleet, state.replica_reports, state.ejected, state.now);
    find_placement_among(&replicas, SUPERSEDED_WEIGHTS_BOUND, state, request)
}

/// As `find_placement`, among these replicas and with another bound on superseded weights.
pub fn find_placement_among(
    replicas: &[ReplicaStatus],
    superseded_weights_bound: Duration,
    state: &FleetView,
    request: &PlacementRequest,
) -> Option<Placement> {
    let configuration = state.fleet.fleet_config.as_ref()?;
    let model = configuration.models.get(request.model)?;
    let superseded_may_serve = |weights: &str| {
        let until = state.fleet.superseded_weights_until(request.model, weights, superseded_weights_bound);
        until.is_some_and(|until| ProcessInstant::at(state.now) < until)
    };
    let session_request = SessionRequest {
        session: request.session,
        model: request.model,
        weights: &model.weights,
        superseded_may_serve: &superseded_may_serve,
        affinity: request.affinity,
        attempted: request.attempted,
        max_per_replica: configuration.limits.per_replica,
    };
    let (replica, reason) = choose_replica(replicas, &session_request)?;
    let salt = blocks::block_salt(request.wall, request.model, &replica.weights);
    let block_bytes = configuration.index.block_bytes;
    let blocks = blocks::block_hashes(salt, request.prompt, block_bytes as usize);
    let cached_blocks = cached_blocks(state.filter_copies, replica, &blocks);
    let costs = LinkCosts { configured: &configuration.links, learnt: Some(state.learnt_costs), now: state.now };
    let source = match cached_blocks < blocks.len() {
        true => choose_source(replicas, state.filter_copies, replica, &blocks, &costs, model),
        false => None,
    };
    let link_us_per_block = source.as_ref().map_or(0, |source| costs.us_per_block(&source.link));
    Some(Placement { replica: replica.clone(), reason, source, blocks, block_bytes, cached_blocks, link_us_per_block })
}
