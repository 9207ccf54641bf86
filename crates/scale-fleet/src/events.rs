//! Hollow replicas: cache events made up at a given rate, each a function of its number alone, so that a
//! table that changes hands goes on where it was.
use fleet_common::hash;
use prefix_index::{Batch, OrderAsk, Ordered, PollAsk, Replicas, Report};
use prefix_table::event::{Event, Numbered};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const TOKENS: u64 = 64;
/// A replica's long poll ends after this much, as with this project's own replicas.
const POLL: Duration = Duration::from_millis(200);

/// The event with this number: first so many parts are kept, then by turns a new one comes and the oldest goes.
/// ```
/// use prefix_table::event::Event;
/// let part = |event| match event { Event::PartKept { part_hash, tokens } => (part_hash, tokens), _ => (0, 0) };
/// let (first, _) = part(scale_fleet::events::event(9, 2, 0));
/// assert_eq!(part(scale_fleet::events::event(9, 2, 3)), (first, 0));
/// ```
pub fn event(seed: u64, parts: u64, number: u64) -> Event {
    let (part, tokens) = match number.checked_sub(parts) {
        None => (number, TOKENS),
        Some(n) if n % 2 == 0 => (parts + n / 2, TOKENS),
        Some(n) => (n / 2, 0),
    };
    Event::PartKept { part_hash: hash::mix(seed ^ hash::mix(part + 1)), tokens }
}

/// Hollow replicas behind an index node.
pub struct Hollow {
    /// Events a second of each replica.
    pub rate: f64,
    pub parts: u64,
    pub seed: u64,
    pub polls: AtomicU64,
    pub events: AtomicU64,
    polled: Mutex<HashMap<String, Instant>>,
}

impl Hollow {
    /// Replicas that keep so many parts each and change at this rate.
    /// ```
    /// assert_eq!(scale_fleet::events::Hollow::new(10.0, 5, 1).parts, 5);
    /// ```
    pub fn new(rate: f64, parts: u64, seed: u64) -> Self {
        Hollow { rate, parts, seed, polls: 0.into(), events: 0.into(), polled: Mutex::default() }
    }

    fn due(&self, replica: &str) -> u64 {
        let mut polled = self.polled.lock().unwrap_or_else(|held| held.into_inner());
        let last = polled.entry(replica.to_string()).or_insert_with(Instant::now);
        let due = (last.elapsed().as_secs_f64() * self.rate) as u64;
        if self.rate > 0.0 {
            *last += Duration::from_secs_f64(due as f64 / self.rate);
        }
        due
    }
}

impl Replicas for Hollow {
    fn poll(&self, ask: &PollAsk) -> Result<Report, String> {
        std::thread::sleep(POLL);
        let seed = hash::bytes(self.seed, ask.replica.as_bytes());
        let due = if ask.incarnation.is_empty() { self.parts } else { self.due(&ask.replica) };
        let next = ask.from + due;
        let numbered = |seq| Numbered { seq, event: event(seed, self.parts, seq) };
        let events: Vec<_> = (ask.from..next).map(numbered).collect();
        self.polls.fetch_add(1, Ordering::Relaxed);
        self.events.fetch_add(due, Ordering::Relaxed);
        let load = hash::mix(next) % 8;
        Ok(Batch { incarnation: "1".into(), weights: "1".into(), load, next, events }.into())
    }

    fn order(&self, _: &OrderAsk) -> Result<Ordered, String> {
        Ok(Ordered::Holds)
    }
}
