//! Parts of prompts in a table, and the full listing of a replica's cache, where it gives one.
use crate::event::{CacheEvent, CacheReport, parse_hashes};
use crate::replica_weights::ReplicaWeights;
use crate::table::PrefixTable;
use std::collections::HashSet;
use std::time::Duration;

/// A part counts as cached while this share, in percent, of the most tokens ever seen of it is cached.
const CACHED_PERCENT: u64 = 90;
/// Beyond so many sizes those of parts that are not cached are dropped.
const MAX_SIZES: usize = 16_384;

impl PrefixTable {
    /// Applies a replica's report: its events, a loss of events that it tells of, and the full listing of its cache, from
    /// which the table is then rebuilt. Returns how many events were new.
    pub fn apply_report(&mut self, now: Duration, report: &CacheReport) -> u64 {
        let new_events = self.apply_with_loss(now, &report.batch, report.events_lost);
        self.weights = ReplicaWeights::from_report(report);
        if let Some(listing) = &report.full_listing {
            self.rebuild(listing);
        }
        new_events
    }

    /// Contains exactly what is listed, without doubt.
    fn rebuild(&mut self, listing: &[CacheEvent]) {
        let listed: HashSet<u64> = listing.iter().flat_map(hashes_of).collect();
        let gone: Vec<u64> = self.entries.keys().filter(|hash| !listed.contains(*hash)).copied().collect();
        let remaining = self.items() - gone.len();
        for hash in &gone {
            self.remove(*hash);
        }
        for event in listing {
            self.apply_event(event);
        }
        self.changes_since_push += gone.len() as u64 + self.items().abs_diff(remaining) as u64;
    }

    /// Stores a part while most of it is cached, and removes it when less is. A table that began as a snapshot knows no
    /// sizes: the first event of a part that it contains is then most likely of a loss.
    pub(crate) fn update_part(&mut self, hash: u64, tokens: u64) {
        let is_from_snapshot = self.entries.contains_key(&hash) && !self.largest_tokens.contains_key(&hash);
        let largest = self.largest_tokens.entry(hash).or_default();
        *largest = tokens.max(*largest);
        let is_mostly_cached = tokens > 0 && tokens * 100 >= *largest * CACHED_PERCENT;
        match is_mostly_cached && !is_from_snapshot {
            true => self.store(hash),
            false => self.remove(hash),
        }
        if self.largest_tokens.len() > MAX_SIZES.max(2 * self.entries.len()) {
            self.largest_tokens.retain(|hash, _| self.entries.contains_key(hash));
        }
    }
}

/// The hashes that an event says are cached.
fn hashes_of(event: &CacheEvent) -> Vec<u64> {
    match event {
        CacheEvent::BlockStored { block_hashes, .. } => parse_hashes(block_hashes),
        CacheEvent::PartCached { part_hash, tokens } if *tokens > 0 => vec![*part_hash],
        _ => Vec::new(),
    }
}
