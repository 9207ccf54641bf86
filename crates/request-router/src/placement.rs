//! Chooses the replica of an attempt, and the source of cached blocks.
use crate::request_context::RequestContext;
use crate::state::{RouterState, count};
use control_state::fleet::APP_MODEL;
use routing::placement::{FleetView, Placement, PlacementRequest, find_placement};
use routing::session_placement::PlacementReason;

/// Chooses where the next attempt goes; `None` where no replica is eligible.
pub fn place(state: &RouterState, context: &mut RequestContext) -> Option<Placement> {
    if context.to_app {
        return place_at_app(state, context);
    }
    let found = place_at_replica(state, context)?;
    count_placement(state, &found);
    context.trace.step(describe(&found));
    Some(found)
}

/// The first app service that can take the request.
fn place_at_app(state: &RouterState, context: &RequestContext) -> Option<Placement> {
    let is_available = |status: &routing::session_placement::ReplicaStatus| {
        status.model == APP_MODEL
            && !status.draining
            && !status.unavailable
            && !context.machine.attempted.contains(&status.id)
    };
    let status = state.replica_statuses().into_iter().find(is_available)?;
    Some(Placement {
        replica: status,
        reason: PlacementReason::Home,
        source: None,
        blocks: Vec::new(),
        block_bytes: 0,
        cached_blocks: 0,
        link_us_per_block: 0,
    })
}

fn place_at_replica(state: &RouterState, context: &mut RequestContext) -> Option<Placement> {
    let (fleet, load_reports, unreachable) = (state.fleet.read(), state.load_reports.read(), state.unreachable.read());
    // The tenant may have been isolated since the request came.
    if let Some(wall) = fleet.fleet_config.as_ref().and_then(|configuration| configuration.wall(&context.tenant)) {
        context.cache_scope = wall;
    }
    let filter_copies = state.filter_copies.read();
    let learnt_links = state.learnt_links().clone();
    let known = FleetView {
        fleet: &fleet,
        replica_reports: &load_reports,
        ejected: &unreachable,
        filter_copies: &filter_copies,
        learnt_costs: &learnt_links,
        now: state.now(),
    };
    let request = PlacementRequest {
        wall: &context.cache_scope,
        model: &context.completion.model,
        prompt: context.completion.prompt.as_bytes(),
        session: &context.session,
        affinity: context.requested_replica.as_deref(),
        attempted: &context.machine.attempted,
    };
    find_placement(&known, &request)
}

fn count_placement(state: &RouterState, found: &Placement) {
    let is_miss = found.cached_blocks < found.blocks.len();
    count(if is_miss { &state.counters.prefix_misses } else { &state.counters.prefix_hits });
    if matches!(found.reason, PlacementReason::AffinityLost | PlacementReason::LoadBound | PlacementReason::Retry) {
        count(&state.counters.moves);
    }
}

/// The placement as the request's trace shows it.
fn describe(found: &Placement) -> String {
    let source = found.source.as_ref().map_or("none".into(), |source| {
        let (blocks, saved_us) = (source.blocks, source.saved_us);
        format!("{} with {blocks} blocks at {} us each, saves {saved_us} us", source.replica, found.link_us_per_block)
    });
    format!(
        "placed on {} ({}): {} of {} blocks there by its mirror; source {source}",
        found.replica.id,
        found.reason.header_value(),
        found.cached_blocks,
        found.blocks.len(),
    )
}
