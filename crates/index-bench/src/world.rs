//! Replicas, index and routers in simulated time.
use crate::load::{Load, Request, Workload};
use crate::replica::{Replica, exact_filter_copies, filter_copy, new_replica};
use control_state::fleet_config::{ModelConfig, TransferCosts};
use fleet_common::hash::SeededRng;
use fleet_common::rpc::audit;
use prefix_table::event::EventBatch;
use routing::link_costs::LinkCosts;
use routing::session_placement::{ReplicaStatus, SessionRequest, choose_replica};
use routing::transfer_source::{FilterCopies, choose_source};
use std::sync::Arc;
use std::time::Duration;

/// How prefixes are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The least loaded replica, no hand-over.
    Spread,
    /// The session's place, no hand-over.
    Affinity,
    /// The session's place, with hand-over.
    Transfer,
    /// As `TransferReport`, but knowing all caches as they are: the most that any filters could bring.
    PerfectKnowledge,
}

/// What is varied.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// What replicas do about blocks that they lack.
    pub strategy: Strategy,
    /// False hits after which a filter is asked for again.
    pub alpha: u64,
    /// Cache events after which a filter is pushed.
    pub beta: u64,
    /// The largest number of bits of a filter.
    pub bits: u32,
    /// Hash functions of a filter; 0 chooses by its load.
    pub hashes: u8,
    /// Blocks that a replica's cache holds.
    pub cache: usize,
    /// Events lost, in thousandths.
    pub lost: u64,
    /// How many requests are run.
    pub requests: usize,
}

/// The defaults of a blueprint, with a cache that is too small for everything.
pub const DEFAULT_PARAMETERS: Parameters = Parameters {
    strategy: Strategy::Transfer,
    alpha: 5,
    beta: 25,
    bits: 16_384,
    hashes: 0,
    cache: 1500,
    lost: 0,
    requests: 12_000,
};

const REPLICAS: usize = 18;
const EDGES: usize = 9;
const PREFILL_US: u64 = 4000;
const SETUP_US: u64 = 2000;
const DECODE_US: u64 = 60_000;

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Blocks of all prompts.
    pub wanted: u64,
    /// Blocks found in the replica's own cache.
    pub cached: u64,
    /// Blocks copied from a peer.
    pub transferred: u64,
    /// Blocks that were prefilled.
    pub recomputed: u64,
    /// Requests that lacked blocks.
    pub misses: u64,
    /// Transfers that were tried.
    pub attempts: u64,
    /// Transfers that brought a block.
    pub useful: u64,
    /// False hits by a collision in a filter.
    pub collisions: u64,
    /// False hits by a filter that was out of date.
    pub stale: u64,
    /// False hits by a cache event that was lost.
    pub lost_event: u64,
    /// Filters pushed.
    pub pushes: u64,
    /// Filters asked for.
    pub pulls: u64,
    /// Bytes of all filters sent.
    pub filter_bytes: u64,
    /// Time to the first token of each request, in microseconds.
    pub first_us: Vec<u64>,
}

/// Runs a load and gives its figures.
pub fn run(shape: Workload, knobs: Parameters, seed: u64) -> Figures {
    let mut load = Load::new(shape, seed);
    let mut rng = SeededRng::new(seed ^ 0x6d65);
    let links = TransferCosts { near_us_per_block: shape.near_us, far_us_per_block: shape.far_us, setup_us: SETUP_US };
    let model = ModelConfig { weights: "w".into(), prefill_us_per_block: PREFILL_US };
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(|at| new_replica(at, knobs)).collect();
    let mut edges: Vec<FilterCopies> = vec![FilterCopies::new(); EDGES];
    let mut figures = Figures::default();
    let gap = Duration::from_micros(1_000_000 / shape.per_second);
    let mut now = Duration::ZERO;
    for _ in 0..knobs.requests {
        now += gap;
        for replica in &mut replicas {
            replica.busy.retain(|until| *until > now);
            replica.status.load = replica.busy.len() as u64;
            deliver_events(replica, now, knobs, &mut edges, &mut figures);
        }
        let request = load.next();
        let edge = rng.next(EDGES as u64) as usize;
        serve(now, &request, &mut replicas, &mut edges[edge], (knobs, &links, &model, seed), &mut figures);
    }
    figures
}

/// The index hears what is due of a replica's events, and pushes its filter after beta of them.
fn deliver_events(
    replica: &mut Replica,
    now: Duration,
    knobs: Parameters,
    edges: &mut [FilterCopies],
    figures: &mut Figures,
) {
    let mut events = Vec::new();
    while replica.events.front().is_some_and(|(due, _)| *due <= now) {
        events.extend(replica.events.pop_front().map(|(_, numbered)| numbered));
    }
    if !events.is_empty() {
        let next = events.last().map_or(0, |e| e.sequence + 1);
        let batch = EventBatch { incarnation: "1".into(), weights: "w".into(), load: 0, next_sequence: next, events };
        replica.table.apply(now, &batch);
    }
    replica.table.expire(now);
    if replica.table.changes_since_push() >= knobs.beta {
        figures.pushes += 1;
        let mirror = filter_copy(&replica.status.id, &mut replica.table);
        figures.filter_bytes += mirror.bits.bytes() as u64 * edges.len() as u64;
        for mirrors in edges {
            mirrors.insert(replica.status.id.clone(), Arc::new(mirror.clone()));
        }
    }
}

type Rest<'a> = (Parameters, &'a TransferCosts, &'a ModelConfig, u64);

fn serve(
    now: Duration,
    request: &Request,
    replicas: &mut [Replica],
    mirrors: &mut FilterCopies,
    rest: Rest,
    figures: &mut Figures,
) {
    let (knobs, links, model, seed) = rest;
    let seats: Vec<ReplicaStatus> = replicas.iter().map(|r| r.status.clone()).collect();
    let wish = SessionRequest {
        session: &request.session,
        model: "m",
        weights: "w",
        superseded_may_serve: &|_| false,
        affinity: None,
        attempted: &[],
        max_per_replica: 8,
    };
    let chosen = match knobs.strategy {
        Strategy::Spread => {
            seats.iter().min_by_key(|s| (s.load, fleet_common::hash::rendezvous_weight(&request.session, &s.id)))
        }
        _ => choose_replica(&seats, &wish).map(|(seat, _)| seat),
    };
    let Some(seat) = chosen else { return };
    let at = seats.iter().position(|s| s.id == seat.id).unwrap_or(0);
    let own = replicas[at].leading_blocks(&request.blocks);
    let total = request.blocks.len();
    figures.wanted += total as u64;
    figures.cached += own as u64;
    let (mut handed, mut cost_us) = (0, 0);
    if own < total {
        figures.misses += 1;
        let source = match knobs.strategy {
            Strategy::Transfer => {
                choose_source(&seats, mirrors, seat, &request.blocks, &LinkCosts::configured_only(links), model)
            }
            Strategy::PerfectKnowledge => choose_source(
                &seats,
                &exact_filter_copies(replicas, &request.blocks),
                seat,
                &request.blocks,
                &LinkCosts::configured_only(links),
                model,
            ),
            _ => None,
        };
        if let Some(source) = source {
            figures.attempts += 1;
            let from = seats.iter().position(|s| s.id == source.replica).unwrap_or(0);
            let near = seats[from].zone == seat.zone;
            let held = replicas[from].leading_blocks(&request.blocks);
            handed = held.saturating_sub(own);
            if handed > 0 {
                figures.useful += 1;
                let each = if near { links.near_us_per_block } else { links.far_us_per_block };
                cost_us = SETUP_US + each * handed as u64;
            } else {
                cost_us = 1000;
            }
            let named = request.blocks[source.blocks - 1];
            let verdict = replicas[from].table.audit(named);
            match verdict {
                audit::CACHED if held < source.blocks => figures.lost_event += 1,
                audit::COLLISION => figures.collisions += 1,
                audit::STALE => figures.stale += 1,
                _ => {}
            }
            if [audit::COLLISION, audit::STALE].contains(&verdict) {
                let stale =
                    mirrors.get_mut(&source.replica).is_some_and(|m| Arc::make_mut(m).count_false_hit(knobs.alpha));
                if stale {
                    figures.pulls += 1;
                    let fresh = filter_copy(&source.replica, &mut replicas[from].table);
                    figures.filter_bytes += fresh.bits.bytes() as u64;
                    mirrors.insert(source.replica.clone(), Arc::new(fresh));
                }
            }
        }
    }
    let anew = (total - own - handed) as u64;
    figures.transferred += handed as u64;
    figures.recomputed += anew;
    let first_us = cost_us + anew * PREFILL_US;
    figures.first_us.push(first_us);
    let replica = &mut replicas[at];
    replica.busy.push(now + Duration::from_micros(first_us + DECODE_US));
    replica.use_blocks(now, &request.blocks, knobs.cache, |seq| {
        knobs.lost > 0 && fleet_common::hash::mix(seed ^ seq ^ (at as u64) << 40) % 1000 < knobs.lost
    });
}

impl Figures {
    /// A point of the distribution of the time to the first piece, in milliseconds.
    pub fn first_token_ms(&self, share: f64) -> f64 {
        let mut all = self.first_us.clone();
        all.sort_unstable();
        let at = ((all.len().max(1) - 1) as f64 * share) as usize;
        all.get(at).map_or(0.0, |us| *us as f64 / 1000.0)
    }
}
