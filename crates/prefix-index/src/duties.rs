//! Duties: a replica's table and orders are held by the best live node by rendezvous, and change
//! hands under a fence from the core. The second best shadows the table.
use crate::known::{Shared, lock, shape};
use crate::watch;
use control_chain::command::{Command, Envelope};
use control_chain::fleet::APP;
use fleet_common::ask::{Answer, Ask, TableCopy};
use fleet_common::frame::Caller;
use fleet_common::ring;
use prefix_table::table::Table;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const EVERY: Duration = Duration::from_millis(150);

fn command(shared: &Shared, command: Command) -> bool {
    let ask = Ask::Command(Envelope::bare(command).pack().into());
    let answer = shared.link.lock().unwrap_or_else(|held| held.into_inner()).ask(&ask);
    match answer {
        Ok(Answer::Json(text)) => String::from_utf8_lossy(text.as_slice()).contains("\"code\":202"),
        Ok(_) => false,
        Err(mishap) => {
            ring::note(&mishap.to_string());
            false
        }
    }
}

/// Asks another node for its copy of a table.
fn fetch(shared: &Shared, node: &str, replica: &str) -> Option<TableCopy> {
    let at = shared.fleet.read().members.get(node)?.at.parse().ok()?;
    match Caller::new(at, Duration::from_millis(1500)).ask(&Ask::TablePull(replica.into())) {
        Ok(Answer::Table(copy)) => Some(copy),
        _ => None,
    }
}

/// Begins to hold a duty: from the own shadow, from the other nodes' copies, or from nothing.
fn take_up(shared: &Arc<Shared>, replica: &str, fence: u64, others: &[String]) {
    let shape = shape(&shared.fleet.read());
    match shared.kept(replica) {
        Some(kept) => {
            let mut held = lock(&kept);
            held.fence = fence;
            held.since = std::time::Instant::now();
        }
        None => {
            let copy = others.iter().find_map(|node| fetch(shared, node, replica));
            let table = match &copy {
                Some(copy) => Table::from_copy(shape, shared.now(), copy),
                None => Table::new(shape, shared.now()),
            };
            ring::note(&format!("holds {replica} under fence {fence}, {} blocks handed over", table.items()));
            shared.put(replica, table, fence);
        }
    }
    watch::start(shared.clone(), replica.to_string(), fence);
}

fn round(shared: &Arc<Shared>, watched: &mut HashSet<(String, u64)>) {
    let fleet = shared.fleet.read();
    // The app service keeps no prefixes and takes no orders: nobody's duty.
    for replica in fleet.replicas.iter().filter(|r| r.model != APP) {
        let order: Vec<String> = fleet.order(&replica.id).into_iter().cloned().collect();
        let mine = fleet.fence(&replica.id, &shared.me);
        let best = order.first().is_some_and(|node| *node == shared.me.name);
        let second = order.get(1).is_some_and(|node| *node == shared.me.name);
        match (mine, best) {
            (Some(fence), true) => {
                if watched.insert((replica.id.clone(), fence)) {
                    let others: Vec<String> = order.into_iter().filter(|n| *n != shared.me.name).take(2).collect();
                    take_up(shared, &replica.id, fence, &others);
                }
            }
            (Some(fence), false) => {
                let give = Command::DutyGive { replica: replica.id.clone(), node: shared.me.name.clone(), fence };
                if command(shared, give) {
                    ring::note(&format!("gives up {} under fence {fence}", replica.id));
                }
            }
            (None, true) => {
                let held = fleet.duties.get(&replica.id);
                let free = held.is_none_or(|duty| {
                    duty.owner.is_empty()
                        || fleet.members.get(&duty.owner).is_none_or(|m| m.incarnation != duty.incarnation)
                });
                if free && shared.fresh.holds(std::time::Instant::now()) {
                    let take = Command::DutyTake { replica: replica.id.clone(), node: shared.me.name.clone() };
                    command(shared, take);
                }
            }
            (None, false) if second => shadow(shared, &replica.id, &order),
            (None, false) => shared.drop_kept(&replica.id),
        }
    }
    for (replica, _) in shared.all_kept() {
        if !fleet.replicas.iter().any(|r| r.id == replica) {
            shared.drop_kept(&replica);
        }
    }
}

/// The shadow's copy is fetched anew every other second or so.
fn shadow(shared: &Shared, replica: &str, order: &[String]) {
    let due = shared.kept(replica).is_none_or(|kept| {
        let since = lock(&kept).first_loss;
        since.is_none_or(|at| at.elapsed() > Duration::from_secs(2))
    });
    if !due {
        return;
    }
    let Some(copy) = order.first().and_then(|owner| fetch(shared, owner, replica)) else { return };
    let table = Table::from_copy(shape(&shared.fleet.read()), shared.now(), &copy);
    let kept = shared.put(replica, table, copy.fence);
    lock(&kept).first_loss = Some(std::time::Instant::now());
}

pub fn start(shared: Arc<Shared>) {
    std::thread::spawn(move || {
        let mut watched = HashSet::new();
        while !shared.leaving.load(Ordering::Relaxed) {
            round(&shared, &mut watched);
            std::thread::sleep(EVERY);
        }
    });
}

/// Leaves: each table goes to the node that will hold its duty next, then the duties, then the term.
pub fn leave(shared: &Arc<Shared>) {
    shared.leaving.store(true, Ordering::Relaxed);
    let fleet = shared.fleet.read();
    for (replica, kept) in shared.all_kept() {
        let Some(fence) = fleet.fence(&replica, &shared.me) else { continue };
        let next = fleet.order(&replica).into_iter().find(|node| **node != shared.me.name);
        let at = next.and_then(|node| fleet.members.get(node)).and_then(|m| m.at.parse().ok());
        if let Some(at) = at {
            let copy = lock(&kept).table.copy(&replica, fence);
            let pushed = Caller::new(at, Duration::from_millis(1500)).ask::<Ask, Answer>(&Ask::TablePush(copy));
            ring::note(&format!("{replica}'s table handed over: {}", pushed.is_ok()));
        }
        command(shared, Command::DutyGive { replica, node: shared.me.name.clone(), fence });
    }
    let (node, incarnation) = (shared.me.name.clone(), shared.me.incarnation);
    command(shared, Command::Lapse { node, incarnation });
}
