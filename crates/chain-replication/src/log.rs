//! The replication log of a control replica: a snapshot of the state, and the entries after it. Every entry carries the
//! view whose head made it, so that two logs can be compared: logs with an entry at the same position are the same up to
//! it.
use fleet_common::Bytes;
use std::collections::VecDeque;

fleet_common::messages! {
    /// Where an entry stands: the view whose head made it, and its number. Numbers begin with 1 and have no gap; views
    /// never go back in a log.
    pub struct Position {
        /// The number of the view.
        pub view: u64,
        /// The number of the entry.
        pub seq: u64,
    }

    /// A command at its position, encoded.
    pub struct Entry {
        /// Where it stands.
        pub at: Position,
        /// The command's JSON.
        pub command: Bytes,
    }

    /// The state after all entries up to a position, encoded.
    pub struct Snapshot {
        /// The position of the last entry that it covers.
        pub at: Position,
        /// The state's JSON.
        pub state: Bytes,
    }
}

impl Position {
    /// Before the first entry.
    pub const START: Position = Position { view: 0, seq: 0 };
}

/// The entries that a replica has, synced or not, and the newest snapshot that is on its disk.
#[derive(Clone, Debug, Hash)]
pub struct ReplicationLog {
    snapshot: Snapshot,
    /// The position before the first entry that is kept. It may lie before the snapshot.
    base: Position,
    entries: VecDeque<Entry>,
}

impl ReplicationLog {
    /// A log without entries that begins after a snapshot.
    pub fn after(snapshot: Snapshot) -> Self {
        let base = snapshot.at.clone();
        ReplicationLog { snapshot, base, entries: VecDeque::new() }
    }

    /// The position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or_else(|| self.base.clone(), |entry| entry.at.clone())
    }

    /// The position before the first entry that is kept.
    pub fn base(&self) -> &Position {
        &self.base
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The position with this number, if it is still known.
    pub fn position(&self, seq: u64) -> Option<Position> {
        if seq == self.base.seq {
            return Some(self.base.clone());
        }
        if seq == self.snapshot.at.seq {
            return Some(self.snapshot.at.clone());
        }
        let index = seq.checked_sub(self.base.seq + 1)?;
        self.entries.get(index as usize).map(|entry| entry.at.clone())
    }

    /// Whether this log has the same entries as any other with this position, up to it.
    pub fn has(&self, position: &Position) -> bool {
        self.position(position.seq).as_ref() == Some(position)
    }

    /// The last position up to `limit` that could be in a log whose last entry is there: entries of later views than
    /// that one cannot be in it.
    pub fn last_common_candidate(&self, limit: &Position) -> Position {
        let possible = |entry: &&Entry| entry.at.seq <= limit.seq && entry.at.view <= limit.view;
        self.entries.iter().rev().find(possible).map_or_else(|| self.base.clone(), |entry| entry.at.clone())
    }

    /// Adds the next entry.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.at.seq, self.last().seq + 1, "entries come without a gap");
        debug_assert!(entry.at.view >= self.last().view, "views never go back in a log");
        self.entries.push_back(entry);
    }

    /// Drops all entries after this number. What the snapshot covers cannot be dropped: then nothing changes, and the
    /// result is `false`.
    pub fn truncate_after(&mut self, seq: u64) -> bool {
        if seq < self.snapshot.at.seq.max(self.base.seq) {
            return false;
        }
        self.entries.truncate((seq - self.base.seq) as usize);
        true
    }

    /// The entries after this number, in order.
    pub fn entries_after(&self, seq: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(seq.saturating_sub(self.base.seq) as usize)
    }

    /// Takes a newer snapshot of this log's own state. Entries are kept back to the snapshot before it, for followers
    /// that have nearly caught up, and further back to `wanted_after`.
    pub fn compact(&mut self, snapshot: Snapshot, wanted_after: u64) {
        if snapshot.at.seq <= self.snapshot.at.seq || !self.has(&snapshot.at) {
            return;
        }
        let previous = std::mem::replace(&mut self.snapshot, snapshot).at;
        let keep_after = previous.seq.min(wanted_after);
        while self.base.seq < keep_after
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.at;
        }
    }

    /// How many entries there are after the snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.last().seq - self.snapshot.at.seq
    }

    /// How many bytes the commands after this number have.
    pub fn bytes_after(&self, seq: u64) -> usize {
        let after = self.entries.iter().rev().take_while(|entry| entry.at.seq > seq);
        after.map(|entry| entry.command.as_slice().len()).sum()
    }
}
