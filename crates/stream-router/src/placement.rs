//! Placement: which replica an attempt goes to, and what it occupies there.
//!
//! [`place`] takes four steps, all on the same reading of the router's state: `eligible` filters the replicas,
//! `estimate` says what the attempt meets at each of them and at the sources of cached parts, `choose_candidate` takes the
//! cheapest, and `reserve` names the links and the store that the attempt will use.
mod basis;
mod costs;
mod eligible;
mod estimate;
mod reserve;
mod weights;

use crate::request_context::RequestContext;
use crate::state::{RouterState, count};
pub use basis::PlacementBasis;
use control_state::fleet::Fleet;
use eligible::eligible_replicas;
use estimate::{PromptsByWeights, candidates, salted_prompts, sources};
use fleet_common::hash;
use reserve::{Reservation, reserve};
use routing::placement_cost::{CacheView, Candidate, Choice, Parts, SourceCandidate, choose_candidate};
use routing::replica_table::ReplicaReports;
use routing::session_placement::ReplicaStatus;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
pub(crate) use weights::start_deadline;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The replica's id.
    pub replica: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model whose weights the request runs on; empty where the replica has none.
    pub model: String,
    /// The version of the weights.
    pub weights: String,
    /// The salt of the prefix cache's keys.
    pub cache_salt: String,
    /// The prompt's parts under that salt.
    pub parts: Parts,
    /// Who transfers cached parts to the replica.
    pub source: Option<CacheSource>,
    /// The links that transfers will occupy.
    pub occupied_links: Vec<LinkUse>,
    /// The address of the store that is to get the prompt's parts.
    pub store_target: Option<String>,
    /// Tokens of the prompt that the replica has cached.
    pub cached_tokens: u64,
    /// Tokens that the source transfers.
    pub transferred_tokens: u64,
    /// Tokens that the replica has to prefill.
    pub recomputed_tokens: u64,
    /// How long the prefill takes at a replica of ordinary pace.
    pub prefill_time: Duration,
    /// How long the request is expected to wait for it.
    pub queue_delay: Duration,
    /// The share of the replica's KV cache that requests ask for, this one included.
    pub memory_share: f64,
    /// What it was decided by.
    pub basis: PlacementBasis,
}

/// A replica or store that transfers cached parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSource {
    /// Its id.
    pub id: String,
    /// Its address, as the replica is told.
    pub address: String,
}

/// A link that is occupied by a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkUse {
    /// The replica or store whose link it is.
    pub owner: String,
    /// For how long.
    pub duration: Duration,
}

/// The outcome of a placement.
#[derive(Clone, Debug)]
pub enum PlacementOutcome {
    /// The attempt goes there.
    Placed(Box<Placement>),
    /// No replica is eligible.
    NoReplica,
}

/// What a placement looks at: one version of the fleet and of the reports, whatever comes in meanwhile.
struct Inputs<'a> {
    state: &'a RouterState,
    context: &'a RequestContext,
    fleet: &'a Fleet,
    /// What index nodes report of the replicas.
    load_reports: &'a ReplicaReports,
    /// All replicas and stores of `fleet`, by `load_reports`, for the request's model.
    statuses: &'a [ReplicaStatus],
    /// Since the start of the router.
    now: Duration,
}

/// Finds a replica for the next attempt of a request.
pub fn place(state: &RouterState, context: &RequestContext) -> PlacementOutcome {
    let (fleet, load_reports) = (state.fleet.read(), state.load_reports.read());
    let statuses = state.replica_statuses(&context.info.model, &fleet, &load_reports);
    let inputs =
        Inputs { state, context, fleet: &fleet, load_reports: &load_reports, statuses: &statuses, now: state.now() };
    let eligible = eligible_replicas(&inputs);
    let prompts = salted_prompts(&inputs, &eligible);
    let candidates = candidates(&inputs, &eligible, &prompts);
    let sources = sources(&inputs);
    match choose_and_reserve(&inputs, &prompts, &candidates, &sources) {
        Some(placement) => PlacementOutcome::Placed(Box::new(placement)),
        None => PlacementOutcome::NoReplica,
    }
}

/// Takes the cheapest candidate, and names what the attempt occupies.
fn choose_and_reserve(
    inputs: &Inputs,
    prompts: &PromptsByWeights,
    candidates: &[Candidate],
    sources: &[SourceCandidate],
) -> Option<Placement> {
    let prices = *inputs.state.cost_model();
    let filter_copies = inputs.state.filter_copies.read();
    // Locked while it is searched, as it is too large to copy; no other lock is taken meanwhile.
    let recent = inputs.state.recent_prompts();
    let cached = CacheView { filter_copies: &filter_copies, recent_prompts: &recent, now: inputs.now };
    let choice = choose_candidate(candidates, sources, &cached, &prices, tie_breaker(inputs.context, candidates))?;
    let candidate = &candidates[choice.candidate];
    let parts = &prompts.get(&weights::weights_at(inputs, candidate.replica))?.parts;
    count_choice(inputs.state, &choice);
    let reservation = reserve(candidate, &choice, sources, parts, &cached);
    placement(inputs, prompts, candidate, &choice, sources, reservation)
}

/// Decides between equal costs: the same way for equal prompts from all routers, at random for further attempts.
fn tie_breaker(context: &RequestContext, candidates: &[Candidate]) -> u64 {
    if !context.attempted_replicas.is_empty() {
        return hash::unique_id();
    }
    let first_part = candidates.first().and_then(|candidate| candidate.parts.first());
    first_part.map_or(0, |part| part.hash)
}

fn count_choice(state: &RouterState, choice: &Choice) {
    if choice.source.is_some() {
        count(&state.counters.transfers_named);
    }
    state.counters.tokens_cached.fetch_add(choice.cached_tokens + choice.transferred_tokens, Ordering::Relaxed);
    state.counters.tokens_recomputed.fetch_add(choice.recomputed_tokens, Ordering::Relaxed);
}

/// Puts together what was decided; `None` where the replica's address cannot be read.
fn placement(
    inputs: &Inputs,
    prompts: &PromptsByWeights,
    candidate: &Candidate,
    choice: &Choice,
    sources: &[SourceCandidate],
    reservation: Reservation,
) -> Option<Placement> {
    let status = candidate.replica;
    let model = weights::model_at(inputs.context, status);
    let weights = weights::weights_at(inputs, status);
    let prompt = prompts.get(&weights)?.clone();
    let source = choice.source.map(|index| sources[index].replica);
    Some(Placement {
        replica: status.id.clone(),
        address: status.address.parse().ok()?,
        model: model.to_string(),
        weights,
        cache_salt: prompt.salt,
        parts: prompt.parts,
        source: source.map(|status| CacheSource { id: status.id.clone(), address: status.address.clone() }),
        occupied_links: reservation.occupied_links,
        store_target: reservation.store_target,
        cached_tokens: choice.cached_tokens,
        transferred_tokens: choice.transferred_tokens,
        recomputed_tokens: choice.recomputed_tokens,
        prefill_time: Duration::from_micros(choice.prefill_us as u64),
        queue_delay: Duration::from_micros(candidate.queue_us as u64),
        memory_share: candidate.memory_use,
        basis: PlacementBasis::of(inputs.fleet, inputs.context),
    })
}
