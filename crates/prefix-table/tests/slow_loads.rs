//! Roll-outs whose loads take long: how long they take is learnt, not assumed. A replica that says it is busy with its
//! order is not given it again, does not count as one that failed, and its place goes to nobody else while its load takes
//! no longer than loads do.
mod nodes;

use nodes::world::World;
use rstest::rstest;
use std::time::Duration;

const KEEP_SERVING: u64 = 70;
/// A third of 18 that may be out of service.
const AT_ONCE: usize = 5;
const ROUNDS: u32 = 4;
/// Older weights may serve until all have loaded, however slowly.
const LONG_BOUND: Duration = Duration::from_secs(100);

fn halted(world: &World) -> bool {
    world.index_nodes.iter().any(|index_node| !index_node.halted().is_empty())
}

#[rstest]
#[case(3)]
#[case(6)]
#[case(8)]
#[case(12)]
fn slow_loads_keep_their_places_and_are_ordered_once(#[case] load_s: u64) {
    let mut world = World::new(KEEP_SERVING);
    world.bound_older_weights(LONG_BOUND);
    world.load = Duration::from_secs(load_s);
    world.name("w2");
    let took = world.until_all_run("w2");
    println!("loads of {load_s} s: {took:?}, {} at once, {} orders", world.most, world.orders());
    assert_eq!((world.most, world.orders()), (AT_ONCE, 18), "at once, and orders");
    assert!(!halted(&world), "nothing failed");
    assert!(took < (world.load + Duration::from_secs(1)) * ROUNDS, "{took:?}");
}

#[test]
fn a_load_that_never_ends_holds_the_others_up_no_longer_than_loads_take() {
    let mut world = World::new(KEEP_SERVING);
    world.stuck = vec!["r2".into(), "r5".into(), "r7".into(), "r11".into(), "r13".into()];
    world.name("w2");
    let left = |world: &World| world.rows.values().filter(|row| row.weights != "w2").count();
    while left(&world) > world.stuck.len() {
        world.step();
        assert!(world.now < Duration::from_secs(40), "{} lack the new weights", left(&world));
    }
    assert!(!halted(&world), "all that is left says that it loads");
    assert_eq!(world.orders(), 18, "none was ordered twice");
}
