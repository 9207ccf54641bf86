//! Small worlds, explored exhaustively within bounds: no reachable state breaks a safety invariant.
#[path = "explore/mod.rs"]
mod explore;

use explore::moves::{Move, TURN};
use explore::search::{Bounds, Report, search};
use explore::world::World;
use rstest::rstest;
use std::sync::Mutex;
use std::time::Duration;

const THREADS: u16 = 8;
/// Searches run one after the other, so that they take no more threads than these.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
/// Turns until a founded world has a tail under its lease, and a joiner its place.
const SETTLING: usize = 12;

/// Runs by the default order alone for so many turns.
fn settle(world: &mut World, turns: usize) {
    for _ in 0..turns {
        while let Some(next) = world.choices().first().map(|choice| choice.chosen) {
            world.apply(next);
            assert_eq!(world.violation(), None);
            if next == Move::Pass(TURN) {
                break;
            }
        }
    }
}

fn three_machines() -> World {
    let mut world = World::founded(3, 1, false);
    settle(&mut world, SETTLING);
    world
}

fn with_a_joiner() -> World {
    let mut world = World::founded(3, 1, true);
    settle(&mut world, SETTLING);
    world.join(4);
    world
}

/// Five machines that bear two losses at once.
fn five_machines() -> World {
    let mut world = World::founded(5, 2, false);
    settle(&mut world, SETTLING);
    world.command(1);
    settle(&mut world, 2);
    world
}

/// A number from the environment, for longer searches than the usual one.
fn number(name: &str, usual: u16) -> u16 {
    std::env::var(name).ok().map_or(usual, |text| text.parse().expect("a number"))
}

fn bounds(departures: u16, turns: u16) -> Bounds {
    Bounds {
        departures: number("EXPLORE_DEPARTURES", departures),
        turns: number("EXPLORE_TURNS", turns),
        depth: number("EXPLORE_DEPTH", 1000),
    }
}

fn explore(what: &str, mut world: World, bounds: Bounds) -> Report {
    let most = Duration::from_secs(number("EXPLORE_SECONDS", 600).into());
    world.losses_most = number("EXPLORE_LOSSES", world.tolerance as u16).into();
    world.copies_count = number("EXPLORE_COPIES", 1) == 1;
    let report = {
        let _turn = ONE_AT_A_TIME.lock().unwrap();
        search(world, bounds, number("EXPLORE_THREADS", THREADS).into(), most)
    };
    println!(
        "{what}: {bounds:?}: {} states, {} moves, runs of up to {} moves, complete: {}",
        report.states, report.moves, report.longest, report.complete
    );
    if let Some((violation, run)) = &report.violation {
        println!("{violation}, by:");
        run.iter().for_each(|step| println!("    {step:?}"));
    }
    report
}

#[test]
fn three_machines_keep_their_promises() {
    let report = explore("three machines", three_machines(), bounds(1, 12));
    assert!(report.violation.is_none() && report.complete);
}

#[test]
fn a_joiner_keeps_the_promises() {
    let report = explore("three machines and a joiner", with_a_joiner(), bounds(1, 5));
    assert!(report.violation.is_none() && report.complete);
}

#[test]
fn five_machines_keep_their_promises() {
    let report = explore("five machines that bear two losses", five_machines(), bounds(1, 3));
    assert!(report.violation.is_none() && report.complete);
}

/// Every order of the next few moves, with a command under way.
#[test]
fn every_order_of_few_moves_keeps_the_promises() {
    let mut world = three_machines();
    world.command(1);
    let depth = number("EXPLORE_DEPTH", 5);
    let report = explore("every order", world, Bounds { departures: u16::MAX, turns: u16::MAX, depth });
    assert!(report.violation.is_none() && report.complete);
}

/// A member that was cut off is back and fetches anew while another member has a trouble of its own.
#[rstest]
fn a_second_trouble_during_a_repair_costs_no_copy(#[values(1, 2, 3)] cut_off: u32, #[values(3, 4)] turns: usize) {
    let mut world = three_machines();
    world.command(1);
    settle(&mut world, 2);
    world.apply(Move::Isolate(cut_off));
    settle(&mut world, turns);
    world.apply(Move::Rejoin(cut_off));
    let what = format!("a second trouble after {cut_off} was cut off for {turns} turns");
    let report = explore(&what, world, bounds(1, 4));
    assert!(report.violation.is_none() && report.complete);
}

/// A head that was cut off comes back with more entries of its own than the others have committed since, and
/// learns from a snapshot that ends before its log does.
#[test]
fn a_head_with_a_longer_log_of_its_own_learns_from_a_snapshot() {
    let mut world = three_machines();
    world.make_snapshots_after(1);
    world.apply(Move::Isolate(1));
    (0..4).for_each(|_| world.command(1));
    settle(&mut world, 8);
    world.command(2);
    settle(&mut world, 1);
    world.command(2);
    settle(&mut world, 1);
    world.commands_most = 7;
    world.apply(Move::Rejoin(1));
    let what = "a head with a longer log of its own is back";
    let report = explore(what, world, bounds(0, 14));
    assert!(report.violation.is_none() && report.complete);
}

/// The invariants have teeth: disks that say synced before they are lose what was acknowledged.
#[test]
fn lying_disks_are_found_out() {
    let mut world = three_machines();
    world.lying_disks = true;
    let report = explore("lying disks", world, bounds(1, 3));
    assert!(report.violation.is_some());
}
