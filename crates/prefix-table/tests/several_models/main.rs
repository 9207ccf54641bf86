//! Roll-outs at replicas with one to four models, as index nodes bring them about: releases of several models at once and one
//! after another, while replicas crash, come back with older weights of one model, and join late.
#[path = "../nodes/mod.rs"]
mod nodes;
mod plan;
mod replica;
mod world;

use plan::Plan;
use rstest::rstest;
use std::time::Duration;
use world::{ListedModels, Violation, World};

/// From the last release and fault on, all replicas run the released weights after so long: one and a half times the bound on
/// older weights.
const ROLLOUT_BOUND: Duration = Duration::from_millis(22_500);
/// Seeds of each test where `ROLLOUT_SEEDS` does not say otherwise.
const SEEDS: u64 = 10;

fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("ROLLOUT_SEEDS").ok().and_then(|text| text.parse().ok());
    0..asked.unwrap_or(SEEDS)
}

fn run(plan: &Plan, listed: ListedModels) -> World {
    let mut world = World::new(plan, listed);
    for event in plan.events() {
        world.run_until(event.at);
        world.apply(event);
    }
    world.run_until(plan.last_event_at() + ROLLOUT_BOUND);
    world.check_replicas();
    world
}

#[rstest]
#[case::of_one(1)]
#[case::of_two(2)]
#[case::of_three(3)]
#[case::of_four(4)]
fn released_weights_of_each_model_are_in_use_in_time(#[case] models: usize) {
    for seed in seeds() {
        let world = run(&Plan::with_faults(seed, models), ListedModels::All);
        assert_eq!(world.violations, [], "seed {seed}, {models} models");
    }
}

/// Without faults each replica gets one order for each release, whichever models are released together.
#[rstest]
#[case::of_one(1)]
#[case::of_two(2)]
#[case::of_four(4)]
fn each_replica_is_ordered_once_for_each_release(#[case] models: usize) {
    for seed in seeds() {
        let plan = Plan::of_one_release_each(seed, models);
        let world = run(&plan, ListedModels::All);
        assert_eq!(world.violations, [], "seed {seed}, {models} models");
        assert_eq!(world.orders(), world.loads(), "seed {seed}: orders to replicas that were busy or had the weights");
        assert_eq!(world.loads(), world.pairs(), "seed {seed}: a load for each pair of replica and model");
    }
}

/// While models are rolled out together, the share of replicas that serve each of them is as with one model.
#[test]
fn models_that_are_rolled_out_together_keep_their_share_serving() {
    for seed in seeds() {
        let world = run(&Plan::of_one_release_each(seed, 4), ListedModels::All);
        let most = world.most_loading_of_a_model();
        assert!(most <= world.may_load_at_once(), "seed {seed}: {most} replicas loaded one model at once");
    }
}

/// The checks have teeth: where a list is cut to its first model, as it was before review/2, they say so.
#[test]
fn a_list_that_is_cut_to_its_first_model_is_seen() {
    let world = run(&Plan::of_one_release_each(1, 2), ListedModels::FirstOnly);
    assert!(world.violations.iter().any(|violation| matches!(violation, Violation::Late { .. })), "{world:?}");
}
