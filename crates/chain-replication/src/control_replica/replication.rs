//! Chain replication: entries go from the head to the tail, each durable before it goes on. What the tail has synced is
//! committed; acknowledgements of that go back up the chain.
use super::ControlReplica;
use crate::log::{Entry, Position};
use crate::message::{Ack, Append, Heartbeat, Message};
use crate::pending::PendingCommand;
use crate::replicator::CatchUp;
use crate::step::Record;
use crate::write_queue::{AfterSync, WriteId};
use control_state::command::{Command, CommandRequest};
use control_state::outcome::Outcome;
use fleet_common::Bytes;

impl ControlReplica {
    /// This replica's position in the chain, the head's being 0.
    pub(super) fn position(&self) -> Option<usize> {
        self.hard_state.view.position(&self.me)
    }

    /// Whether this replica is known, also by its disk, to hold all that its predecessor holds.
    pub(super) fn holds_all(&self) -> bool {
        self.hard_state.holds_all && self.holds_all_is_synced
    }

    pub(super) fn is_head(&self) -> bool {
        self.position() == Some(0) && self.holds_all()
    }

    pub(super) fn is_tail(&self) -> bool {
        self.hard_state.view.tail() == Some(&self.me) && self.holds_all()
    }

    /// Who gets this replica's entries: the next in the chain, or from the tail every spare.
    pub(super) fn followers(&self) -> Vec<u32> {
        let view = &self.hard_state.view;
        let Some(position) = self.position() else {
            return Vec::new();
        };
        match view.chain.items().get(position + 1) {
            Some(next) => vec![next.id],
            None => view.spares.items().iter().map(|spare| spare.id).collect(),
        }
    }

    /// Whose entries this replica gets.
    pub(super) fn predecessor(&self) -> Option<u32> {
        let view = &self.hard_state.view;
        match self.position() {
            Some(0) => None,
            Some(position) => Some(view.chain.items()[position - 1].id),
            None if view.contains(&self.me) => view.tail().map(|tail| tail.id),
            None => None,
        }
    }

    fn apply(&mut self, request: &CommandRequest) -> Outcome {
        if let Command::ExpireLease { node, .. } = &request.command {
            self.nodes.note_expiry(self.now, node);
        }
        let outcome = self.replicator.state.apply(request);
        if request.command.may_release_weights() {
            self.record_releases();
        }
        outcome
    }

    /// Applies the entries up to a number. All but the head apply what is synced; the head applies on entry.
    pub(super) fn apply_up_to(&mut self, seq: u64) {
        while let Some(entry) = self.replicator.next_to_apply(seq) {
            match CommandRequest::decode(entry.command.as_slice()) {
                Some(request) => _ = self.apply(&request),
                None => return self.on_damage(&format!("entry {} cannot be read", entry.at.seq)),
            }
        }
    }

    /// The head takes a command: applies it, writes it, and answers once the whole chain has it. A rejection is an
    /// outcome like any other: it depends on entries that must not be lost, and waits for them. A command whose id is
    /// known is not taken again.
    pub(super) fn take_command(&mut self, token: Option<u64>, request: &CommandRequest) {
        let known = self.replicator.state.outcomes.get(&request.id).cloned();
        let (seq, outcome) = match known {
            Some(known) => known,
            None => match request.encode() {
                Ok(bytes) => self.append_own(request, bytes.into()),
                Err(error) => return self.log_line(format!("a command cannot be encoded: {error}")),
            },
        };
        let Some(token) = token else { return };
        if seq <= self.replicator.committed {
            self.respond_outcome(token, &outcome);
        } else {
            self.pending_commands.push(seq, PendingCommand { token, outcome });
        }
    }

    fn append_own(&mut self, request: &CommandRequest, command: Bytes) -> (u64, Outcome) {
        let outcome = self.apply(request);
        let at = Position { view: self.hard_state.view.number, seq: self.replicator.log.last().seq + 1 };
        let entry = Entry { at: at.clone(), command };
        self.replicator.log.append(entry.clone());
        self.write(vec![Record::Entry(entry)], AfterSync::Entries(at.clone()));
        (at.seq, outcome)
    }

    /// A node's command that another replica forwarded; the node asks again if this replica cannot take it.
    pub(super) fn on_forwarded_command(&mut self, bytes: &[u8]) {
        if !self.is_head() || self.health.disk_failed || self.is_overloaded() {
            return;
        }
        if let Some(request) = CommandRequest::decode(bytes) {
            self.take_command(None, &request);
        }
    }

    /// Whether the head must take no more for now: its disk stalls, or too much waits to be committed.
    pub(super) fn is_overloaded(&self) -> bool {
        self.writes.is_stalled(self.now) || self.replicator.has_too_much_uncommitted()
    }

    /// Takes entries from the predecessor. Where the own log has other entries at their positions, those were never
    /// committed and make room.
    pub(super) fn on_append(&mut self, from: u32, append: Append) {
        let is_from_predecessor = append.view == self.hard_state.view.number && self.predecessor() == Some(from);
        if !is_from_predecessor || !self.replicator.log.has(&append.previous) {
            return;
        }
        let mut records = Vec::new();
        for entry in append.entries.into_items() {
            if self.replicator.log.has(&entry.at) {
                continue;
            }
            let before = entry.at.seq.saturating_sub(1);
            if before < self.replicator.log.last().seq && !self.truncate_after(before, &mut records) {
                break;
            }
            let last = self.replicator.log.last();
            if entry.at.seq != last.seq + 1 || entry.at.view < last.view {
                break;
            }
            self.replicator.log.append(entry.clone());
            records.push(Record::Entry(entry));
        }
        if !records.is_empty() {
            self.write(records, AfterSync::Entries(self.replicator.log.last()));
        }
    }

    /// Drops the entries after this number, in memory and by a record for the disk. Committed ones stay: then nothing is
    /// dropped, and the result is `false`.
    pub(super) fn truncate_after(&mut self, seq: u64, records: &mut Vec<Record>) -> bool {
        if let Err(error) = self.replicator.truncate_after(seq) {
            self.log_line(error.to_string());
            return false;
        }
        self.holds_acknowledged = false;
        records.push(Record::Truncate(seq));
        self.releases.forget_after(seq);
        if self.replicator.state.seq > seq {
            self.rebuild_state();
        }
        true
    }

    /// The records of these writes are durable.
    pub(super) fn on_synced(&mut self, up_to: WriteId) {
        while let Some(after) = self.writes.pop_synced(up_to) {
            self.after_sync(after);
        }
        self.apply_up_to(self.replicator.synced.seq);
        self.prepare_snapshot_when_due();
        self.send_new_entries();
        self.advance_commit();
    }

    fn after_sync(&mut self, after: AfterSync) {
        match after {
            AfterSync::Entries(at) => self.replicator.note_synced(at),
            AfterSync::Snapshot(snapshot) => self.replicator.on_snapshot_written(self.now, snapshot),
            AfterSync::HoldsAll { view } => self.on_holds_all_synced(view),
            AfterSync::Prepare { view_number, ballot } => self.send_prepare(view_number, ballot),
            AfterSync::Send { to, message } => self.send(to, message),
            AfterSync::Nothing => {}
        }
    }

    /// Sends what was synced to all followers that are up to date.
    fn send_new_entries(&mut self) {
        if !self.holds_all() {
            return;
        }
        for to in self.followers() {
            let appends = self.replicator.new_entries_for(to, self.hard_state.view.number);
            self.send_appends(to, appends);
        }
    }

    fn send_appends(&mut self, to: u32, appends: Vec<Append>) {
        for append in appends {
            self.send(to, Message::Append(append));
        }
    }

    /// A follower's heartbeat: an acknowledgement, and how far it is.
    pub(super) fn on_follower_heartbeat(&mut self, from: u32, heartbeat: &Heartbeat) {
        self.on_ack(from, Ack { view: heartbeat.view, seq: heartbeat.committed });
        if !self.holds_all() {
            return;
        }
        match self.replicator.catch_up(self.now, from, self.hard_state.view.number, heartbeat) {
            CatchUp::Nothing => {}
            CatchUp::Entries(appends) => self.send_appends(from, appends),
            CatchUp::Snapshot(parts) => {
                for part in parts {
                    self.send(from, Message::SnapshotPart(part));
                }
            }
        }
    }

    /// The predecessor's heartbeat: what is committed, and whether this replica now holds all that it holds.
    pub(super) fn on_predecessor_heartbeat(&mut self, heartbeat: &Heartbeat) {
        if self.holds_all() {
            let committed = heartbeat.committed.min(self.replicator.synced.seq);
            self.replicator.committed = self.replicator.committed.max(committed);
            return self.advance_commit();
        }
        let is_comparable = !self.hard_state.holds_all && heartbeat.holds_all;
        if !is_comparable || !self.replicator.log.has(&heartbeat.synced) {
            return;
        }
        if self.replicator.synced.seq < heartbeat.synced.seq {
            return;
        }
        let mut records = Vec::new();
        if !self.drop_unconfirmed_after(heartbeat.synced.seq, &mut records) {
            return;
        }
        self.hard_state.holds_all = true;
        records.push(Record::HardState(self.hard_state.clone()));
        self.write(records, AfterSync::HoldsAll { view: self.hard_state.view.number });
    }

    /// Drops entries of earlier views that the predecessor does not have: they were never committed.
    fn drop_unconfirmed_after(&mut self, seq: u64, records: &mut Vec<Record>) -> bool {
        let is_of_this_view = |at: Position| at.view == self.hard_state.view.number;
        let log = &self.replicator.log;
        if log.last().seq <= seq || log.position(seq + 1).is_some_and(is_of_this_view) {
            return true;
        }
        self.truncate_after(seq, records)
    }

    /// The record of holding all entries is on the disk: from here on it counts.
    fn on_holds_all_synced(&mut self, view: u64) {
        if view != self.hard_state.view.number || !self.hard_state.holds_all {
            return;
        }
        self.holds_all_is_synced = true;
        self.log_line(format!("caught up at entry {}", self.replicator.synced.seq));
        self.advance_commit();
    }

    /// At the tail what is synced is committed. Everywhere, what waited for a commit goes on.
    pub(super) fn advance_commit(&mut self) {
        if self.is_tail() && self.replicator.synced.seq > self.replicator.committed {
            self.replicator.committed = self.replicator.synced.seq;
            self.acknowledge();
        }
        self.write_committed_snapshot();
        for command in self.pending_commands.take_committed(self.replicator.committed) {
            self.respond_outcome(command.token, &command.outcome);
        }
        self.answer_due_pulls();
    }

    fn acknowledge(&mut self) {
        if let Some(to) = self.predecessor() {
            let ack = Ack { view: self.hard_state.view.number, seq: self.replicator.committed };
            self.send(to, Message::Ack(ack));
        }
    }

    /// The next in the chain says what is committed.
    pub(super) fn on_ack(&mut self, from: u32, ack: Ack) {
        let chain = self.hard_state.view.chain.items();
        let next = self.position().and_then(|position| chain.get(position + 1));
        let is_from_next = ack.view == self.hard_state.view.number && next.is_some_and(|member| member.id == from);
        if !is_from_next || !self.holds_all() || ack.seq <= self.replicator.committed {
            return;
        }
        self.replicator.committed = ack.seq.min(self.replicator.synced.seq);
        self.acknowledge();
        self.advance_commit();
    }

    /// Commands that were on their way when this replica stopped being head, or lost the majority: nobody can say yet
    /// whether they were taken.
    pub(super) fn give_up_pending_commands(&mut self) {
        for command in self.pending_commands.take_all() {
            self.respond_unknown(command.token);
        }
    }
}
