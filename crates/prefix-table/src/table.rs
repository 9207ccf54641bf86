//! The table of one replica's cached prefixes: a counting filter, and beside it the exact set of hashes, which makes sure
//! that nothing is removed from the filter that was not added to it.
use crate::counting_filter::CountingFilter;
use crate::event::{CacheEvent, EventBatch, parse_hashes};
use crate::filter::BloomFilter;
use crate::replica_weights::ReplicaWeights;
use crate::table_size;
use fleet_common::rpc::audit;
use indexmap::{IndexMap, IndexSet};
use std::collections::HashMap;
use std::time::Duration;

/// A doubtful entry is removed after so long unless an event names it again.
pub const DOUBTFUL_FOR: Duration = Duration::from_secs(10);
/// All entries of a replica that was not heard for so long are doubtful.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(15);
/// So many hashes that were removed are remembered, to tell stale filters from collisions.
const MAX_RECENTLY_REMOVED: usize = 8192;
/// The oldest of them are dropped so many at a time: each alone would move all others.
const REMOVED_PER_DROP: usize = MAX_RECENTLY_REMOVED / 8;

/// The size of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSize {
    /// The most bits; where the number of hashes is fixed, the number of bits.
    pub bits: u32,
    /// The number of hashes; 0 to choose both numbers by the number of items.
    pub hashes: u8,
}

/// The event that a table wants next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextEvent<'a> {
    /// The incarnation of the replica that the table knows; empty when it knows none.
    pub incarnation: &'a str,
    /// Its number.
    pub sequence: u64,
}

/// A filter to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FilterPush {
    /// The filter.
    pub filter: BloomFilter,
    /// The version.
    pub version: u64,
}

/// The table of one replica.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    pub(crate) size: TableSize,
    pub(crate) counting_filter: CountingFilter,
    /// All hashes that are cached, and since when each has been doubtful.
    pub(crate) entries: IndexMap<u64, Option<Duration>>,
    pub(crate) recently_removed: IndexSet<u64>,
    /// The largest number of tokens seen of each part.
    pub(crate) largest_tokens: HashMap<u64, u64>,
    pub(crate) incarnation: String,
    pub(crate) weights: ReplicaWeights,
    pub(crate) next_sequence: u64,
    last_report_at: Duration,
    /// How many entries changed since the filter was last sent.
    pub(crate) changes_since_push: u64,
    pub(crate) version: u64,
    /// The first version that says nothing of what was cached before the table was last emptied.
    pub(crate) minimum_version: u64,
    gaps: u64,
}

impl PrefixTable {
    /// An empty table.
    pub fn new(size: TableSize, now: Duration) -> Self {
        PrefixTable {
            size,
            counting_filter: table_size::empty_filter(size),
            entries: IndexMap::new(),
            recently_removed: IndexSet::new(),
            largest_tokens: HashMap::new(),
            incarnation: String::new(),
            weights: ReplicaWeights::default(),
            next_sequence: 0,
            last_report_at: now,
            changes_since_push: 0,
            version: 0,
            minimum_version: 1,
            gaps: 0,
        }
    }

    /// Applies a batch of events. Returns how many were new.
    pub fn apply(&mut self, now: Duration, batch: &EventBatch) -> u64 {
        self.apply_with_loss(now, batch, false)
    }

    /// Applies a batch of events; `events_lost` says that events before it will never come.
    pub(crate) fn apply_with_loss(&mut self, now: Duration, batch: &EventBatch, events_lost: bool) -> u64 {
        self.last_report_at = now;
        if events_lost {
            self.mark_all_doubtful(now);
        }
        if batch.incarnation != self.incarnation {
            self.start_incarnation(batch);
        }
        self.weights = ReplicaWeights::of_only_model(&batch.weights);
        let mut new_events = 0;
        for numbered in &batch.events {
            if numbered.sequence < self.next_sequence {
                continue;
            }
            self.skip_to(now, numbered.sequence, events_lost);
            self.next_sequence = numbered.sequence + 1;
            new_events += 1;
            self.apply_event(&numbered.event);
        }
        self.skip_to(now, batch.next_sequence, events_lost);
        self.changes_since_push += new_events;
        new_events
    }

    fn start_incarnation(&mut self, batch: &EventBatch) {
        self.clear();
        self.incarnation = batch.incarnation.clone();
        self.next_sequence = batch.events.first().map_or(batch.next_sequence, |first| first.sequence);
    }

    /// Goes on at a later event than the next: those between are missing. Where their loss is known already, entries are
    /// doubtful as it is.
    fn skip_to(&mut self, now: Duration, sequence: u64, loss_is_known: bool) {
        if sequence <= self.next_sequence {
            return;
        }
        if !loss_is_known {
            self.mark_all_doubtful(now);
        }
        self.next_sequence = sequence;
    }

    pub(crate) fn apply_event(&mut self, event: &CacheEvent) {
        match event {
            CacheEvent::BlockStored { block_hashes, .. } => {
                for hash in parse_hashes(block_hashes) {
                    self.store(hash);
                }
            }
            CacheEvent::BlockRemoved { block_hashes } => {
                for hash in parse_hashes(block_hashes) {
                    self.remove(hash);
                }
            }
            CacheEvent::AllBlocksCleared => self.clear(),
            CacheEvent::PartCached { part_hash, tokens } => self.update_part(*part_hash, *tokens),
        }
    }

    /// Lets time pass: entries become doubtful when the replica is silent, and are removed when they were doubtful for too
    /// long. Returns how many were removed.
    pub fn expire(&mut self, now: Duration) -> u64 {
        if now.saturating_sub(self.last_report_at) > REPORT_TIMEOUT {
            self.last_report_at = now;
            self.mark_all_doubtful(now);
        }
        let has_expired =
            |since: &Option<Duration>| since.is_some_and(|since| now.saturating_sub(since) > DOUBTFUL_FOR);
        let expired: Vec<u64> =
            self.entries.iter().filter(|(_, since)| has_expired(since)).map(|(hash, _)| *hash).collect();
        for hash in &expired {
            self.remove(*hash);
        }
        self.changes_since_push += expired.len() as u64;
        expired.len() as u64
    }

    fn mark_all_doubtful(&mut self, now: Duration) {
        self.gaps += 1;
        for doubtful_since in self.entries.values_mut() {
            doubtful_since.get_or_insert(now);
        }
    }

    pub(crate) fn store(&mut self, hash: u64) {
        self.recently_removed.swap_remove(&hash);
        if self.entries.insert(hash, None).is_none() {
            self.counting_filter.add(hash);
            self.resize_if_needed();
        }
    }

    pub(crate) fn remove(&mut self, hash: u64) {
        if self.entries.swap_remove(&hash).is_none() {
            return;
        }
        self.counting_filter.remove(hash);
        self.recently_removed.insert(hash);
        if self.recently_removed.len() > MAX_RECENTLY_REMOVED + REMOVED_PER_DROP {
            self.recently_removed.drain(..REMOVED_PER_DROP);
        }
        self.resize_if_needed();
    }

    fn clear(&mut self) {
        for hash in std::mem::take(&mut self.entries).into_keys() {
            self.recently_removed.insert(hash);
        }
        self.counting_filter = table_size::empty_filter(self.size);
        self.minimum_version = self.version + 1;
    }

    /// How many blocks and parts are cached.
    pub fn items(&self) -> usize {
        self.entries.len()
    }

    /// The event that the table wants next.
    pub fn next_event(&self) -> NextEvent<'_> {
        NextEvent { incarnation: &self.incarnation, sequence: self.next_sequence }
    }

    /// The weights of the replica's only model, by its own report; empty where it has several.
    pub fn weights(&self) -> &str {
        self.weights.only()
    }

    /// The weights that the replica runs of a model, by its own report.
    pub fn weights_of(&self, model: &str) -> &str {
        self.weights.of(model)
    }

    /// How often events were missing.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// How many entries changed since the filter was last sent.
    pub fn changes_since_push(&self) -> u64 {
        self.changes_since_push
    }

    /// The present filter.
    pub fn filter(&self) -> BloomFilter {
        self.counting_filter.filter()
    }

    /// The filter to be sent, under a new version. The changes towards the next push are counted from here.
    pub fn next_push(&mut self) -> FilterPush {
        self.changes_since_push = 0;
        self.version += 1;
        FilterPush { filter: self.filter(), version: self.version }
    }

    /// The verdict on a transfer (one of `fleet_common`'s): whether the block was cached, and if not, why a filter named it.
    pub fn audit(&self, block: u64) -> u8 {
        if self.entries.contains_key(&block) {
            audit::CACHED
        } else if self.recently_removed.contains(&block) {
            audit::STALE
        } else {
            audit::COLLISION
        }
    }
}
