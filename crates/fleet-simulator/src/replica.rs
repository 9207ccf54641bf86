//! A model replica: a cache of blocks that remember their wall and weights, events, orders under
//! fences, and runs whose record the judges read. The store is one that only keeps blocks.
use crate::cores::ms;
use crate::shape::CHUNK_INTERVAL;
use crate::wire::{Endpoint, Message, ReplicaRequest};
use crate::world::World;
use prefix_table::event::{CacheEvent, EventBatch, NumberedEvent};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const CACHE_BLOCKS: usize = 600;
pub(crate) const SLOTS: usize = 16;
const LOAD_MS: u64 = 2500;
pub(crate) const POLL_WAIT: Duration = ms(200);

/// Under which wall and weights a block was made.
pub(crate) type BlockOrigin = (String, String);

/// One run, as the replica records it.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaRun {
    pub request: ReplicaRequest,
    pub started_at: Duration,
    pub ended_at: Option<Duration>,
    /// Blocks taken from elsewhere that were made under another wall or other weights.
    pub foreign_blocks: usize,
}

pub(crate) struct ActiveRun {
    pub run: usize,
    pub request: ReplicaRequest,
    pub next_chunk_at: Duration,
    pub chunks: u64,
}

pub(crate) struct Replica {
    pub at: usize,
    pub up: bool,
    pub frozen: Duration,
    pub frozen_intervals: Vec<(Duration, Duration)>,
    pub incarnation: u64,
    pub weights: String,
    pub loading: Option<(String, Duration)>,
    /// How long loading takes; `None` if it never comes to an end.
    pub load_time: Option<Duration>,
    /// Events from now on: so many in a hundred lost, and how late they are told.
    pub event_loss_percent: u64,
    /// So many requests in a hundred are refused as if it was full.
    pub rejection_percent: u64,
    pub event_delay: Duration,
    pub(crate) fencing_token: u64,
    pub(crate) cache: BTreeMap<u64, BlockOrigin>,
    pub(crate) oldest: VecDeque<u64>,
    events: VecDeque<(Duration, NumberedEvent)>,
    next_event: u64,
    pub(crate) polls: Vec<(usize, String, u64, u64, Duration)>,
    pub(crate) active_runs: Vec<ActiveRun>,
    pub runs: Vec<ReplicaRun>,
    /// Orders taken: when, by whom, under which fence.
    pub orders: Vec<(Duration, usize, u64)>,
}

impl Replica {
    pub fn new(at: usize) -> Self {
        Replica {
            at,
            up: true,
            frozen: Duration::ZERO,
            frozen_intervals: Vec::new(),
            incarnation: 1,
            weights: String::new(),
            loading: None,
            load_time: Some(ms(LOAD_MS)),
            event_loss_percent: 0,
            rejection_percent: 0,
            event_delay: Duration::ZERO,
            fencing_token: 0,
            cache: BTreeMap::new(),
            oldest: VecDeque::new(),
            events: VecDeque::new(),
            next_event: 0,
            polls: Vec::new(),
            active_runs: Vec::new(),
            runs: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// The process ends; what it ran ends with it.
    pub fn crash(&mut self, now: Duration) {
        for going in self.active_runs.drain(..) {
            self.runs[going.run].ended_at = Some(now);
        }
        (self.up, self.weights, self.loading) = (false, String::new(), None);
        self.cache.clear();
        self.oldest.clear();
        self.events.clear();
        self.polls.clear();
    }

    /// It stands still until then.
    pub fn freeze(&mut self, now: Duration, until: Duration) {
        self.frozen = until;
        self.frozen_intervals.push((now, until));
    }

    /// Whether it stood still at a moment, or had only just woken.
    pub fn was_frozen_at(&self, moment: Duration) -> bool {
        self.frozen_intervals.iter().any(|(from, until)| *from <= moment && moment <= *until + ms(20))
    }

    pub fn start(&mut self) {
        self.up = true;
        self.orders.clear();
        self.incarnation += 1;
        (self.next_event, self.fencing_token) = (0, 0);
    }

    fn emit(&mut self, now: Duration, event: CacheEvent, lost: bool) {
        let seq = self.next_event;
        self.next_event += 1;
        if !lost {
            self.events.push_back((now + self.event_delay, NumberedEvent { sequence: seq, event }));
        }
        if self.events.len() > 400 {
            self.events.pop_front();
        }
    }

    pub(crate) fn leading_blocks(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|hash| self.cache.contains_key(hash)).count()
    }

    pub(crate) fn store_blocks(&mut self, now: Duration, chain: &[u64], made: &BlockOrigin, lost: bool) {
        let new: Vec<u64> = chain.iter().filter(|hash| !self.cache.contains_key(hash)).copied().collect();
        for hash in &new {
            self.cache.insert(*hash, made.clone());
            self.oldest.push_back(*hash);
        }
        let mut gone = Vec::new();
        while self.cache.len() > CACHE_BLOCKS {
            gone.extend(self.oldest.pop_front().filter(|hash| self.cache.remove(hash).is_some()));
        }
        let texts = |hashes: &[u64]| hashes.iter().map(u64::to_string).collect::<Vec<_>>();
        if !new.is_empty() {
            let stored = CacheEvent::BlockStored { block_hashes: texts(&new), parent_block_hash: None, block_size: 64 };
            self.emit(now, stored, lost);
        }
        if !gone.is_empty() {
            self.emit(now, CacheEvent::BlockRemoved { block_hashes: texts(&gone) }, lost);
        }
    }

    fn batch(&self, now: Duration, from: u64) -> EventBatch {
        let told = |(due, numbered): &&(Duration, NumberedEvent)| *due <= now && numbered.sequence >= from;
        let events: Vec<NumberedEvent> = self.events.iter().filter(told).map(|(_, n)| n.clone()).collect();
        let late = self.events.iter().find(|(due, _)| *due > now).map(|(_, n)| n.sequence);
        let next = late.unwrap_or(self.next_event).max(from);
        let load = self.active_runs.len() as u64;
        let weights = if self.loading.is_some() { String::new() } else { self.weights.clone() };
        EventBatch { incarnation: self.incarnation.to_string(), weights, load, next_sequence: next, events }
    }
}

impl Replica {
    /// Blocks put into the store.
    pub(crate) fn store_copy(&mut self, now: Duration, chain: &[u64], made: &BlockOrigin) {
        if self.up && now >= self.frozen {
            self.store_blocks(now, chain, made, false);
        }
    }
}

impl World {
    pub(crate) fn replica_step(&mut self, at: usize) {
        let now = self.now();
        let replica = &mut self.replicas[at];
        if !replica.up || now < replica.frozen {
            return;
        }
        if let Some((name, _)) = replica.loading.take_if(|(_, until)| *until <= now) {
            replica.weights = name;
            replica.cache.clear();
            replica.oldest.clear();
            replica.emit(now, CacheEvent::AllBlocksCleared, false);
            // What ran under the old weights is not carried on under the new ones.
            for going in std::mem::take(&mut replica.active_runs) {
                self.replicas[at].runs[going.run].ended_at = Some(now);
                let broken = Message::ConnectionFailed(going.request.stream, true);
                self.send(Endpoint::Replica(at), Endpoint::Router(going.request.router), broken);
            }
        }
        let mut out = Vec::new();
        let replica = &mut self.replicas[at];
        for going in &mut replica.active_runs {
            let over = now > replica.runs[going.run].started_at + going.request.budget;
            while going.next_chunk_at <= now && going.chunks <= going.request.tokens && !over {
                let (stream, number) = (going.request.stream, going.chunks);
                out.push((going.request.router, Message::Chunk(stream, number, number == going.request.tokens)));
                going.chunks += 1;
                going.next_chunk_at += CHUNK_INTERVAL;
            }
            if over || going.chunks > going.request.tokens {
                replica.runs[going.run].ended_at = Some(now);
                let end = if over {
                    Message::ConnectionFailed(going.request.stream, true)
                } else {
                    Message::StreamEnded(going.request.stream)
                };
                out.push((going.request.router, end));
            }
        }
        let runs = &replica.runs;
        replica.active_runs.retain(|going| runs[going.run].ended_at.is_none());
        let polls = std::mem::take(&mut replica.polls);
        let (due, waiting): (Vec<_>, Vec<_>) = polls
            .into_iter()
            .partition(|(_, _, _, from, until)| now >= *until || !replica.batch(now, *from).events.is_empty());
        replica.polls = waiting;
        let answers: Vec<_> =
            due.into_iter().map(|(by, id, fence, from, _)| (by, id, fence, replica.batch(now, from))).collect();
        for (by, id, fence, batch) in answers {
            self.send(Endpoint::Replica(at), Endpoint::Index(by), Message::Polled(id, fence, Ok(batch)));
        }
        for (router, message) in out {
            self.send(Endpoint::Replica(at), Endpoint::Router(router), message);
        }
    }
}
