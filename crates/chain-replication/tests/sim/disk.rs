//! A disk that loses what was not synced when the power goes.
use chain_replication::hard_state::HardState;
use chain_replication::log::{Entry, Position, Snapshot};
use chain_replication::message::Accept;
use chain_replication::step::{Record, RecoveredDisk};
use chain_replication::write_queue::WriteId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Clone)]
pub struct Disk {
    meta: HardState,
    snapshot: Option<Snapshot>,
    entries: BTreeMap<u64, Entry>,
    pending: VecDeque<(WriteId, Vec<Record>)>,
    /// Refuses writes, until it is healed or for so long.
    pub failed: bool,
    pub fails_until: Option<Duration>,
    pub stalled_until: Duration,
    /// Each sync takes this much longer.
    pub sync_delay: Duration,
}

impl Disk {
    pub fn with(meta: HardState) -> Self {
        Disk {
            meta,
            snapshot: None,
            entries: BTreeMap::new(),
            pending: VecDeque::new(),
            failed: false,
            fails_until: None,
            stalled_until: Duration::ZERO,
            sync_delay: Duration::ZERO,
        }
    }

    /// Writes down that this replica accepted a next view, and stopped before it could say so.
    pub fn accept(&mut self, accept: Accept) {
        self.meta.accept(accept);
    }

    pub fn incarnation(&self) -> u64 {
        self.meta.incarnation
    }

    pub fn keep(&mut self, id: WriteId, records: Vec<Record>) {
        self.pending.push_back((id, records));
    }

    pub fn sync(&mut self, up_to: WriteId) {
        while !self.failed && self.pending.front().is_some_and(|(held, _)| *held <= up_to) {
            let (_, records) = self.pending.pop_front().unwrap();
            records.into_iter().for_each(|record| self.apply(record));
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::HardState(meta) => self.meta = meta,
            Record::Entry(entry) => _ = self.entries.insert(entry.at.seq, entry),
            Record::Snapshot(snapshot) => {
                self.entries = self.entries.split_off(&(snapshot.at.seq + 1));
                self.snapshot = Some(snapshot);
            }
            Record::Truncate(seq) => _ = self.entries.split_off(&(seq + 1)),
        }
    }

    /// Whether what is synced here holds an entry at this position, by itself or in a snapshot.
    pub fn holds(&self, at: &Position) -> bool {
        let covered = self.snapshot.as_ref().is_some_and(|snapshot| snapshot.at.seq >= at.seq);
        covered || self.entries.get(&at.seq).is_some_and(|entry| entry.at == *at)
    }

    /// Whether what is synced here holds an entry with this number, or a snapshot that covers it.
    pub fn holds_number(&self, seq: u64) -> bool {
        let covered = self.snapshot.as_ref().is_some_and(|snapshot| snapshot.at.seq >= seq);
        covered || self.entries.contains_key(&seq)
    }

    /// Of the writes not synced the first few may have reached the disk, the rest has not.
    pub fn power_loss(&mut self, keep: u64) {
        if !self.failed {
            for _ in 0..keep {
                if let Some((_, records)) = self.pending.pop_front() {
                    records.into_iter().for_each(|record| self.apply(record));
                }
            }
        }
        self.pending.clear();
        self.stalled_until = Duration::ZERO;
    }

    pub fn found(&self) -> RecoveredDisk {
        RecoveredDisk {
            hard_state: Some(self.meta.clone()),
            snapshot: self.snapshot.clone(),
            entries: self.entries.values().cloned().collect(),
        }
    }
}
