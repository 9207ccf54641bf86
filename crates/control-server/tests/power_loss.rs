//! Power lost at every write, sync and removal: whatever of the unsynced is there, missing or torn, what is
//! found again is what was kept up to some ticket, and no ticket that was said to be synced is missing.
mod recorded;

use chain_replication::ballot::Ballot;
use chain_replication::hard_state::HardState;
use chain_replication::log::{Entry, Position, Snapshot};
use chain_replication::step::{Record, RecoveredDisk};
use chain_replication::view::{MemberAddress, View};
use control_server::log_store::{LogStore, OpenError, RecordStore};
use fleet_common::hash::SeededRng;
use recorded::{Honesty, Recorded};
use std::collections::BTreeMap;

/// The plain model of what tickets leave behind.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    meta: Option<HardState>,
    snapshot: Option<Snapshot>,
    entries: BTreeMap<u64, Entry>,
}

impl Model {
    fn after(&self, ticket: &[Record]) -> Model {
        let mut next = self.clone();
        for record in ticket {
            match record {
                Record::HardState(meta) => next.meta = Some(meta.clone()),
                Record::Entry(entry) => _ = next.entries.insert(entry.at.seq, entry.clone()),
                Record::Snapshot(snapshot) => {
                    next.entries.retain(|held, _| *held > snapshot.at.seq);
                    next.snapshot = Some(snapshot.clone());
                }
                Record::Truncate(seq) => next.entries.retain(|held, _| held <= seq),
            }
        }
        next
    }

    fn of(found: RecoveredDisk) -> Model {
        let entries = found.entries.into_iter().map(|entry| (entry.at.seq, entry)).collect();
        Model { meta: found.hard_state, snapshot: found.snapshot, entries }
    }
}

/// All that a run of tickets ought to leave, and from where on it must.
struct Books {
    models: Vec<Model>,
    synced: usize,
    next: u64,
}

fn cores() -> Vec<MemberAddress> {
    (1..=3).map(|id| MemberAddress { id, peers: "".into(), nodes: "".into(), operators: "".into() }).collect()
}

fn ticket(rng: &mut SeededRng, books: &mut Books) -> Vec<Record> {
    let mut entry = |rng: &mut SeededRng| {
        books.next += 1;
        let size = if rng.next(4) == 0 { 6000 } else { 40 };
        let command = vec![books.next as u8; 1 + rng.next(size) as usize];
        Record::Entry(Entry { at: Position { view: 1, seq: books.next }, command: command.into() })
    };
    let snapshot = |rng: &mut SeededRng, seq| {
        let state = vec![9; 1 + rng.next(3000) as usize];
        Record::Snapshot(Snapshot { at: Position { view: 1, seq }, state: state.into() })
    };
    let model = books.models.last().unwrap();
    match rng.next(8) {
        0 => {
            let meta = model.meta.clone().unwrap();
            vec![Record::HardState(HardState {
                promised_ballot: Ballot::new(meta.promised_ballot.round() + 1, 1),
                ..meta
            })]
        }
        1 => vec![snapshot(rng, books.next)],
        // Entries that were never committed are dropped, as another view begins.
        2 if rng.next(3) == 0 => {
            let kept = model.snapshot.as_ref().map_or(0, |snapshot| snapshot.at.seq);
            books.next = books.next.saturating_sub(rng.next(4)).max(kept);
            let meta = model.meta.clone().unwrap();
            let view = View { number: meta.view.number + 1, ..meta.view };
            vec![Record::Truncate(books.next), Record::HardState(HardState { holds_all: false, view, ..meta })]
        }
        // A snapshot comes from another replica in place of all.
        2 if rng.next(3) == 0 => {
            books.next += 1 + rng.next(20);
            vec![snapshot(rng, books.next), Record::Truncate(books.next)]
        }
        3 => (0..3).map(|_| entry(rng)).collect(),
        _ => vec![entry(rng)],
    }
}

/// Opens the disk and checks what is found; gives the store unless the power goes while it is opened.
fn reopen(disk: &Recorded, books: &mut Books, what: &str) -> Option<LogStore> {
    let used = disk.has("mark");
    match LogStore::open(Box::new(disk.clone()), (!used).then_some(1), &cores()) {
        Ok((store, found)) => {
            let found = Model::of(found);
            if books.models.is_empty() {
                books.models.push(found.clone());
            }
            let at = books.models.iter().rposition(|model| *model == found);
            assert!(at.is_some_and(|at| at >= books.synced), "{what}: found {at:?}, synced was {}", books.synced);
            books.models.truncate(at.unwrap() + 1);
            books.synced = at.unwrap();
            let last = books.models[books.synced].entries.keys().max().copied();
            books.next = last.max(found.snapshot.map(|snapshot| snapshot.at.seq)).unwrap_or(0);
            Some(store)
        }
        Err(OpenError::Io(_)) if disk.off() => None,
        Err(fault) => panic!("{what}: {fault}"),
    }
}

fn work(store: &mut LogStore, rng: &mut SeededRng, books: &mut Books, tickets: u64) {
    for _ in 0..tickets {
        let records = ticket(rng, books);
        let model = books.models.last().unwrap().after(&records);
        books.models.push(model);
        if store.append(&records).is_err() {
            return;
        }
        if rng.next(3) > 0 {
            match store.sync() {
                Ok(()) => books.synced = books.models.len() - 1,
                Err(_) => return,
            }
        }
    }
}

/// How the work on a disk ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The process is killed: what it wrote is seen on, synced or not.
    Kill,
    PowerLoss,
}

/// Work that ends at the so manieth step of the disk.
#[derive(Clone, Copy, Debug)]
struct Round {
    steps: usize,
    end: End,
}

/// One run: formatted, worked on and ended at a step, and again soon after, as the rounds say; then all is worked on once
/// more, and the power is lost. Gives how many steps the last work took.
fn run(seed: u64, rounds: &[Round], loss: u64, honesty: Honesty) -> usize {
    let mut rng = SeededRng::new(seed);
    let mut books = Books { models: vec![], synced: 0, next: 0 };
    let disk = Recorded::new(honesty);
    let mut losses = SeededRng::new(loss);
    let last = Round { steps: usize::MAX, end: End::PowerLoss };
    let mut steps = 0;
    for (number, round) in rounds.iter().chain([&last]).enumerate() {
        disk.power_until(round.steps);
        let what = format!("seed {seed}, {rounds:?}, loss {loss}, round {number}");
        if let Some(mut store) = reopen(&disk, &mut books, &what) {
            work(&mut store, &mut rng, &mut books, 30);
        }
        steps = disk.steps();
        if round.end == End::PowerLoss {
            disk.lose_power(&mut losses);
        }
    }
    disk.power_until(usize::MAX);
    reopen(&disk, &mut books, &format!("seed {seed}, {rounds:?}, loss {loss}, at the end")).expect("it opens");
    steps
}

fn power_losses(cut: usize, again: usize) -> [Round; 2] {
    [cut, again].map(|steps| Round { steps, end: End::PowerLoss })
}

#[test]
fn nothing_synced_is_lost_whenever_the_power_goes() {
    let mut runs = 0;
    for seed in 0..6 {
        let steps = run(seed, &[], 0, Honesty::Honest);
        for cut in 0..steps.min(130) {
            for loss in 0..8 {
                for again in [0, 1, 2, 3, 4, 5, 6, 9, 20] {
                    run(seed, &power_losses(cut, again), loss, Honesty::Honest);
                    runs += 1;
                }
            }
        }
    }
    println!("{runs} runs, each with three losses of power");
}

/// A killed process leaves a log of which a part, or all, was never synced: its successor must not trust to it.
#[test]
fn nothing_synced_is_lost_when_a_kill_comes_before_the_power_goes() {
    let kill = |steps| Round { steps, end: End::Kill };
    let power_loss = |steps| Round { steps, end: End::PowerLoss };
    let mut runs = 0;
    for seed in 0..6 {
        let steps = run(seed, &[], 0, Honesty::Honest);
        for cut in 0..steps.min(130) {
            for loss in 0..4 {
                for again in [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 20] {
                    run(seed, &[kill(cut), power_loss(again)], loss, Honesty::Honest);
                    run(seed, &[kill(cut), kill(again), power_loss(again / 2)], loss, Honesty::Honest);
                    runs += 2;
                }
            }
        }
    }
    println!("{runs} runs, each with one kill or two before the power is lost");
}

/// The check has teeth: a disk whose syncs do nothing is found out, and one that forgets names.
#[test]
fn disks_that_lie_are_found_out() {
    let quiet = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let found = (0..60)
        .filter(|cut| std::panic::catch_unwind(|| run(1, &power_losses(*cut, 20), 3, Honesty::Lying)).is_err())
        .count();
    std::panic::set_hook(quiet);
    println!("{found} of 60 runs show it");
    assert!(found > 0, "a disk that lies was not found out");
}
