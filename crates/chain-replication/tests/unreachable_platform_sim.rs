//! Control replicas that the platform does not answer: the list is followed for as long as it answers any of them.
mod sim;

use chain_replication::listing_pollers::{Poller, PollerChoice};
use control_state::command::ReplicaInfo;
use rstest::rstest;
use sim::{Disks, World, ms};
use std::time::Duration;

/// The list must be in use so soon after it changed, as polls without an answer take a while.
const BOUND: Duration = Duration::from_secs(5);

fn rows(model: &str) -> Vec<ReplicaInfo> {
    let (id, at) = ("r1".to_string(), "10.0.0.1:80".to_string());
    vec![ReplicaInfo { id, at, model: model.into(), zone: "a".into(), ..ReplicaInfo::default() }]
}

fn is_listed(world: &World, model: &str) -> bool {
    let mut cores = world.nodes.values().filter_map(|node| node.core.as_ref());
    cores.any(|core| core.state().seq <= core.committed() && core.state().replicas == rows(model))
}

fn head(world: &World) -> u32 {
    let cores = world.nodes.values().filter_map(|node| node.core.as_ref());
    cores.max_by_key(|core| core.view().number).unwrap().view().chain.items()[0].id
}

/// Runs the world until a list is in use, and says how long that took.
fn time_until_listed(world: &mut World, model: &str, answer_ms: u64) -> Option<Duration> {
    world.platform = Some((rows(model), answer_ms));
    let begun = world.now;
    while world.now < begun + BOUND {
        world.run(ms(20));
        if is_listed(world, model) {
            return Some(world.now - begun);
        }
    }
    None
}

/// Guards against review/4: the head alone polled, so that its way to the platform was the fleet's.
#[rstest]
#[case::from_the_beginning(false)]
#[case::of_a_fleet_that_has_a_list(true)]
fn a_head_without_a_way_to_the_platform_gets_the_list_through_the_others(#[case] has_list: bool) {
    for seed in 0..20 {
        let mut world = World::new(seed, Disks::Honest);
        if has_list {
            world.run(ms(1500));
            assert!(time_until_listed(&mut world, "1", 60).is_some(), "seed {seed}");
        }
        let cut = if has_list { head(&world) } else { 1 };
        world.without_platform.insert(cut);
        assert!(time_until_listed(&mut world, "2", 60).is_some(), "seed {seed}: not without {cut}");
        // Only one member is answered, whichever it is, and another list comes.
        let only = 1 + (seed % 4) as u32;
        world.without_platform = (1..=4).filter(|id| *id != only).collect();
        assert!(time_until_listed(&mut world, "3", 60).is_some(), "seed {seed}: not by {only} alone");
    }
}

#[test]
fn a_list_follows_again_once_the_platform_answers_anybody() {
    let mut world = World::new(7, Disks::Honest);
    world.without_platform = (1..=4).collect();
    assert_eq!(time_until_listed(&mut world, "1", 60), None);
    world.without_platform.remove(&3);
    assert!(time_until_listed(&mut world, "1", 60).is_some());
}

#[test]
fn whoever_brought_the_list_polls_on_until_a_poll_brings_none() {
    let mut pollers = PollerChoice::default();
    assert_eq!(pollers.choose(1, &[2, 3]), Poller::Own);
    pollers.record_success(1, Poller::Own);
    assert_eq!(pollers.choose(2, &[2, 3]), Poller::Own);
    assert_eq!(pollers.choose(3, &[2, 3]), Poller::Peer(2));
    pollers.record_success(3, Poller::Peer(2));
    assert_eq!(pollers.choose(4, &[2, 3]), Poller::Peer(2));
    pollers.record_success(4, Poller::Peer(2));
    // A peer that is not reachable any more is not asked.
    assert_eq!(pollers.choose(5, &[3]), Poller::Peer(3));
    assert_eq!(pollers.choose(6, &[3]), Poller::Own);
    assert_eq!(pollers.choose(7, &[]), Poller::Own);
}
