//! A simulated replica whose cache is known exactly, with the index's table of it.
use crate::world::Parameters;
use fleet_common::rpc::Filter;
use prefix_table::event::{CacheEvent, EventBatch, NumberedEvent};
use prefix_table::filter::FilterCopy;
use prefix_table::table::{self, FilterPush, PrefixTable};
use routing::session_placement::ReplicaStatus;
use routing::transfer_source::FilterCopies;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const EVENT_DELAY: Duration = Duration::from_millis(60);

pub(crate) struct Replica {
    pub(crate) status: ReplicaStatus,
    pub(crate) cache: VecDeque<u64>,
    pub(crate) last_used: BTreeMap<u64, u64>,
    pub(crate) clock: u64,
    pub(crate) seq: u64,
    pub(crate) busy: Vec<Duration>,
    pub(crate) events: VecDeque<(Duration, NumberedEvent)>,
    pub(crate) table: PrefixTable,
}

impl Replica {
    pub(crate) fn leading_blocks(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|b| self.last_used.contains_key(b)).count()
    }

    pub(crate) fn emit(&mut self, now: Duration, event: CacheEvent, lose: bool) {
        if !lose {
            self.events.push_back((now + EVENT_DELAY, NumberedEvent { sequence: self.seq, event }));
        }
        self.seq += 1;
    }

    /// Uses blocks; forgets the least lately used beyond the cache's size.
    pub(crate) fn use_blocks(&mut self, now: Duration, blocks: &[u64], size: usize, lose: impl Fn(u64) -> bool) {
        let mut stored = Vec::new();
        for block in blocks.iter().rev() {
            self.clock += 1;
            if self.last_used.insert(*block, self.clock).is_none() {
                stored.push(block.to_string());
            }
            self.cache.push_back(*block);
        }
        if !stored.is_empty() {
            let event = CacheEvent::BlockStored { block_hashes: stored, parent_block_hash: None, block_size: 64 };
            self.emit(now, event, lose(self.seq));
        }
        let mut gone = Vec::new();
        let mut uses: BTreeMap<u64, u64> = BTreeMap::new();
        if self.cache.len() > size * 8 || self.last_used.len() > size {
            self.cache.iter().for_each(|b| *uses.entry(*b).or_default() += 1);
        }
        while self.last_used.len() > size {
            let Some(block) = self.cache.pop_front() else { break };
            let left = uses.get_mut(&block).map_or(0, |n| {
                *n -= 1;
                *n
            });
            if left == 0 && self.last_used.remove(&block).is_some() {
                gone.push(block.to_string());
            }
        }
        if !gone.is_empty() {
            self.emit(now, CacheEvent::BlockRemoved { block_hashes: gone }, lose(self.seq));
        }
    }
}

pub(crate) fn new_replica(at: usize, knobs: Parameters) -> Replica {
    let seat = ReplicaStatus {
        id: format!("r{}", at + 1),
        address: String::new(),
        zone: ["a", "b", "c", "d"][at % 4].into(),
        service: String::new(),
        model: "m".into(),
        weights: "w".into(),
        draining: false,
        unavailable: false,
        load: 0,
        minimum_version: Default::default(),
    };
    let shape = table::TableSize { bits: knobs.bits, hashes: knobs.hashes };
    Replica {
        status: seat,
        cache: VecDeque::new(),
        last_used: BTreeMap::new(),
        clock: 0,
        seq: 0,
        busy: Vec::new(),
        events: VecDeque::new(),
        table: PrefixTable::new(shape, Duration::ZERO),
    }
}

pub(crate) fn filter_copy(replica: &str, table: &mut PrefixTable) -> FilterCopy {
    let FilterPush { filter, version } = table.next_push();
    let (bytes, bit_count, hash_count) = filter.into_parts();
    let filter = Filter {
        replica: replica.into(),
        index: "i".into(),
        fencing_token: 1,
        version,
        weights: "w".into(),
        bit_count,
        hash_count,
        items: 0,
        bits: bytes.into(),
    };
    FilterCopy::from_filter(filter).unwrap_or_else(|| unreachable!("a filter just made is well formed"))
}

/// Mirrors that say just what is held of these blocks.
pub(crate) fn exact_filter_copies(replicas: &[Replica], blocks: &[u64]) -> FilterCopies {
    let shape = table::TableSize { bits: 1 << 14, hashes: 8 };
    let known = |replica: &Replica| {
        let held: Vec<String> = blocks[..replica.leading_blocks(blocks)].iter().map(u64::to_string).collect();
        let event = CacheEvent::BlockStored { block_hashes: held, parent_block_hash: None, block_size: 64 };
        let events = vec![NumberedEvent { sequence: 0, event }];
        let mut table = PrefixTable::new(shape, Duration::ZERO);
        table.apply(
            Duration::ZERO,
            &EventBatch { incarnation: "1".into(), weights: "w".into(), load: 0, next_sequence: 1, events },
        );
        (replica.status.id.clone(), Arc::new(filter_copy(&replica.status.id, &mut table)))
    };
    replicas.iter().map(known).collect()
}
