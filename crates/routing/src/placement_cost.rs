//! Placement cost: which replica a prompt made of parts is sent to.
//!
//! Each candidate is given a cost in microseconds: the prefill of what it has not cached, the transfer of what another
//! replica or a store can send it, the time in its queue, and what distance and memory pressure add. The candidate of
//! least cost is chosen. Equal prompts get equal costs at every router, so that they meet at the same replica.
use crate::link_queues::queue_key;
pub use crate::recent_prompts::RecentPrompts;
use crate::session_placement::ReplicaStatus;
use crate::transfer_source::FilterCopies;
use fleet_common::hash::{self, mix};
use std::time::Duration;

/// Congestion counts a prefill at most so many times again.
const MAX_CONGESTION_FACTOR: f64 = 8.0;
/// Requests may ask for this share of a replica's memory before that costs anything.
const FREE_MEMORY_SHARE: f64 = 0.5;
/// A transfer across zones takes so many times as long as one inside a zone.
const CROSS_ZONE_TRANSFER_FACTOR: f64 = 2.0;
/// Costs of equal candidates are told apart by less than this, in microseconds.
const TIE_BREAK_RANGE_US: u64 = 4000;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its hash under the salt of a replica's weights.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// A prompt's parts under one salt, in order.
pub type Parts = Vec<PromptPart>;

/// The number of tokens in a list of parts.
pub fn total_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}

/// What things cost, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// The prefill of one token.
    pub prefill_us_per_token: f64,
    /// What the prefill of a token takes besides for each token before it (attention).
    pub prefill_us_per_token_pair: f64,
    /// The start of a transfer.
    pub transfer_setup_us: f64,
    /// What it is worth, for each token, not to compute again what some replica has cached.
    pub duplicate_us_per_token: f64,
    /// For each so long a queue at the average replica a prefill counts once more: it makes all behind it wait, and the
    /// fuller the fleet, the more there are.
    pub congestion_us: f64,
    /// Each request that runs or waits at the replica.
    pub request_us: f64,
    /// Memory asked for beyond half of it, for the whole of it: cached prefixes are evicted, and requests wait for memory.
    pub memory_pressure_us: f64,
    /// The way to another zone and back.
    pub cross_zone_us: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        CostModel {
            prefill_us_per_token: 9.5,
            prefill_us_per_token_pair: 0.0002,
            transfer_setup_us: 9000.0,
            duplicate_us_per_token: 15.0,
            congestion_us: 120_000.0,
            request_us: 1500.0,
            memory_pressure_us: 500_000.0,
            cross_zone_us: 3000.0,
        }
    }
}

impl CostModel {
    /// The prefill, in microseconds, of the last `recomputed` tokens of a prompt of `total` tokens.
    pub fn prefill_us(&self, recomputed: u64, total: u64) -> f64 {
        let recomputed = recomputed as f64;
        let tokens_before = (total as f64 - recomputed / 2.0).max(0.0);
        recomputed * self.prefill_us_per_token + recomputed * tokens_before * self.prefill_us_per_token_pair
    }

    /// How many times a prefill counts while queues are as long as these candidates'.
    fn congestion_factor(&self, candidates: &[Candidate]) -> f64 {
        let all_us: f64 = candidates.iter().map(|candidate| candidate.queue_us).sum();
        let average_us = all_us / candidates.len().max(1) as f64;
        1.0 + (average_us / self.congestion_us).min(MAX_CONGESTION_FACTOR)
    }
}

/// A replica that may take the prompt.
pub struct Candidate<'a> {
    /// The replica.
    pub replica: &'a ReplicaStatus,
    /// The prompt's parts under the salt of the replica's weights.
    pub parts: &'a Parts,
    /// Requests that run or wait there, as far as this router knows.
    pub in_flight: f64,
    /// How long the prompts sent there before will be in prefill, in microseconds.
    pub queue_us: f64,
    /// How many times as long its prefill takes as that of an ordinary replica.
    pub slowdown: f64,
    /// The share of its memory that requests ask for, this one among them; 0 where nothing is known of it.
    pub memory_use: f64,
    /// Whether it is in this router's zone.
    pub same_zone: bool,
}

/// What this router knows of cached prefixes.
pub struct CacheView<'a> {
    /// The copies of the replicas' filters.
    pub filter_copies: &'a FilterCopies,
    /// What was sent to replicas lately.
    pub recent_prompts: &'a RecentPrompts,
    /// The present time, by this process's clock.
    pub now: Duration,
}

impl CacheView<'_> {
    /// How many tokens of the leading parts a replica or store has cached.
    pub fn cached_tokens(&self, replica: &ReplicaStatus, parts: &[PromptPart]) -> u64 {
        let key = queue_key(&replica.id);
        self.leading_tokens(replica, parts, |part| self.recent_prompts.is_prefilled(self.now, key, part))
    }

    /// As `cached_tokens`, with what was sent there and will be cached by the time a prompt sent now is read.
    pub fn expected_tokens(&self, replica: &ReplicaStatus, parts: &[PromptPart]) -> u64 {
        let key = queue_key(&replica.id);
        self.leading_tokens(replica, parts, |part| self.recent_prompts.is_expected(self.now, key, part))
    }

    fn leading_tokens(
        &self,
        replica: &ReplicaStatus,
        parts: &[PromptPart],
        recently_there: impl Fn(u64) -> bool,
    ) -> u64 {
        let copy = self.filter_copies.get(&replica.id).filter(|copy| copy.is_trusted(replica.minimum_version));
        let is_there =
            |part: &&PromptPart| copy.is_some_and(|copy| copy.bits.contains(part.hash)) || recently_there(part.hash);
        parts.iter().take_while(is_there).map(|part| part.tokens).sum()
    }
}

/// A replica or store that may transfer a prefix.
pub struct SourceCandidate<'a> {
    /// The replica.
    pub replica: &'a ReplicaStatus,
    /// What one token takes inside its zone, in microseconds.
    pub transfer_us_per_token: f64,
    /// How long its link is busy yet, in microseconds.
    pub queue_us: f64,
}

/// What was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The index of the chosen candidate.
    pub candidate: usize,
    /// The index of the source that a prefix is to be taken from.
    pub source: Option<usize>,
    /// Tokens that the replica has cached itself.
    pub cached_tokens: u64,
    /// Tokens that the source transfers.
    pub transferred_tokens: u64,
    /// Tokens that the replica computes.
    pub recomputed_tokens: u64,
    /// The cost, in microseconds.
    pub cost_us: f64,
    /// The prefill at an ordinary replica, in microseconds.
    pub prefill_us: f64,
}

/// What one source has cached of a prompt.
#[derive(Clone, Copy)]
struct SourceOffer {
    /// The index of the source.
    source: usize,
    cached_tokens: u64,
}

/// What each source has cached of a prompt. Candidates of the same weights have the same parts, so the sources are
/// looked up once for all of them.
struct SourceOffers<'a> {
    parts: &'a Parts,
    offers: Vec<SourceOffer>,
}

impl<'a> SourceOffers<'a> {
    fn look_up(parts: &'a Parts, sources: &[SourceCandidate], cache: &CacheView) -> Self {
        let offer = |(source, candidate): (usize, &SourceCandidate)| SourceOffer {
            source,
            cached_tokens: cache.cached_tokens(candidate.replica, parts),
        };
        let offers = sources.iter().enumerate().map(offer).filter(|offer| offer.cached_tokens > 0).collect();
        SourceOffers { parts, offers }
    }
}

/// The index of the offers for these parts among those looked up; looks them up if they are not among them.
fn offers_for<'a>(
    all: &mut Vec<SourceOffers<'a>>,
    parts: &'a Parts,
    sources: &[SourceCandidate],
    cache: &CacheView,
) -> usize {
    all.iter().position(|offers| std::ptr::eq(offers.parts, parts)).unwrap_or_else(|| {
        all.push(SourceOffers::look_up(parts, sources, cache));
        all.len() - 1
    })
}

/// One way to get a prompt into a replica's cache.
struct PrefillPlan {
    source: Option<usize>,
    transferred_tokens: u64,
    recomputed_tokens: u64,
    /// The prefill at an ordinary replica.
    prefill_us: f64,
    /// The transfer, and the prefill at this replica under the present congestion.
    prompt_us: f64,
}

/// All that the cost of a candidate depends on besides the candidate.
struct Estimator<'a> {
    sources: &'a [SourceCandidate<'a>],
    cache: &'a CacheView<'a>,
    costs: &'a CostModel,
    congestion: f64,
    spread: u64,
}

impl Estimator<'_> {
    /// The best plan for a candidate, and what it costs.
    fn estimate(&self, index: usize, candidate: &Candidate, offers: &[SourceOffer]) -> Choice {
        let total = total_tokens(candidate.parts);
        let cached = self.cache.expected_tokens(candidate.replica, candidate.parts);
        let mut plan = self.without_transfer(candidate, total, cached);
        let mut most_cached = cached;
        for offer in offers.iter().filter(|offer| offer.cached_tokens > cached) {
            if self.sources[offer.source].replica.id == candidate.replica.id {
                continue;
            }
            most_cached = most_cached.max(offer.cached_tokens);
            let transfer = self.with_transfer(candidate, total, cached, offer);
            if self.net_us(&transfer, cached) < self.net_us(&plan, cached) {
                plan = transfer;
            }
        }
        let duplicated = most_cached.saturating_sub(cached + plan.transferred_tokens);
        let prompt_us = plan.prompt_us + duplicated as f64 * self.costs.duplicate_us_per_token;
        Choice {
            candidate: index,
            source: plan.source,
            cached_tokens: cached,
            transferred_tokens: plan.transferred_tokens,
            recomputed_tokens: plan.recomputed_tokens,
            cost_us: self.candidate_us(candidate, prompt_us),
            prefill_us: plan.prefill_us,
        }
    }

    fn without_transfer(&self, candidate: &Candidate, total: u64, cached: u64) -> PrefillPlan {
        let recomputed_tokens = total - cached;
        let prefill_us = self.costs.prefill_us(recomputed_tokens, total);
        let prompt_us = prefill_us * candidate.slowdown * self.congestion;
        PrefillPlan { source: None, transferred_tokens: 0, recomputed_tokens, prefill_us, prompt_us }
    }

    fn with_transfer(&self, candidate: &Candidate, total: u64, cached: u64, offer: &SourceOffer) -> PrefillPlan {
        let source = &self.sources[offer.source];
        let transferred_tokens = offer.cached_tokens - cached;
        let same_zone = source.replica.zone == candidate.replica.zone;
        let zone_factor = if same_zone { 1.0 } else { CROSS_ZONE_TRANSFER_FACTOR };
        let transfer_us = self.costs.transfer_setup_us
            + transferred_tokens as f64 * source.transfer_us_per_token * zone_factor
            + source.queue_us;
        let recomputed_tokens = total - offer.cached_tokens;
        let prefill_us = self.costs.prefill_us(recomputed_tokens, total);
        let prompt_us = transfer_us + prefill_us * candidate.slowdown * self.congestion;
        PrefillPlan { source: Some(offer.source), transferred_tokens, recomputed_tokens, prefill_us, prompt_us }
    }

    /// A plan's time less what its reuse of cached tokens is worth.
    fn net_us(&self, plan: &PrefillPlan, cached: u64) -> f64 {
        plan.prompt_us - (cached + plan.transferred_tokens) as f64 * self.costs.duplicate_us_per_token
    }

    /// The whole cost of a candidate whose prompt takes `prompt_us`.
    fn candidate_us(&self, candidate: &Candidate, prompt_us: f64) -> f64 {
        let zone_us = if candidate.same_zone { 0.0 } else { self.costs.cross_zone_us };
        let requests_us = candidate.in_flight * self.costs.request_us;
        let pressure = (candidate.memory_use - FREE_MEMORY_SHARE).max(0.0);
        let cost_us = prompt_us + zone_us + self.tie_break_us(candidate) + candidate.queue_us + requests_us;
        cost_us + pressure * self.costs.memory_pressure_us
    }

    /// A small part that differs by prompt and replica: all routers break ties alike.
    fn tie_break_us(&self, candidate: &Candidate) -> f64 {
        let weight = hash::bytes(self.spread, candidate.replica.id.as_bytes());
        (mix(weight) % TIE_BREAK_RANGE_US) as f64
    }
}

/// Chooses the candidate of least cost; none where there are no candidates. `spread` breaks ties: the same way for
/// equal prompts at every router.
pub fn choose_candidate(
    candidates: &[Candidate],
    sources: &[SourceCandidate],
    cache: &CacheView,
    costs: &CostModel,
    spread: u64,
) -> Option<Choice> {
    let estimator = Estimator { sources, cache, costs, congestion: costs.congestion_factor(candidates), spread };
    let mut best: Option<Choice> = None;
    let mut all_offers: Vec<SourceOffers> = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let offers = offers_for(&mut all_offers, candidate.parts, sources, cache);
        let choice = estimator.estimate(index, candidate, &all_offers[offers].offers);
        if best.as_ref().is_none_or(|best| choice.cost_us < best.cost_us) {
            best = Some(choice);
        }
    }
    best
}
