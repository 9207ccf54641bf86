//! Assignments: a replica is owned by its first live index node in rendezvous order, which keeps its table and sends its
//! orders. An assignment changes hands under a fencing token of the control replicas; the second node shadows the table.
use crate::index_node::{IndexNode, Output, SnapshotFetch, table_size};
use crate::table::PrefixTable;
use crate::tracked_replica::TrackedReplica;
use control_state::command::Command;
use control_state::fleet::APP_MODEL;
use fleet_common::rpc::{Request, TableSnapshot};
use std::time::Duration;

/// Index nodes that start together are known to each other within so long.
const STARTUP_GRACE: Duration = Duration::from_millis(1000);
/// Assignments are checked at most so often.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// A shadow fetches a new snapshot after so long.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(2);
/// A fetch or a command without an answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

impl IndexNode {
    /// Takes, releases and shadows what is due, and gives up on fetches and commands without an answer.
    pub(crate) fn check_assignments(&mut self) {
        if self.now.saturating_sub(self.assignments_checked_at) < CHECK_INTERVAL {
            return;
        }
        self.assignments_checked_at = self.now;
        let now = self.now;
        self.pending_commands.retain(|_, since| now.saturating_sub(*since) < ANSWER_TIMEOUT);
        let lost: Vec<String> = self
            .fetches
            .iter()
            .filter(|(_, f)| now.saturating_sub(f.started_at) >= ANSWER_TIMEOUT)
            .map(|(r, _)| r.clone())
            .collect();
        lost.iter().for_each(|replica| self.on_snapshot_fetched(replica, None));
        // The app service keeps no prefixes and takes no orders: it is nobody's.
        let replicas: Vec<String> =
            self.fleet.replicas.iter().filter(|r| r.model != APP_MODEL).map(|r| r.id.clone()).collect();
        for replica in &replicas {
            let order: Vec<String> = self.fleet.index_nodes_by_preference(replica).into_iter().cloned().collect();
            self.check_assignment(replica, order);
        }
        self.replicas.retain(|replica, _| replicas.contains(replica));
        self.fetches.retain(|replica, _| replicas.contains(replica));
    }

    fn check_assignment(&mut self, replica: &str, order: Vec<String>) {
        let mine = self.fleet.fencing_token(replica, &self.me);
        let rank = order.iter().position(|node| *node == self.me.name);
        match (mine, rank) {
            (Some(fencing_token), Some(0)) if self.active_fencing_token(replica).is_none() => {
                self.take_over(replica, fencing_token, order)
            }
            (Some(_), Some(0)) => {}
            (Some(fencing_token), _) => {
                let (replica, node) = (replica.to_string(), self.me.name.clone());
                self.send_command(Command::ReleaseAssignment { replica, node, fencing_token });
            }
            (None, Some(0)) => {
                let held = self.fleet.assignments.get(replica);
                let free = held.is_none_or(|duty| {
                    let owner = self.fleet.nodes.get(&duty.owner);
                    duty.owner.is_empty() || owner.is_none_or(|m| m.incarnation != duty.incarnation)
                });
                // What nobody ever owned may wait until all that start together are here: then it need not move.
                let settled = held.is_some() || self.member_for().is_some_and(|since| since >= STARTUP_GRACE);
                if free && settled && self.has_valid_lease() {
                    let (replica, node) = (replica.to_string(), self.me.name.clone());
                    self.send_command(Command::TakeAssignment { replica, node });
                }
            }
            (None, Some(1)) => self.refresh_shadow(replica, &order[0]),
            (None, _) => _ = self.replicas.remove(replica),
        }
    }

    /// Sends a command about a replica, unless one is on its way.
    fn send_command(&mut self, command: Command) {
        let (Command::ReleaseAssignment { replica, .. } | Command::TakeAssignment { replica, .. }) = &command else {
            return;
        };
        if !self.pending_commands.contains_key(replica) {
            self.pending_commands.insert(replica.clone(), self.now);
            self.outputs.push(Output::Command(replica.clone(), command));
        }
    }

    /// Becomes the owner of a replica: with the shadowed table, or else with a snapshot of another node.
    fn take_over(&mut self, replica: &str, fencing_token: u64, order: Vec<String>) {
        if let Some(tracked) = self.replicas.get_mut(replica) {
            tracked.become_owner(fencing_token, self.now);
            let blocks = tracked.table.items();
            return self
                .log(format!("owns {replica} under fencing token {fencing_token}, {blocks} blocks from its shadow"));
        }
        if self.fetches.get(replica).is_some_and(|f| f.fencing_token == fencing_token) {
            return;
        }
        let others = order.into_iter().filter(|n| *n != self.me.name).take(2).collect();
        self.fetch_snapshot(replica, SnapshotFetch { fencing_token, candidates: others, started_at: self.now });
    }

    /// Fetches the owner's snapshot again if the present one is too old.
    fn refresh_shadow(&mut self, replica: &str, owner: &str) {
        let now = self.now;
        if let Some(tracked) = self.replicas.get_mut(replica) {
            tracked.fencing_token = None;
        }
        let due = self
            .replicas
            .get(replica)
            .is_none_or(|tracked| now.saturating_sub(tracked.tracked_since) > SNAPSHOT_INTERVAL);
        if due && !self.fetches.contains_key(replica) {
            self.fetch_snapshot(
                replica,
                SnapshotFetch { fencing_token: 0, candidates: vec![owner.to_string()], started_at: now },
            );
        }
    }

    /// Asks the next node that may have a snapshot; with none left an owner's table starts empty.
    fn fetch_snapshot(&mut self, replica: &str, mut fetch: SnapshotFetch) {
        while !fetch.candidates.is_empty() {
            let node = fetch.candidates.remove(0);
            if let Some(at) = self.fleet.nodes.get(&node).map(|m| m.at.clone()) {
                fetch.started_at = self.now;
                self.fetches.insert(replica.to_string(), fetch);
                return self.outputs.push(Output::FetchSnapshot { replica: replica.to_string(), at });
            }
        }
        self.fetches.remove(replica);
        if fetch.fencing_token > 0 {
            let table = PrefixTable::new(table_size(&self.fleet), self.now);
            self.track_as_owner(replica, table, fetch.fencing_token);
        }
    }

    fn track_as_owner(&mut self, replica: &str, table: PrefixTable, fencing_token: u64) {
        self.log(format!(
            "owns {replica} under fencing token {fencing_token}, {} blocks from a snapshot",
            table.items()
        ));
        self.replicas.insert(replica.to_string(), TrackedReplica::new(table, Some(fencing_token), self.now));
    }

    /// A snapshot came, or the node asked has none or did not answer.
    pub(crate) fn on_snapshot_fetched(&mut self, replica: &str, snapshot: Option<TableSnapshot>) {
        let Some(fetch) = self.fetches.remove(replica) else { return };
        match snapshot {
            None => self.fetch_snapshot(replica, fetch),
            Some(snapshot) => {
                let table = PrefixTable::from_snapshot(table_size(&self.fleet), self.now, &snapshot);
                if fetch.fencing_token > 0 {
                    return self.track_as_owner(replica, table, fetch.fencing_token);
                }
                // A shadow that has become the owner meanwhile keeps what it has.
                if self.active_fencing_token(replica).is_none() {
                    self.track_as_shadow(replica, table, snapshot.fencing_token);
                }
            }
        }
    }

    pub(crate) fn track_as_shadow(&mut self, replica: &str, table: PrefixTable, fencing_token: u64) {
        let mut tracked = TrackedReplica::new(table, None, self.now);
        tracked.snapshot_fencing_token = fencing_token;
        self.replicas.insert(replica.to_string(), tracked);
    }

    /// Hands all tables over, releases all assignments and ends the lease.
    pub(crate) fn shut_down(&mut self) {
        let held: Vec<String> = self.replicas.keys().cloned().collect();
        for replica in held {
            let Some(fencing_token) = self.fleet.fencing_token(&replica, &self.me) else { continue };
            let next =
                self.fleet.index_nodes_by_preference(&replica).into_iter().find(|node| **node != self.me.name).cloned();
            let at = next.and_then(|node| self.fleet.nodes.get(&node)).map(|m| m.at.clone());
            if let (Some(at), Some(tracked)) = (at, self.replicas.get(&replica)) {
                self.outputs
                    .push(Output::Send(at, Request::TablePush(tracked.table.snapshot(&replica, fencing_token))));
            }
            let give =
                Command::ReleaseAssignment { replica: replica.clone(), node: self.me.name.clone(), fencing_token };
            self.outputs.push(Output::Command(replica, give));
        }
        let (node, incarnation) = (self.me.name.clone(), self.me.incarnation);
        self.outputs.push(Output::Command(String::new(), Command::ExpireLease { node, incarnation }));
    }
}
