//! The replicated log and state of one replica, and what its followers have of them. It knows nothing of views, leases
//! or votes: the control replica tells it whom it follows and who follows it.
//!
//! Invariants:
//! - `committed <= synced.seq`, but for a replica whose received snapshot is still on its way to the disk.
//! - What is committed is never truncated.
//! - Only synced entries are sent to followers, so that a commit at the tail means that all disks have it.
//! - A snapshot that is written covers committed entries only: what it covers cannot be truncated any more.
use crate::log::{Entry, Position, ReplicationLog, Snapshot};
use crate::message::{Append, Heartbeat};
use crate::snapshot_transfer::{SnapshotPart, SnapshotReceiver, SnapshotSender};
use control_state::state::State;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A snapshot is due after so many entries.
pub const SNAPSHOT_INTERVAL_ENTRIES: usize = 2048;
/// A snapshot is also due when the entries since the last one have so many bytes.
const SNAPSHOT_INTERVAL_BYTES: usize = 4 << 20;
/// Entries that a snapshot's receiver still wants are kept up to so many bytes.
const MAX_RETAINED_BYTES: usize = 24 << 20;
/// The head takes no more commands while so many bytes of them are not committed.
const MAX_UNCOMMITTED_BYTES: usize = 8 << 20;

const MAX_ENTRIES_PER_MESSAGE: usize = 1024;
/// A message takes no further entry beyond so many bytes.
const MAX_BYTES_PER_MESSAGE: usize = 512 << 10;
/// A follower that is behind is sent so many messages at a time.
const MESSAGES_PER_BURST: usize = 6;

/// What is known of a follower, which gets this replica's entries.
#[derive(Clone, Debug, Default, Hash)]
struct FollowerProgress {
    /// What its last heartbeat said is synced there.
    synced: Option<Position>,
    /// The number of the last entry that was sent to it; none before its first heartbeat in this view.
    sent: Option<u64>,
}

/// What a follower is sent after its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// It has everything, or what it lacks is on its way.
    Nothing,
    /// Entries after a position that both have, or may have.
    Entries(Vec<Append>),
    /// Parts of a snapshot, as the entries are gone.
    Snapshot(Vec<SnapshotPart>),
}

/// Entries after a number that is committed, or covered by the snapshot, cannot be dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entries after {after} are committed and stay")]
pub struct AlreadyCommitted {
    /// The number after which entries were to be dropped.
    pub after: u64,
}

/// The log, the state, and how far they are.
#[derive(Clone)]
pub struct Replicator {
    /// The log, synced or not.
    pub log: ReplicationLog,
    /// The state after the entries applied here: the synced ones, or at the head all.
    pub state: State,
    /// The last entry that is on this replica's disk.
    pub synced: Position,
    /// Up to here all members of the chain have synced.
    pub committed: u64,
    /// A snapshot that is being received.
    pub receiver: SnapshotReceiver,
    followers: BTreeMap<u32, FollowerProgress>,
    sender: SnapshotSender,
    snapshot_interval: usize,
    /// A snapshot that waits until all that it covers is committed.
    prepared_snapshot: Option<Snapshot>,
    is_writing_snapshot: bool,
}

impl Replicator {
    /// As recovered from a disk: everything in the log is synced, and what the snapshot covers is committed.
    pub fn new(log: ReplicationLog, state: State) -> Self {
        Replicator {
            synced: log.last(),
            committed: log.snapshot().at.seq,
            log,
            state,
            receiver: SnapshotReceiver::default(),
            followers: BTreeMap::new(),
            sender: SnapshotSender::default(),
            snapshot_interval: SNAPSHOT_INTERVAL_ENTRIES,
            prepared_snapshot: None,
            is_writing_snapshot: false,
        }
    }

    /// Makes snapshots after another number of entries.
    pub fn set_snapshot_interval(&mut self, entries: usize) {
        self.snapshot_interval = entries;
    }

    /// Whether all that the state holds is also on this replica's disk. Only then may it be read.
    pub fn state_is_synced(&self) -> bool {
        self.state.seq <= self.synced.seq
    }

    /// The next entry up to `seq` that is not applied to the state.
    pub fn next_to_apply(&self, seq: u64) -> Option<Entry> {
        let next = self.log.entries_after(self.state.seq).next();
        next.filter(|entry| entry.at.seq <= seq).cloned()
    }

    /// Entries up to this position are on the disk. What was dropped from the log meanwhile does not count.
    pub fn note_synced(&mut self, at: Position) {
        if self.log.has(&at) && at.seq > self.synced.seq {
            self.synced = at;
        }
    }

    /// Drops the entries after a number. The state may then be ahead of the log and has to be rebuilt.
    pub fn truncate_after(&mut self, seq: u64) -> Result<(), AlreadyCommitted> {
        if seq < self.committed || !self.log.truncate_after(seq) {
            return Err(AlreadyCommitted { after: seq });
        }
        if self.synced.seq > seq {
            self.synced = self.log.last();
        }
        if self.prepared_snapshot.as_ref().is_some_and(|prepared| prepared.at.seq > seq) {
            self.prepared_snapshot = None;
        }
        Ok(())
    }

    /// Takes a received snapshot in place of the log. Nothing of the new log is on the disk yet, and positions of the old
    /// one mean nothing in it.
    pub fn replace_log(&mut self, snapshot: Snapshot) {
        self.prepared_snapshot = None;
        self.committed = self.committed.max(snapshot.at.seq);
        self.log = ReplicationLog::after(snapshot);
        self.synced = Position::START;
    }

    /// Whether the head must take no more commands for now.
    pub fn has_too_much_uncommitted(&self) -> bool {
        self.log.bytes_after(self.committed) > MAX_UNCOMMITTED_BYTES
    }

    /// In another view there are other followers.
    pub fn forget_followers(&mut self) {
        self.followers.clear();
    }

    /// What was synced since, for a follower that is up to date. One that is not is sent what it lacks when its heartbeat
    /// says how far it is.
    pub fn new_entries_for(&mut self, follower: u32, view: u64) -> Vec<Append> {
        let sent = self.followers.get(&follower).and_then(|progress| progress.sent);
        match sent.and_then(|seq| self.log.position(seq)) {
            Some(previous) => self.entries_after(follower, view, previous, MESSAGES_PER_BURST),
            None => Vec::new(),
        }
    }

    /// What a follower lacks by its heartbeat.
    pub fn catch_up(&mut self, now: Duration, follower: u32, view: u64, heartbeat: &Heartbeat) -> CatchUp {
        let progress = self.followers.entry(follower).or_default();
        let before = progress.synced.replace(heartbeat.synced.clone());
        let sent = progress.sent;
        let is_stuck = before.as_ref() == Some(&heartbeat.synced);
        if !self.log.has(&heartbeat.synced) {
            return self.reconcile(now, follower, view, heartbeat, is_stuck);
        }
        let all_arrived = sent.is_none_or(|sent| sent <= heartbeat.synced.seq);
        if all_arrived || (is_stuck && heartbeat.synced.seq < self.synced.seq) {
            let previous = heartbeat.synced.clone();
            return CatchUp::Entries(self.entries_after(follower, view, previous, MESSAGES_PER_BURST));
        }
        CatchUp::Nothing
    }

    /// A follower whose last entry is not in this log: it is far behind, or has entries that were never committed. It is
    /// sent entries from the last position that both may have; if that did not help, from its snapshot, which both have
    /// unless it is too old; or else a snapshot.
    fn reconcile(&mut self, now: Duration, follower: u32, view: u64, heartbeat: &Heartbeat, is_stuck: bool) -> CatchUp {
        if heartbeat.synced.seq >= self.log.base().seq && !is_stuck {
            let candidate = self.log.last_common_candidate(&heartbeat.synced);
            return CatchUp::Entries(self.entries_after(follower, view, candidate, MESSAGES_PER_BURST));
        }
        if self.log.has(&heartbeat.snapshot_at) {
            let previous = heartbeat.snapshot_at.clone();
            return CatchUp::Entries(self.entries_after(follower, view, previous, usize::MAX));
        }
        CatchUp::Snapshot(self.sender.parts(now, view, self.log.snapshot(), &heartbeat.receiving_snapshot))
    }

    /// Synced entries after a position of this log, in so many messages at the most.
    fn entries_after(&mut self, follower: u32, view: u64, mut previous: Position, max_messages: usize) -> Vec<Append> {
        let mut messages = Vec::new();
        while messages.len() < max_messages {
            let entries = self.entries_of_one_message(previous.seq);
            let Some(last) = entries.last().map(|entry| entry.at.clone()) else { break };
            messages.push(Append { view, previous, entries: entries.into() });
            previous = last;
        }
        self.followers.entry(follower).or_default().sent = Some(previous.seq);
        messages
    }

    fn entries_of_one_message(&self, after: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let synced = self.log.entries_after(after).take_while(|entry| entry.at.seq <= self.synced.seq);
        let fitting = synced.take(MAX_ENTRIES_PER_MESSAGE).take_while(|entry| {
            let is_first = bytes == 0;
            bytes += entry.command.as_slice().len();
            is_first || bytes <= MAX_BYTES_PER_MESSAGE
        });
        fitting.cloned().collect()
    }

    /// Prepares a snapshot of the state when enough entries came since the last one.
    pub fn prepare_snapshot_when_due(&mut self) -> Result<(), sonic_rs::Error> {
        let last_snapshot = self.log.snapshot().at.seq;
        let is_due = self.log.entries_since_snapshot() >= self.snapshot_interval as u64
            || self.log.bytes_after(last_snapshot) >= SNAPSHOT_INTERVAL_BYTES;
        let is_under_way = self.is_writing_snapshot || self.prepared_snapshot.is_some();
        if !is_due || is_under_way || self.state.seq <= last_snapshot {
            return Ok(());
        }
        let Some(at) = self.log.position(self.state.seq) else { return Ok(()) };
        let state = self.state.encode()?;
        self.prepared_snapshot = Some(Snapshot { at, state: state.into() });
        Ok(())
    }

    /// The prepared snapshot, once all that it covers is committed: it is written now.
    pub fn take_committed_snapshot(&mut self) -> Option<Snapshot> {
        let committed = self.committed;
        let snapshot = self.prepared_snapshot.take_if(|snapshot| snapshot.at.seq <= committed)?;
        self.is_writing_snapshot = true;
        Some(snapshot)
    }

    /// A snapshot is on the disk: entries that it covers may go, unless a follower still wants them.
    pub fn on_snapshot_written(&mut self, now: Duration, snapshot: Snapshot) {
        self.is_writing_snapshot = false;
        if self.log.bytes_after(self.log.base().seq) > MAX_RETAINED_BYTES {
            self.sender.stop();
        }
        let wanted_after = self.sender.position_in_use(now).map_or(u64::MAX, |at| at.seq);
        self.log.compact(snapshot, wanted_after);
    }

    /// Feeds what decides later steps to `hasher`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        (&self.log, &self.synced, self.committed, &self.followers).hash(hasher);
        (&self.receiver, &self.prepared_snapshot, self.is_writing_snapshot, self.snapshot_interval).hash(hasher);
        self.sender.fingerprint(now, hasher);
        self.state.encode().unwrap_or_default().hash(hasher);
    }
}
