//! Judges: what must never happen, looked for in what callers, replicas and operators recorded.
use crate::figures::CommittedHistory;
use crate::operators::{Operators, What};
use crate::replica::ReplicaRun;
use crate::shape::{REPLICAS, STORE};
use crate::world::{Observation, World};
use routing::request_machine::Outcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a message takes on the wire, and a step of the world.
const WIRE_TIME: Duration = Duration::from_millis(60);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// All judges over a whole run.
pub(crate) fn check_all(world: &World, operators: &Operators, held: &CommittedHistory) -> Vec<String> {
    let mut faults = Vec::new();
    let runs: Vec<(usize, &ReplicaRun)> =
        world.replicas.iter().flat_map(|replica| replica.runs.iter().map(move |run| (replica.at, run))).collect();
    at_most_once(world, &runs, &mut faults);
    streams(world, &mut faults);
    keys(world, operators, &runs, &mut faults);
    configurations(world, operators, &runs, &mut faults);
    weights(operators, &runs, held, &mut faults);
    orders(world, &mut faults);
    draining(world, &runs, held, &mut faults);
    if let Some((_, run)) = runs.iter().find(|(_, run)| run.foreign_blocks > 0) {
        faults.push(format!("run {:?} used {} blocks made elsewhere", run.request.stream, run.foreign_blocks));
    }
    let (first, tries) = (world.attempts.len() as u64, world.attempts.values().sum::<u64>());
    if tries > first + first / 10 + world.starts {
        faults.push(format!("{tries} tries for {first} first ones, {} starts", world.starts));
    }
    faults
}

fn at_most_once(world: &World, runs: &[(usize, &ReplicaRun)], faults: &mut Vec<String>) {
    let mut by_key: BTreeMap<&str, Vec<&ReplicaRun>> = BTreeMap::new();
    for (_, run) in runs {
        if let Some(key) = &run.request.at_most_once_key {
            by_key.entry(key).or_default().push(run);
        }
    }
    for (key, ran) in by_key.iter().filter(|(_, ran)| ran.len() > 1) {
        let when: Vec<_> = ran.iter().map(|run| (run.started_at, run.request.stream)).collect();
        faults.push(format!("{key} ran {} times: {when:?}", ran.len()));
    }
    let mut not_run: BTreeMap<u64, Duration> = BTreeMap::new();
    for (at, saw) in &world.observations {
        if let Observation::Response { call, outcome: Outcome::NotExecuted, .. } = saw {
            not_run.insert(*call, *at);
        }
    }
    for (_, run) in runs.iter().filter(|(_, run)| run.request.at_most_once_key.is_some()) {
        if let Some(at) = not_run.get(&run.request.stream.0) {
            faults.push(format!("call {:?} ran at {:?}, told not run at {at:?}", run.request.stream, run.started_at));
        }
    }
}

fn streams(world: &World, faults: &mut Vec<String>) {
    for (at, saw) in &world.observations {
        match saw {
            Observation::StreamEnded { call, whole, pieces, wanted } => {
                let one = pieces.windows(2).all(|pair| pair[0].0 == pair[1].0);
                let own = pieces.iter().all(|((of, _), _)| of == call);
                let row = pieces.iter().enumerate().all(|(n, (_, number))| n as u64 == *number);
                if !one || !own || !row {
                    faults.push(format!("call {call} got pieces of other runs, or skipped or repeated, at {at:?}"));
                }
                if *whole && pieces.len() as u64 != *wanted {
                    faults.push(format!("call {call} looks whole with {} of {wanted} pieces", pieces.len()));
                }
            }
            Observation::Response { call, status: 429 | 503, retry_after: false, .. } => {
                faults.push(format!("call {call} was given up without a Retry-After"));
            }
            _ => {}
        }
    }
}

/// Whether a run's router was frozen at a moment, or had only just woken: what it carried runs on at
/// the replica until the router is there again to let it go.
fn was_frozen(world: &World, router: usize, from: Duration, until: Duration) -> bool {
    world.frozen_routers.iter().any(|(at, since, woke)| *at == router && *since <= until && from <= *woke + WIRE_TIME)
}

fn keys(world: &World, operators: &Operators, runs: &[(usize, &ReplicaRun)], faults: &mut Vec<String>) {
    for order in &operators.orders {
        let (What::Withdraw(print), Some(accepted)) = (&order.what, order.accepted) else { continue };
        let bound = accepted + seconds(5);
        for (replica, run) in runs.iter().filter(|(_, run)| run.request.key_digest == *print) {
            let last = run.ended_at.unwrap_or(world.now());
            let frozen = world.replicas[*replica].was_frozen_at(last);
            if last > bound + WIRE_TIME && !frozen && !was_frozen(world, run.request.router, bound, last) {
                faults.push(format!(
                    "run {:?} under a withdrawn key until {last:?}, bound {bound:?}",
                    run.request.stream
                ));
            }
        }
    }
}

fn configurations(world: &World, operators: &Operators, runs: &[(usize, &ReplicaRun)], faults: &mut Vec<String>) {
    let mut versions: BTreeMap<u64, u64> = BTreeMap::new();
    let mut refused: BTreeSet<u64> = BTreeSet::new();
    for order in &operators.orders {
        if let (What::Blueprint(number), Some(outcome)) = (&order.what, &order.outcome) {
            match outcome.accepted() {
                true => _ = versions.insert(*number, outcome.version),
                false => _ = refused.insert(*number),
            }
        }
    }
    let number = |run: &ReplicaRun| run.request.kind_budget_ms - 20_000;
    for (_, run) in runs {
        if refused.contains(&number(run)) {
            faults.push(format!("refused blueprint {} let in {:?}", number(run), run.request.stream));
        }
    }
    let called =
        |run: &ReplicaRun| world.calls.get(&run.request.stream.0).map(|open| open.called_at).unwrap_or_default();
    for order in &operators.orders {
        let (What::Blueprint(new), Some(force)) = (&order.what, order.in_force) else { continue };
        let Some(version) = versions.get(new) else { continue };
        for (_, run) in runs.iter().filter(|(_, run)| called(run) > force + seconds(2)) {
            if versions.get(&number(run)).is_some_and(|held| held < version) {
                let old = number(run);
                faults.push(format!(
                    "call {:?} under blueprint {old}, {new} was in force at {force:?}",
                    run.request.stream
                ));
            }
        }
    }
    // None returns: at each edge later calls are never under an older one.
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut by_call: Vec<&ReplicaRun> =
        runs.iter().map(|(_, run)| *run).filter(|run| run.request.at_most_once_key.is_none()).collect();
    by_call.sort_by_key(|run| run.request.stream);
    for run in by_call {
        let Some(version) = versions.get(&number(run)) else { continue };
        let before = newest.entry(run.request.router).or_default();
        if version < before {
            faults
                .push(format!("an older blueprint came back at edge {}: {:?}", run.request.router, run.request.stream));
        }
        *before = (*before).max(*version);
    }
}

fn weights(operators: &Operators, runs: &[(usize, &ReplicaRun)], held: &CommittedHistory, faults: &mut Vec<String>) {
    for (name, (accepted, until)) in accepted_weights(operators, held) {
        let bound = accepted + seconds(20);
        // Weights that nobody has seen committed yet are newer ones on their way.
        let place = |name: &str| held.weights.iter().position(|(held, _)| held == name);
        let old = runs.iter().find(|(_, run)| {
            let older = place(&run.request.weights).is_some_and(|at| Some(at) < place(&name));
            run.started_at > bound + WIRE_TIME && run.started_at < until && older
        });
        if let Some((at, run)) = old {
            faults.push(format!(
                "r{} ran {} at {:?}, {name} was named at {accepted:?}",
                at + 1,
                run.request.weights,
                run.started_at
            ));
        }
    }
    faults.extend(held.late_rollouts.iter().cloned());
}

/// Weights by name: from when they were known to hold until others did.
fn accepted_weights(operators: &Operators, held: &CommittedHistory) -> Vec<(String, (Duration, Duration))> {
    let told = |name: &String| {
        operators.orders.iter().find(|o| o.what == What::Weights(name.clone())).and_then(|order| order.accepted)
    };
    let next = |at: usize| held.weights.get(at + 1).map_or(Duration::MAX, |(_, from)| *from);
    held.weights
        .iter()
        .enumerate()
        .filter_map(|(at, (name, _))| Some((name.clone(), (told(name)?, next(at)))))
        .collect()
}

fn orders(world: &World, faults: &mut Vec<String>) {
    for replica in world.replicas.iter().filter(|replica| replica.at != STORE) {
        let mut holder: BTreeMap<u64, usize> = BTreeMap::new();
        for pair in replica.orders.windows(2) {
            if pair[1].2 < pair[0].2 {
                faults.push(format!("r{}: order under fence {} after {}", replica.at + 1, pair[1].2, pair[0].2));
            }
        }
        for (at, by, fence) in &replica.orders {
            if holder.insert(*fence, *by).is_some_and(|before| before != *by) {
                faults.push(format!("r{}: two give orders under fence {fence} at {at:?}", replica.at + 1));
            }
        }
    }
}

fn draining(world: &World, runs: &[(usize, &ReplicaRun)], held: &CommittedHistory, faults: &mut Vec<String>) {
    for (replica, from, until) in &held.draining {
        let late = runs.iter().find(|(at, run)| {
            // What reached it while it stood still begins when it wakes.
            let numb = world.replicas[*at].was_frozen_at(run.started_at);
            at == replica && run.started_at > *from + seconds(3) + WIRE_TIME && run.started_at < *until && !numb
        });
        if let Some((_, run)) = late.filter(|_| *replica < REPLICAS) {
            faults.push(format!(
                "r{} is leaving since {from:?} and ran {:?} at {:?}",
                replica + 1,
                run.request.stream,
                run.started_at
            ));
        }
    }
}
