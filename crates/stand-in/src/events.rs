//! Cache events, numbered within an incarnation, kept for a while and given out by long polls.
use fleet_common::hash;
use fleet_common::http_in::Incoming;
use prefix_table::event::{Batch, Event, Numbered};
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

const KEPT: usize = 20_000;
const BATCH: usize = 2000;

#[derive(Default)]
struct Held {
    next: u64,
    events: VecDeque<Numbered>,
    lose: u64,
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

impl Events {
    pub fn new() -> Self {
        Events { incarnation: hash::unique().to_string(), held: Mutex::default(), news: Condvar::new() }
    }

    fn add(&self, event: Event) {
        let mut held = self.held.lock().unwrap();
        let seq = held.next;
        held.next += 1;
        if held.lose > 0 {
            held.lose -= 1;
        } else {
            held.events.push_back(Numbered { seq, event });
        }
        if held.events.len() > KEPT {
            held.events.pop_front();
        }
        self.news.notify_all();
    }

    /// Loses the next events, numbers and all, as a bad network would.
    pub fn lose(&self, events: u64) {
        self.held.lock().unwrap().lose = events;
    }

    pub fn stored(&self, hashes: &[u64], parent: Option<u64>, block_size: u64) {
        if !hashes.is_empty() {
            let block_hashes = hashes.iter().map(u64::to_string).collect();
            self.add(Event::BlockStored { block_hashes, parent_block_hash: parent.map(|p| p.to_string()), block_size });
        }
    }

    pub fn removed(&self, hashes: &[u64]) {
        if !hashes.is_empty() {
            self.add(Event::BlockRemoved { block_hashes: hashes.iter().map(u64::to_string).collect() });
        }
    }

    pub fn cleared(&self) {
        self.add(Event::AllBlocksCleared);
    }

    /// Answers `GET /events?from=N&incarnation=I&wait_ms=M`.
    pub fn answer(&self, incoming: Incoming, facts: impl Fn() -> (String, u64)) {
        let number = |name| field(&incoming.query, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let same = field(&incoming.query, "incarnation") == Some(self.incarnation.as_str());
        let from = if same { number("from") } else { 0 };
        let wait = Duration::from_millis(number("wait_ms").min(2000));
        let held = self.held.lock().unwrap();
        let (held, _) = self.news.wait_timeout_while(held, wait, |held| held.next <= from).unwrap();
        let start = held.events.partition_point(|e| e.seq < from);
        let events: Vec<Numbered> = held.events.iter().skip(start).take(BATCH).cloned().collect();
        let next = if events.len() == BATCH { events.last().map_or(held.next, |e| e.seq + 1) } else { held.next };
        drop(held);
        let (weights, load) = facts();
        let batch = Batch { incarnation: self.incarnation.clone(), weights, load, next, events };
        incoming.json(200, &sonic_rs::to_string(&batch).unwrap_or_default(), vec![]);
    }
}
