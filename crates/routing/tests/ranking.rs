//! Ranking against a plain model that writes out every replica with every source.
use fleet_common::hash::{self, SeededRng, mix};
use prefix_table::filter::{BloomFilter, FilterCopy, FilterVersion, positions};
use routing::link_queues::queue_key;
use routing::placement_cost::{
    CacheView, Candidate, Choice, CostModel, Parts, PromptPart, RecentPrompts, SourceCandidate, choose_candidate,
    total_tokens,
};
use routing::session_placement::ReplicaStatus;
use routing::transfer_source::FilterCopies;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

struct World {
    seats: Vec<ReplicaStatus>,
    parts: Parts,
    mirrors: FilterCopies,
    recent: RecentPrompts,
    /// By replica: parts that its trusted mirror shows, that it has read, and that it is about to read.
    shown: HashMap<String, HashSet<u64>>,
    read: HashMap<String, HashSet<u64>>,
    soon: HashMap<String, HashSet<u64>>,
    prices: CostModel,
}

fn world(rng: &mut SeededRng) -> World {
    let parts: Parts =
        (0..rng.next(6)).map(|n| PromptPart { hash: mix(rng.next(1 << 40) + n), tokens: 1 + rng.next(4000) }).collect();
    let (mut mirrors, mut recent) = (FilterCopies::new(), RecentPrompts::default());
    let (mut shown, mut read, mut soon) = (HashMap::new(), HashMap::new(), HashMap::new());
    let seats: Vec<ReplicaStatus> = (0..1 + rng.next(5))
        .map(|n| {
            let id = format!("r{n}");
            let floor = (rng.next(3), rng.next(3));
            let some = |rng: &mut SeededRng| {
                parts.iter().map(|part| part.hash).filter(|_| rng.next(3) > 0).collect::<Vec<_>>()
            };
            if rng.next(4) > 0 {
                let (m, k) = (1 << 14, 4);
                let mut bits = BloomFilter::new(m, k);
                let held = some(rng);
                held.iter().flat_map(|part| positions(*part, m, k)).for_each(|at| bits.set(at));
                let (fence, version, stale) = (rng.next(3), rng.next(3), rng.next(8) == 0);
                if !stale && (fence > floor.0 || fence == floor.0 && version >= floor.1) {
                    // A filter may show more than there is: the model asks it too.
                    shown.insert(
                        id.clone(),
                        parts.iter().map(|part| part.hash).filter(|part| bits.contains(*part)).collect(),
                    );
                }
                let (replica, weights, index) = (id.clone(), "w".into(), "i".into());
                let mirror =
                    FilterCopy { replica, weights, index, fencing_token: fence, version, bits, false_hits: 0, stale };
                mirrors.insert(id.clone(), std::sync::Arc::new(mirror));
            }
            if rng.next(3) == 0 {
                let sent = some(rng);
                let done = rng.next(2) == 0;
                let at = Duration::from_secs(98);
                match done {
                    true => recent.record_prefilled(at, queue_key(&id), &sent),
                    false => recent.record_sent(at, queue_key(&id), &sent),
                }
                if done {
                    read.insert(id.clone(), sent.iter().copied().collect());
                }
                soon.insert(id.clone(), sent.into_iter().collect());
            }
            ReplicaStatus {
                id,
                address: "".into(),
                zone: format!("z{}", rng.next(2)),
                service: String::new(),
                model: "m".into(),
                weights: "w".into(),
                draining: false,
                unavailable: false,
                load: 0,
                minimum_version: FilterVersion { fencing_token: floor.0, version: floor.1 },
            }
        })
        .collect();
    let default = CostModel::default();
    let prices = match rng.next(3) {
        0 => CostModel { duplicate_us_per_token: 0.0, transfer_setup_us: 0.0, ..default },
        1 => CostModel { duplicate_us_per_token: rng.next(50) as f64, request_us: rng.next(5000) as f64, ..default },
        _ => default,
    };
    World { seats, parts, mirrors, recent, shown, read, soon, prices }
}

impl World {
    /// Tokens of the leading parts that a replica has.
    fn has(&self, id: &str, about_to: bool) -> u64 {
        let in_any = |part: &u64| {
            let one = |sets: &HashMap<String, HashSet<u64>>| sets.get(id).is_some_and(|set| set.contains(part));
            one(&self.shown) || one(if about_to { &self.soon } else { &self.read })
        };
        let mut tokens = 0;
        for PromptPart { hash: part, tokens: count } in &self.parts {
            if !in_any(part) {
                break;
            }
            tokens += count;
        }
        tokens
    }
}

/// A replica with a source or none, and what that costs beside its way and its load.
struct Way {
    source: Option<usize>,
    handed: u64,
    anew: u64,
    us: f64,
}

/// Every way in which a candidate could get the prompt.
fn ways(world: &World, candidate: &Candidate, sources: &[SourceCandidate], crowd: f64) -> Vec<Way> {
    let total: u64 = total_tokens(&world.parts);
    let own = world.has(&candidate.replica.id, true);
    let others = || sources.iter().enumerate().filter(|(_, s)| s.replica.id != candidate.replica.id);
    let most = others().map(|(_, s)| world.has(&s.replica.id, false)).max().unwrap_or(0).max(own);
    let cost = |has: u64, move_us: f64| {
        move_us
            + world.prices.prefill_us(total - has, total) * candidate.slowdown * crowd
            + (most - has) as f64 * world.prices.duplicate_us_per_token
    };
    let mut all = vec![Way { source: None, handed: 0, anew: total - own, us: cost(own, 0.0) }];
    for (at, source) in others() {
        let has = world.has(&source.replica.id, false);
        if has > own {
            let times = if source.replica.zone == candidate.replica.zone { 1.0 } else { 2.0 };
            let move_us = world.prices.transfer_setup_us
                + (has - own) as f64 * source.transfer_us_per_token * times
                + source.queue_us;
            all.push(Way { source: Some(at), handed: has - own, anew: total - has, us: cost(has, move_us) });
        }
    }
    all
}

fn close(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * one.abs().max(other.abs()).max(1.0)
}

#[test]
fn the_choice_is_the_cheapest_of_all_there_are() {
    let (mut handed, mut own) = (0, 0);
    for seed in 0..20_000 {
        let mut rng = SeededRng::new(seed);
        let world = world(&mut rng);
        let spread = rng.next(u64::MAX);
        let candidates: Vec<Candidate> = world
            .seats
            .iter()
            .filter(|_| rng.next(4) > 0)
            .collect::<Vec<_>>()
            .into_iter()
            .map(|seat| Candidate {
                replica: seat,
                parts: &world.parts,
                in_flight: rng.next(20) as f64,
                queue_us: (rng.next(40_000) * [1, 75][rng.next(2) as usize]) as f64,
                slowdown: 0.5 + rng.next(5) as f64 / 2.0,
                memory_use: rng.next(20) as f64 / 10.0,
                same_zone: rng.next(2) == 0,
            })
            .collect();
        let sources: Vec<SourceCandidate> = world
            .seats
            .iter()
            .filter(|_| rng.next(4) > 0)
            .collect::<Vec<_>>()
            .into_iter()
            .map(|seat| SourceCandidate {
                replica: seat,
                transfer_us_per_token: rng.next(12) as f64,
                queue_us: rng.next(3) as f64 * 10_000.0,
            })
            .collect();
        let held = CacheView { filter_copies: &world.mirrors, recent_prompts: &world.recent, now: NOW };
        let choice = choose_candidate(&candidates, &sources, &held, &world.prices, spread);
        let mean_us = candidates.iter().map(|c| c.queue_us).sum::<f64>() / candidates.len().max(1) as f64;
        let crowd = 1.0 + (mean_us / world.prices.congestion_us).min(8.0);
        let mut all: Vec<(usize, Way, f64)> = Vec::new();
        for (at, candidate) in candidates.iter().enumerate() {
            let parted = (mix(hash::bytes(spread, candidate.replica.id.as_bytes())) % 4000) as f64;
            let way = if candidate.same_zone { 0.0 } else { world.prices.cross_zone_us };
            let fixed = parted + way + candidate.queue_us + candidate.in_flight * world.prices.request_us;
            let full = (candidate.memory_use - 0.5).max(0.0) * world.prices.memory_pressure_us;
            all.extend(
                ways(&world, candidate, &sources, crowd)
                    .into_iter()
                    .map(|way| (at, fixed + full + way.us, way))
                    .map(|(at, us, way)| (at, way, us)),
            );
        }
        let Some(Choice {
            candidate: at,
            source,
            cached_tokens: kept,
            transferred_tokens: moved,
            recomputed_tokens: anew,
            cost_us,
            prefill_us: work_us,
        }) = choice
        else {
            assert!(all.is_empty(), "seed {seed}: nothing chosen of {}", all.len());
            continue;
        };
        let least = all.iter().map(|(.., us)| *us).fold(f64::INFINITY, f64::min);
        assert!(close(cost_us, least), "seed {seed}: {cost_us} where {least} is to be had");
        let as_told = all.iter().find(|(a, way, _)| *a == at && way.source == source).expect("it is one of all");
        assert!(close(as_told.2, least), "seed {seed}: what was chosen costs {}, not {least}", as_told.2);
        let total: u64 = total_tokens(&world.parts);
        assert_eq!((moved, anew), (as_told.1.handed, as_told.1.anew), "seed {seed}");
        assert_eq!((kept + moved + anew, kept), (total, world.has(&candidates[at].replica.id, true)), "seed {seed}");
        assert!(close(work_us, world.prices.prefill_us(anew, total)), "seed {seed}");
        handed += u64::from(source.is_some());
        own += u64::from(kept > 0);
    }
    assert!(handed > 500 && own > 500, "both kinds are met: {handed} {own}");
}
