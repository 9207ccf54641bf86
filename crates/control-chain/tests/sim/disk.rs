//! A disk that loses what was not synced when the power goes.
use control_chain::core::{Found, Record};
use control_chain::view::Meta;
use fleet_common::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Clone)]
pub struct Disk {
    meta: Meta,
    capture: Option<(u64, Bytes)>,
    entries: BTreeMap<u64, Bytes>,
    pending: VecDeque<(u64, Vec<Record>)>,
    /// Refuses writes, until it is healed or for so long.
    pub failed: bool,
    pub fails_until: Option<Duration>,
    pub stalled_until: Duration,
}

impl Disk {
    pub fn with(meta: Meta) -> Self {
        Disk {
            meta,
            capture: None,
            entries: BTreeMap::new(),
            pending: VecDeque::new(),
            failed: false,
            fails_until: None,
            stalled_until: Duration::ZERO,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.meta.incarnation
    }

    pub fn keep(&mut self, ticket: u64, records: Vec<Record>) {
        self.pending.push_back((ticket, records));
    }

    pub fn sync(&mut self, ticket: u64) {
        while !self.failed && self.pending.front().is_some_and(|(held, _)| *held <= ticket) {
            let (_, records) = self.pending.pop_front().unwrap();
            records.into_iter().for_each(|record| self.apply(record));
        }
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

    /// Of the tickets not synced the first few may have reached the disk, the rest has not.
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

    pub fn found(&self) -> Found {
        Found {
            meta: Some(self.meta.clone()),
            capture: self.capture.as_ref().map(|(seq, bytes)| (*seq, bytes.as_slice().to_vec())),
            entries: self.entries.iter().map(|(seq, bytes)| (*seq, bytes.clone())).collect(),
        }
    }
}
