//! Snapshots of the state: made here when enough entries have come, or received from the predecessor in place of a log
//! that lacks too much.
use super::ControlReplica;
use crate::log::Snapshot;
use crate::snapshot_transfer::SnapshotPart;
use crate::step::Record;
use crate::write_queue::AfterSync;
use control_state::state::State;

impl ControlReplica {
    /// Prepares a snapshot when one is due. It goes to the disk once all that it covers is committed.
    pub(super) fn prepare_snapshot_when_due(&mut self) {
        if let Err(error) = self.replicator.prepare_snapshot_when_due() {
            self.log_line(format!("the state cannot be encoded as a snapshot: {error}"));
        }
    }

    pub(super) fn write_committed_snapshot(&mut self) {
        if let Some(snapshot) = self.replicator.take_committed_snapshot() {
            self.write(vec![Record::Snapshot(snapshot.clone())], AfterSync::Snapshot(snapshot));
        }
    }

    /// A part of a snapshot from the predecessor. What is on the disk stays until all of the snapshot is synced in its
    /// place.
    pub(super) fn on_snapshot_part(&mut self, from: u32, part: SnapshotPart) {
        let is_from_predecessor = part.view == self.hard_state.view.number && self.predecessor() == Some(from);
        let is_known = self.replicator.log.has(&part.at) || part.at.seq <= self.replicator.committed;
        if !is_from_predecessor || is_known {
            return;
        }
        match self.replicator.receiver.take(part) {
            Ok(Some(snapshot)) => self.replace_by_snapshot(snapshot),
            Ok(None) => {}
            Err(error) => self.log_line(error.to_string()),
        }
    }

    fn replace_by_snapshot(&mut self, snapshot: Snapshot) {
        let Some(state) = State::decode(snapshot.state.as_slice()) else {
            return self.log_line(format!("the snapshot at {} cannot be read", snapshot.at.seq));
        };
        self.holds_acknowledged = false;
        self.replace_state(state);
        self.nodes.forget_expiries(self.now);
        self.replicator.replace_log(snapshot.clone());
        let at = snapshot.at.clone();
        let records = vec![Record::Snapshot(snapshot), Record::Truncate(at.seq)];
        self.write(records, AfterSync::Entries(at));
    }

    /// Makes the state again from the snapshot and the synced entries after it: entries that were applied were dropped.
    pub(super) fn rebuild_state(&mut self) {
        match State::decode(self.replicator.log.snapshot().state.as_slice()) {
            Some(state) => self.replace_state(state),
            None => return self.on_damage("the snapshot in memory cannot be read"),
        }
        self.apply_up_to(self.replicator.synced.seq);
    }

    /// Takes on a state that was not reached by applying entries here.
    fn replace_state(&mut self, state: State) {
        self.replicator.state = state;
        self.record_releases();
    }
}
