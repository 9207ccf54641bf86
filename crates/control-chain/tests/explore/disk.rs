//! A disk in an explored world: batches of records become durable in their order.
use control_chain::core::{Found, Record};
use control_chain::view::Meta;
use fleet_common::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// One batch of records, as a core asked for it.
#[derive(Clone, Hash)]
pub struct Batch {
    pub ticket: u64,
    pub records: Vec<Record>,
}

#[derive(Clone)]
pub struct Disk {
    pub meta: Meta,
    capture: Option<(u64, Bytes)>,
    entries: BTreeMap<u64, Bytes>,
    pub unsynced: VecDeque<Batch>,
}

impl Disk {
    pub fn with(meta: Meta) -> Self {
        Disk { meta, capture: None, entries: BTreeMap::new(), unsynced: VecDeque::new() }
    }

    pub fn write(&mut self, ticket: u64, records: Vec<Record>) {
        self.unsynced.push_back(Batch { ticket, records });
    }

    /// Syncs the oldest batch and gives its ticket.
    pub fn sync_oldest(&mut self) -> Option<u64> {
        let batch = self.unsynced.pop_front()?;
        batch.records.into_iter().for_each(|record| self.apply(record));
        Some(batch.ticket)
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Meta(meta) => self.meta = meta,
            Record::Entry(seq, bytes) => _ = self.entries.insert(seq, bytes),
            Record::Capture(seq, bytes) => {
                self.entries = self.entries.split_off(&(seq + 1));
                self.capture = Some((seq, bytes));
            }
            Record::Wipe => {
                self.entries.clear();
                self.capture = None;
            }
        }
    }

    /// The power goes: the first `kept` unsynced batches have reached the disk, the others have not.
    pub fn lose_power(&mut self, kept: usize) {
        (0..kept).for_each(|_| _ = self.sync_oldest());
        self.unsynced.clear();
    }

    /// Whether the synced part of the disk has this very entry, by itself or within a snapshot.
    pub fn has_entry(&self, seq: u64, number: u64, entry: &Bytes) -> bool {
        let name = format!("\"c{number}\"");
        let captured = self.capture.as_ref().filter(|(upto, _)| *upto >= seq);
        let in_capture = captured.is_some_and(|(_, state)| String::from_utf8_lossy(state.as_slice()).contains(&name));
        in_capture || self.entries.get(&seq) == Some(entry)
    }

    pub fn found(&self) -> Found {
        Found {
            meta: Some(self.meta.clone()),
            capture: self.capture.as_ref().map(|(seq, bytes)| (*seq, bytes.as_slice().to_vec())),
            entries: self.entries.iter().map(|(seq, bytes)| (*seq, bytes.clone())).collect(),
        }
    }
}

impl std::hash::Hash for Disk {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (&self.meta, &self.capture, &self.entries).hash(hasher);
        for batch in &self.unsynced {
            batch.records.hash(hasher);
        }
    }
}
