//! The last step of a placement: the links and the store that the attempt will use.
use super::LinkUse;
use super::costs::lacks;
use control_state::fleet::STORE_MODEL;
use routing::placement_cost::{CacheView, Candidate, Choice, Parts, SourceCandidate};
use routing::session_placement::ReplicaStatus;
use std::time::Duration;

/// A store whose link is occupied for longer gets nothing more, in microseconds.
const MAX_STORE_LINK_DELAY_US: f64 = 150_000.0;
/// A transfer to another zone takes so many times as long.
const CROSS_ZONE_FACTOR: f64 = 2.0;

/// What an attempt will occupy besides its replica.
pub(super) struct Reservation {
    pub occupied_links: Vec<LinkUse>,
    /// The address of the store that is to get the prompt's parts.
    pub store_target: Option<String>,
}

/// Names the links of the source, if there is one, and of the store that is to get the prompt, if any should.
pub(super) fn reserve(
    candidate: &Candidate,
    choice: &Choice,
    sources: &[SourceCandidate],
    parts: &Parts,
    cached: &CacheView,
) -> Reservation {
    let source = choice.source.map(|index| &sources[index]);
    let store = store_for(sources, parts, cached);
    let prompt_tokens = choice.cached_tokens + choice.transferred_tokens + choice.recomputed_tokens;
    let from_source = source.map(|source| link_use(source, choice.transferred_tokens, candidate.replica));
    let to_store = store.map(|store| link_use(store, prompt_tokens, candidate.replica));
    Reservation {
        occupied_links: from_source.into_iter().chain(to_store).collect(),
        store_target: store.map(|store| store.replica.address.clone()),
    }
}

/// The least occupied store that should get the prompt.
fn store_for<'a>(
    sources: &'a [SourceCandidate<'a>],
    parts: &Parts,
    cached: &CacheView,
) -> Option<&'a SourceCandidate<'a>> {
    let stores = sources.iter().filter(|source| source.replica.model == STORE_MODEL);
    let stores = stores.filter(|store| store.queue_us < MAX_STORE_LINK_DELAY_US && lacks(cached, store.replica, parts));
    stores.min_by(|a, b| a.queue_us.total_cmp(&b.queue_us))
}

/// The use of a source's or store's link by a transfer between it and a replica.
fn link_use(owner: &SourceCandidate, tokens: u64, replica: &ReplicaStatus) -> LinkUse {
    let zone_factor = if owner.replica.zone == replica.zone { 1.0 } else { CROSS_ZONE_FACTOR };
    let us = tokens as f64 * owner.transfer_us_per_token * zone_factor;
    LinkUse { owner: owner.replica.id.clone(), duration: Duration::from_micros(us as u64) }
}
