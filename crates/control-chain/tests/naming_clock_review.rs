//! What the record of namings must not do: creep, forget a moment that it was told, or take for named what was not.
mod sim;

use control_chain::command::{Command, Envelope, Outcome};
use control_chain::naming_clock::{Moment, NamingClock};
use fleet_common::ask::Answer;
use sim::edges::{Edge, Off};
use sim::{Disks, World, ms};
use std::time::Duration;

const MODEL: &str = "m1";
const BOUND: Duration = ms(14_000);

fn at(millis: u64) -> Moment {
    Moment::at(ms(millis))
}

/// The moment by the test's clock, in milliseconds.
fn millis(moment: Moment) -> u64 {
    moment.age(ms(10_000_000)).as_millis().abs_diff(10_000_000) as u64
}

struct Run {
    world: World,
    edge: Edge,
}

impl Run {
    fn new(seed: u64) -> Self {
        Run { world: World::new(seed, Disks::Honest), edge: Edge::new("e1", Off::Nothing) }
    }

    fn pass(&mut self, length: Duration) {
        let end = self.world.now + length;
        while self.world.now < end {
            self.world.run(ms(10));
            self.edge.step(&mut self.world);
        }
    }

    fn command(&mut self, id: &str, command: Command) {
        let envelope = Envelope { id: id.into(), expect: None, command };
        for attempt in 0..2000 {
            let Some(token) = self.world.ask(1 + attempt % 4, envelope.ask().unwrap()) else { continue };
            self.pass(ms(60));
            if let Some(Answer::Json(text)) = self.world.answers.get(&token) {
                let outcome: Outcome = sonic_rs::from_slice(text.as_slice()).unwrap();
                assert!(outcome.accepted(), "{outcome:?}");
                return;
            }
        }
        panic!("nobody took {id}");
    }

    fn begin(&mut self) {
        self.pass(ms(2000));
        let text = format!(
            "{{\"tenants\":{{}},\"models\":{{\"{MODEL}\":{{\"weights\":\"w0\"}}}},\"kinds\":{{}},\"ways\":[]}}"
        );
        let root = fleet_common::json::root(text.as_bytes()).unwrap();
        let blueprint = control_chain::blueprint::Blueprint::read(&root).unwrap();
        self.command("begin", Command::Blueprint { blueprint });
    }

    /// Whether the router lets older weights serve later than is promised.
    fn serves_too_long(&self, acknowledged: &[Duration]) -> Option<String> {
        let now = self.world.now;
        let late = |older: &usize| {
            let until = self.edge.fleet.older_weights_until(MODEL, &format!("w{older}"), BOUND);
            now > acknowledged[older + 1] + ms(15_000) && until.is_some_and(|until| until > Moment::at(now))
        };
        let older = (0..acknowledged.len() - 1).find(late).filter(|_| self.edge.fresh(now))?;
        let until = self.edge.fleet.older_weights_until(MODEL, &format!("w{older}"), BOUND)?;
        let named = acknowledged[older + 1];
        Some(format!("w{older} superseded at {named:?} serves at {now:?}, until {} ms", millis(until)))
    }

    fn name(&mut self, id: &str, weights: &str) {
        self.command(id, naming(weights));
    }
}

fn naming(weights: &str) -> Command {
    Command::Weights { model: MODEL.into(), weights: weights.into() }
}

/// Control replicas that tell each other of one start, over links of some milliseconds, do not take it for later
/// and later.
#[test]
fn the_start_of_a_control_process_does_not_creep() {
    for seed in 0..3 {
        let mut run = Run::new(seed);
        run.begin();
        run.name("w1", "w1");
        let started = at(1000);
        for second in [1, 10, 20, 30, 60, 100] {
            let wait = ms(second * 1000 + 2000).saturating_sub(run.world.now);
            run.pass(wait);
            println!(
                "seed {seed} after {:?}: told start at {} ms",
                run.world.now,
                millis(run.edge.fleet.namings.control_restart().unwrap())
            );
        }
        let told = run.edge.fleet.namings.control_restart().unwrap();
        assert!(told <= started.plus(ms(100)), "seed {seed}: crept to {} ms from 1000", millis(told));
    }
}

/// The same without any drift of clocks: four replicas tell each other each 600 ms over links of 6 ms.
#[test]
fn telling_alone_does_not_move_the_start_of_a_control_process() {
    let mut clocks = vec![NamingClock::default(); 4];
    clocks.iter_mut().for_each(|clock| clock.note_control_restart(at(1000)));
    for millisecond in (1000..21_000u64).step_by(150) {
        let teller = (millisecond / 150 % 4) as usize;
        let told = clocks[teller].ages(ms(millisecond));
        for (_, clock) in clocks.iter_mut().enumerate().filter(|(other, _)| *other != teller) {
            clock.merge(ms(millisecond + 6), &told);
        }
    }
    let latest = clocks.iter().filter_map(|clock| clock.control_restart()).max().unwrap();
    println!("after 20 s the start at 1000 ms is taken for {} ms", millis(latest));
    assert!(latest <= at(1050), "{} ms", millis(latest));
}

/// A naming that only the head took, and that was dropped, counts for nothing when weights are named later.
fn dropped_naming_counts(trouble: impl Fn(&mut World, u32), length: Duration) -> Vec<String> {
    let mut early = Vec::new();
    for (seed, head) in (0..6).flat_map(|seed| (1..=4).map(move |head| (seed, head))) {
        let mut run = Run::new(seed);
        run.begin();
        run.pass(ms(3000));
        trouble(&mut run.world, head);
        // The head can tell nobody, or its disk does not take it: this is not acknowledged.
        let envelope = Envelope { id: "dropped".into(), expect: None, command: naming("w1") };
        let asked = run.world.now;
        run.world.ask(head, envelope.ask().unwrap());
        run.pass(length);
        run.world.cut.clear();
        run.pass(ms(20_000) - length);
        if run.edge.fleet.blueprint.as_ref().unwrap().models[MODEL].weights != "w0" {
            continue;
        }
        let phantom = run.edge.fleet.namings.superseded_at(MODEL, "w0").map(millis);
        let sent = run.world.now;
        run.name("later", "w2");
        run.pass(ms(1500));
        let fleet = &run.edge.fleet;
        let Some(until) = fleet.older_weights_until(MODEL, "w0", BOUND) else {
            let named = &fleet.blueprint.as_ref().unwrap().models[MODEL].weights;
            let ages = fleet.namings.ages(run.world.now);
            early.push(format!("seed {seed} head {head}: {named} is named, but w0 counts as the newest: {ages:?}"));
            continue;
        };
        if phantom.is_some() || until < Moment::at(sent + BOUND - ms(300)) {
            early.push(format!(
                "seed {seed} head {head}: w1 asked {asked:?}, dropped; w0 counts as superseded at {phantom:?} ms while it \
                 is named; w2 named after {sent:?}, w0 serves until {} ms", millis(until)
            ));
        }
    }
    early
}

#[test]
fn a_naming_that_a_cut_off_head_took_does_not_count() {
    let cut = |world: &mut World, head: u32| {
        for other in (1..=4).filter(|other| *other != head) {
            world.cut.extend([(head, other), (other, head)]);
        }
    };
    let early = dropped_naming_counts(cut, ms(10_000));
    assert!(early.is_empty(), "{} runs:\n{}", early.len(), early.join("\n"));
}

#[test]
fn a_naming_that_a_sick_disk_did_not_take_does_not_count() {
    let stall = |world: &mut World, head: u32| {
        let until = world.now + ms(9000);
        let disk = &mut world.nodes.get_mut(&head).unwrap().disk;
        (disk.stalled_until, disk.failed, disk.fails_until) = (until, true, Some(until));
    };
    let early = dropped_naming_counts(stall, ms(10_000));
    assert!(early.is_empty(), "{} runs:\n{}", early.len(), early.join("\n"));
}

/// A replica that is told of namings before it applies their entries keeps the moments that it was told.
#[test]
fn applying_an_entry_late_does_not_forget_when_it_was_taken() {
    let mut told = NamingClock::default();
    for (number, moment) in [(1, 1000), (2, 5000), (3, 9000)] {
        told.note(MODEL, &number.to_string(), number, at(moment));
    }
    let mut late = NamingClock::default();
    late.note(MODEL, "1", 1, at(1000));
    late.merge(ms(10_000), &told.ages(ms(10_000)));
    assert_eq!(late.superseded_at(MODEL, "1"), Some(at(5000)));
    late.note(MODEL, "2", 2, at(30_000));
    assert_eq!(late.superseded_at(MODEL, "1"), Some(at(5000)), "after its entry 2");
    late.note(MODEL, "3", 3, at(30_001));
    assert_eq!(late.superseded_at(MODEL, "1"), Some(at(5000)), "after its entry 3");
}

/// A replica that builds its state anew from a snapshot and the entries after it keeps the moments.
#[test]
fn a_state_built_anew_does_not_forget_when_weights_were_named() {
    let mut clock = NamingClock::default();
    clock.note(MODEL, "1", 1, at(1000));
    clock.note(MODEL, "2", 9, at(5000));
    // As `rebuild_state` does: the snapshot at 8, then entry 9 once more.
    clock.note(MODEL, "1", 8, at(200_000));
    clock.note(MODEL, "2", 9, at(200_000));
    assert_eq!(clock.superseded_at(MODEL, "1"), Some(at(5000)));
}

/// Numbered weights above all that a node knows are newer than those, not older.
#[test]
fn newer_weights_than_a_node_knows_do_not_count_as_expired() {
    let mut clock = NamingClock::default();
    clock.note(MODEL, "1", 1, at(1000));
    clock.note(MODEL, "2", 9, at(5000));
    assert_eq!(clock.superseded_at(MODEL, "3"), None);
}

/// What sick disks of control replicas (whose processes run on) do to routers that start anew now and then: the
/// first moment at which one that was started over 5 s ago would let older weights serve later than is promised.
fn served_too_long(seed: u64, gap: u64) -> Option<String> {
    let mut run = Run::new(seed);
    run.begin();
    let mut acknowledged = vec![run.world.now];
    let mut restarted = ms(0);
    for number in 1..=4usize {
        run.name(&format!("w{number}"), &format!("w{number}"));
        acknowledged.push(run.world.now);
        let end = run.world.now + ms(gap);
        let mut next_upset = run.world.now;
        while run.world.now < end {
            run.pass(ms(20));
            let now = run.world.now;
            if now >= next_upset {
                next_upset = now + ms(1000 + run.world.rng.next(5000));
                let id = 1 + run.world.rng.next(4) as u32;
                let until = now + ms(500 + run.world.rng.next(8000));
                let kind = run.world.rng.next(3);
                let disk = &mut run.world.nodes.get_mut(&id).unwrap().disk;
                match kind {
                    0 => disk.stalled_until = until,
                    1 => (disk.failed, disk.fails_until) = (true, Some(until)),
                    _ => {}
                }
            }
            if run.world.rng.next(20) == 0 {
                restarted = now;
                run.edge.restart_agent(now);
                run.edge.restart_router();
            }
            let mut longest = 0;
            while let Some(what) = run.serves_too_long(&acknowledged) {
                // Left alone from here on: does it go on when the router is in touch?
                let length = (run.world.now - restarted).as_millis();
                longest = longest.max(length);
                if length > 5000 {
                    return Some(format!("seed {seed}, {length} ms after the router's start: {what}"));
                }
                run.pass(ms(20));
            }
            if longest > 0 {
                println!("seed {seed} {now:?}: until {longest} ms after the router's start");
            }
        }
    }
    None
}

/// Sick disks unsettle no core: a router that was started anew well after a naming must not begin its bound anew.
#[test]
fn sick_disks_give_older_weights_no_more_time() {
    let found: Vec<String> = (0..8).filter_map(|seed| served_too_long(seed, 150_000)).collect();
    assert!(found.is_empty(), "{} of 8 runs:\n{}", found.len(), found.join("\n"));
}
