//! What placing a request costs a replica's memory and the links of those that transfer cached parts.
use crate::request_context::RequestContext;
use control_state::fleet::{Fleet, STORE_MODEL};
use control_state::route_config::Engine;
use routing::placement_cost::{CacheView, Parts};
use routing::session_placement::ReplicaStatus;

/// A token's time on a link of which the configuration says nothing, in microseconds.
const DEFAULT_LINK_US: f64 = 1.0;
const BITS_PER_BYTE: f64 = 8.0;
/// A store gets a prompt of which it lacks more than this fraction of the shared tokens.
const LACKING_FRACTION: u64 = 4;

/// The engine of the request's service, where the configuration describes one.
fn engine<'a>(fleet: &'a Fleet, context: &RequestContext) -> Option<&'a Engine> {
    fleet.route_config.as_ref()?.services.get(&context.service)?.value.engine.as_ref()
}

/// The share of a replica's KV cache that is asked for with this prompt, by what the configuration says it has; 0 where
/// it says nothing. `requested` is what earlier requests ask for, in tokens.
pub(super) fn memory(fleet: &Fleet, context: &RequestContext, requested: u64, parts: &Parts) -> f64 {
    let prompt: u64 = parts.iter().map(|part| part.tokens).sum();
    match engine(fleet, context).map_or(0, |engine| engine.cache_tokens) {
        0 => 0.0,
        capacity => (requested + prompt) as f64 / capacity as f64,
    }
}

/// How long one token occupies a source's link, in microseconds, by what the configuration says of it.
pub(super) fn link_us(fleet: &Fleet, context: &RequestContext, source: &ReplicaStatus) -> f64 {
    let engine = engine(fleet, context);
    let link_mbps = store_link_mbps(fleet, source).unwrap_or(engine.map_or(0, |engine| engine.link_mbps));
    match (engine.map_or(0, |engine| engine.token_bytes), link_mbps) {
        (0, _) | (_, 0) => DEFAULT_LINK_US,
        (token_bytes, link_mbps) => token_bytes as f64 * BITS_PER_BYTE / link_mbps as f64,
    }
}

/// The bandwidth of a store's link; `None` for what is no store of the configuration.
fn store_link_mbps(fleet: &Fleet, source: &ReplicaStatus) -> Option<u64> {
    if source.model != STORE_MODEL {
        return None;
    }
    let service = fleet.route_config.as_ref()?.services.get(&source.service)?;
    service.value.store.as_ref().map(|store| store.link_mbps)
}

/// Whether a store should get this prompt: it lacks parts that other requests share, and these are more than the last
/// part, which nobody will ask for again.
pub(super) fn lacks(cached: &CacheView, store: &ReplicaStatus, parts: &Parts) -> bool {
    let Some((last, shared)) = parts.split_last() else { return false };
    let tokens: u64 = shared.iter().map(|part| part.tokens).sum();
    let lacking = || tokens - cached.expected_tokens(store, shared);
    tokens > 0 && tokens >= last.tokens && lacking() > tokens / LACKING_FRACTION
}
