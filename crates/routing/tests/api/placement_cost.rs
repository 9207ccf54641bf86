//! Behaviour of the public items of `placement_cost`.

#[test]
fn later_tokens_take_longer_to_prefill() {
    let prices = routing::placement_cost::CostModel::default();
    assert!(prices.prefill_us(1000, 20_000) > prices.prefill_us(1000, 1000));
}

#[test]
fn nothing_is_cached_without_filters() {
    use routing::{
        placement_cost::{CacheView, PromptPart, RecentPrompts},
        session_placement::ReplicaStatus,
    };
    let seat = ReplicaStatus {
        id: "r1".into(),
        address: "".into(),
        zone: "a".into(),
        service: String::new(),
        model: "m".into(),
        weights: "w".into(),
        draining: false,
        unavailable: false,
        load: 0,
        minimum_version: Default::default(),
    };
    let held = CacheView {
        filter_copies: &Default::default(),
        recent_prompts: &RecentPrompts::default(),
        now: Default::default(),
    };
    assert_eq!(held.expected_tokens(&seat, &[PromptPart { hash: 7, tokens: 100 }]), 0);
}

#[test]
fn a_cached_prefix_attracts_until_the_queue_is_too_long() {
    use routing::{
        placement_cost::{CacheView, Candidate, CostModel, PromptPart, RecentPrompts, choose_candidate},
        session_placement::ReplicaStatus,
    };
    let seat = |id: &str| ReplicaStatus {
        id: id.into(),
        address: "".into(),
        zone: "a".into(),
        service: String::new(),
        model: "m".into(),
        weights: "w".into(),
        draining: false,
        unavailable: false,
        load: 0,
        minimum_version: Default::default(),
    };
    let (one, two) = (seat("r1"), seat("r2"));
    let parts = vec![PromptPart { hash: 7, tokens: 5000 }];
    let mut recent = RecentPrompts::default();
    recent.record_prefilled(Default::default(), routing::link_queues::queue_key("r2"), &[7]);
    let held = CacheView { filter_copies: &Default::default(), recent_prompts: &recent, now: Default::default() };
    let with = |seat, busy| Candidate {
        replica: seat,
        parts: &parts,
        in_flight: busy,
        queue_us: 0.0,
        slowdown: 1.0,
        memory_use: 0.0,
        same_zone: true,
    };
    let choice = choose_candidate(&[with(&one, 0.0), with(&two, 0.0)], &[], &held, &CostModel::default(), 0).unwrap();
    assert_eq!((choice.candidate, choice.cached_tokens, choice.recomputed_tokens), (1, 5000, 0), "r2 holds it");
    let choice = choose_candidate(&[with(&one, 0.0), with(&two, 400.0)], &[], &held, &CostModel::default(), 0).unwrap();
    assert_eq!((choice.candidate, choice.recomputed_tokens), (0, 5000), "too much waits at r2");
}
