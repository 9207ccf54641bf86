//! Decisions that follow from hashes and seeds: every router, of whichever release, must make the same.
use super::compare;
use control_state::fleet_config::{ModelConfig, TransferCosts};
use fleet_common::hash::SeededRng;
use fleet_common::rpc::Filter;
use prefix_table::counting_filter::CountingFilter;
use routing::link_costs::{LearntCosts, Link, LinkCosts, TransferSample};
use routing::link_queues::queue_key;
use routing::placement_cost::{
    CacheView, Candidate, CostModel, PromptPart, RecentPrompts, SourceCandidate, choose_candidate,
};
use routing::session_placement::{ReplicaStatus, SessionRequest, choose_replica};
use routing::transfer_source::{self, FilterCopies, accept_filter};
use std::time::Duration;

fn seat(id: &str, district: &str, load: u64) -> ReplicaStatus {
    ReplicaStatus {
        id: id.into(),
        address: format!("{id}:1"),
        zone: district.into(),
        service: String::new(),
        model: "m".into(),
        weights: "w1".into(),
        draining: false,
        unavailable: false,
        load,
        minimum_version: Default::default(),
    }
}

fn seats() -> Vec<ReplicaStatus> {
    let mut seats: Vec<ReplicaStatus> =
        (0..6).map(|n| seat(&format!("r{n}"), if n < 4 { "a" } else { "b" }, n % 3)).collect();
    seats[5].load = 40;
    seats
}

fn mirrors() -> FilterCopies {
    let mut mirrors = FilterCopies::new();
    for (number, id) in ["r1", "r3", "r4"].iter().enumerate() {
        let mut counting = CountingFilter::new(1024, 4);
        (0..=3 * number as u64 + 2).for_each(|part| counting.add(part));
        let (words, m, k) = counting.filter().into_parts();
        let (index, weights, bits) = ("i1".into(), "w1".into(), words.into());
        let filter = Filter {
            replica: (*id).into(),
            index,
            fencing_token: 1,
            version: 2,
            weights,
            bit_count: m,
            hash_count: k,
            items: 9,
            bits,
        };
        assert!(accept_filter(&mut mirrors, 1, filter));
    }
    mirrors
}

#[test]
fn seeded_numbers() {
    let mut text = String::new();
    for seed in [0, 1, 7, 20_260_101, u64::MAX] {
        let mut rng = SeededRng::new(seed);
        let numbers: Vec<String> = (0..12).map(|_| rng.next(1 << 40).to_string()).collect();
        text += &format!("seed {seed}: {}\n", numbers.join(" "));
        text += &format!("  below 10 then: {} {} {}\n", rng.next(10), rng.next(0), rng.next(10));
    }
    compare("seeded_numbers.txt", &text);
}

#[test]
fn keys_of_replicas_and_links() {
    let keys = ["r1", "r2", "", "link of r1"].map(|id| format!("{id:?} {}\n", queue_key(id)));
    compare("keys.txt", &keys.concat());
}

#[test]
fn places_of_sessions() {
    let mut text = String::new();
    for session in 0..24 {
        let session = format!("s{session}");
        let tried = ["r0".to_string(), "r1".to_string()];
        for (kept, tried) in
            [(None, &tried[..0]), (Some("r3"), &tried[..0]), (Some("gone"), &tried[..0]), (None, &tried)]
        {
            let wish = SessionRequest {
                session: &session,
                model: "m",
                weights: "w1",
                superseded_may_serve: &|_| false,
                affinity: kept,
                attempted: tried,
                max_per_replica: 8,
            };
            let seats = seats();
            let placed =
                choose_replica(&seats, &wish).map(|(seat, reason)| format!("{} {}", seat.id, reason.header_value()));
            text += &format!("{session} kept {kept:?} tried {}: {placed:?}\n", tried.len());
        }
    }
    compare("places.txt", &text);
}

#[test]
fn ranks_of_candidates() {
    let (seats, mirrors, prices) = (seats(), mirrors(), CostModel::default());
    let parts: Vec<PromptPart> = (0..12).map(|hash| PromptPart { hash, tokens: 400 + hash * 10 }).collect();
    let now = Duration::from_secs(9);
    let mut recent = RecentPrompts::default();
    recent.record_prefilled(now, queue_key("r2"), &[0, 1]);
    recent.record_sent(now, queue_key("r0"), &[0]);
    let held = CacheView { filter_copies: &mirrors, recent_prompts: &recent, now };
    let mut text = format!("reading 1000 of 20000: {}\n", prices.prefill_us(1000, 20_000));
    for spread in 0..20u64 {
        let candidate = |(at, seat)| Candidate {
            replica: seat,
            parts: &parts,
            in_flight: at as f64,
            queue_us: (spread * 9000 * (at as u64 % 3)) as f64,
            slowdown: 1.0 + at as f64 / 10.0,
            memory_use: 0.3 + spread as f64 / 20.0,
            same_zone: seat.zone == "a",
        };
        let candidates: Vec<Candidate> = seats.iter().take(5).enumerate().map(candidate).collect();
        let source =
            |seat| SourceCandidate { replica: seat, transfer_us_per_token: 1.5, queue_us: 2000.0 * spread as f64 };
        let sources: Vec<SourceCandidate> = seats.iter().map(source).collect();
        let choice = choose_candidate(&candidates, &sources, &held, &prices, spread).unwrap();
        text += &format!(
            "{spread}: {} source {:?} tokens {} {} {} cost {} work {}\n",
            choice.candidate,
            choice.source,
            choice.cached_tokens,
            choice.transferred_tokens,
            choice.recomputed_tokens,
            choice.cost_us,
            choice.prefill_us
        );
    }
    compare("ranks.txt", &text);
}

#[test]
fn sources_of_prefixes() {
    let (seats, mirrors) = (seats(), mirrors());
    let links = TransferCosts { near_us_per_block: 100, far_us_per_block: 300, setup_us: 2000 };
    let model = ModelConfig { weights: "w1".into(), prefill_us_per_block: 4000 };
    let mut learnt = LearntCosts::default();
    let link = Link { from: "a".into(), to: "a".into() };
    let mut text = String::new();
    for round in 0..6u64 {
        let now = Duration::from_secs(round * 20);
        learnt.record_without_transfer(round, 4000, 5000 + round * 4000);
        let seconds = TransferSample {
            link: link.clone(),
            transferred_blocks: 3,
            recomputed_blocks: 1,
            prefill_us_per_block: 4000,
            first_token_us: 30_000,
        };
        learnt.record_transfer(now, &links, &seconds);
        let later = now + Duration::from_secs(31);
        let costs = LinkCosts { configured: &links, learnt: Some(&learnt), now };
        text +=
            &format!("{} then {} us a block\n", costs.us_per_block(&link), learnt.us_per_block(later, &links, &link));
        for place in &seats {
            let blocks: Vec<u64> = (0..12).collect();
            let found = transfer_source::choose_source(&seats, &mirrors, place, &blocks, &costs, &model);
            let found = found.map(|source| {
                let Link { from, to } = &source.link;
                let (own, saved) = (source.cached_blocks, source.saved_us);
                format!(
                    "{} at {} {} of own {own} saves {saved} from {from} to {to}",
                    source.replica, source.address, source.blocks
                )
            });
            text += &format!("  {}: {found:?}\n", place.id);
        }
    }
    compare("sources.txt", &text);
}
