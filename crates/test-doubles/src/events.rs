//! Cache events, numbered within an incarnation, kept for a while and given out by long polls.
use fleet_common::hash;
use fleet_common::http_server::Incoming;
use prefix_table::event::{CacheEvent, EventBatch, NumberedEvent};
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

const KEPT: usize = 20_000;
const BATCH: usize = 2000;

#[derive(Default)]
struct Held {
    next: u64,
    /// Each with when it may be told.
    events: VecDeque<(Instant, NumberedEvent)>,
    lose: u64,
    late: Duration,
}

pub struct Events {
    pub incarnation: String,
    held: Mutex<Held>,
    news: Condvar,
}

/// A field of a query such as `from=3&wait_ms=200`.
pub fn field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Held {
    /// Whether the next event from there on may not be told yet.
    fn untold(&self, from: u64) -> bool {
        let next = self.events.iter().find(|(_, e)| e.sequence >= from);
        next.is_some_and(|(due, _)| *due > Instant::now())
    }
}

impl Events {
    pub fn new() -> Self {
        Events { incarnation: hash::unique_id().to_string(), held: Mutex::default(), news: Condvar::new() }
    }

    fn add(&self, event: CacheEvent) {
        let mut held = self.held.lock().unwrap();
        let seq = held.next;
        held.next += 1;
        if held.lose > 0 {
            held.lose -= 1;
        } else {
            let due = Instant::now() + held.late;
            held.events.push_back((due, NumberedEvent { sequence: seq, event }));
        }
        if held.events.len() > KEPT {
            held.events.pop_front();
        }
        self.news.notify_all();
    }

    /// Tells of events only so much later.
    pub fn late(&self, by: Duration) {
        self.held.lock().unwrap().late = by;
    }

    /// Loses the next events, numbers and all, as a bad network would.
    pub fn lose(&self, events: u64) {
        self.held.lock().unwrap().lose = events;
    }

    pub fn stored(&self, hashes: &[u64], parent: Option<u64>, block_size: u64) {
        if !hashes.is_empty() {
            let block_hashes = hashes.iter().map(u64::to_string).collect();
            self.add(CacheEvent::BlockStored {
                block_hashes,
                parent_block_hash: parent.map(|p| p.to_string()),
                block_size,
            });
        }
    }

    pub fn removed(&self, hashes: &[u64]) {
        if !hashes.is_empty() {
            self.add(CacheEvent::BlockRemoved { block_hashes: hashes.iter().map(u64::to_string).collect() });
        }
    }

    pub fn cleared(&self) {
        self.add(CacheEvent::AllBlocksCleared);
    }

    /// Answers `GET /events?from=N&incarnation=I&wait_ms=M`.
    pub fn answer(&self, incoming: Incoming, facts: impl Fn() -> (String, u64)) {
        let number = |name| field(&incoming.query, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let same = field(&incoming.query, "incarnation") == Some(self.incarnation.as_str());
        let from = if same { number("from") } else { 0 };
        let wait = Duration::from_millis(number("wait_ms").min(2000));
        let held = self.held.lock().unwrap();
        let (held, _) =
            self.news.wait_timeout_while(held, wait, |held| held.next <= from || held.untold(from)).unwrap();
        let start = held.events.partition_point(|(_, e)| e.sequence < from);
        let now = Instant::now();
        let told = held.events.iter().skip(start).take_while(|(due, _)| *due <= now).take(BATCH);
        let events: Vec<NumberedEvent> = told.map(|(_, e)| e.clone()).collect();
        // What is not told yet is asked for again.
        let next = held.events.get(start + events.len()).map_or(held.next, |(_, e)| e.sequence);
        drop(held);
        let (weights, load) = facts();
        let batch = EventBatch { incarnation: self.incarnation.clone(), weights, load, next_sequence: next, events };
        incoming.respond_json(200, &sonic_rs::to_string(&batch).unwrap_or_default(), vec![]);
    }
}
