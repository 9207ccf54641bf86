//! The prompts that routers have sent to each replica and that are not prefilled yet. Routers announce to each other when
//! they send a prompt and when its first token came, so that all know each replica's queue. An entry whose end was never
//! announced is dropped after a while.
use std::collections::HashMap;
use std::time::Duration;

/// An entry of which nothing was heard for so long is dropped.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(8);
/// For how long a request occupies its memory after its prefill, as far as anybody knows.
const DECODE_TIME: Duration = Duration::from_millis(400);
/// How much of a new measurement counts for a replica's slowdown.
const SMOOTHING: f64 = 0.08;
/// Measurements of a slowdown count as no less and no more than this.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 3.0);
/// Shorter prefills tell nothing of a replica's slowdown.
const SHORTEST_MEASURED_PREFILL: Duration = Duration::from_millis(20);
/// The slowdown of a replica of which nothing is known.
const ORDINARY_SLOWDOWN: f64 = 1.0;

/// A prompt that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightPrompt {
    /// What its prefill takes at an ordinary replica.
    pub prefill_time: Duration,
    /// Tokens of memory that it needs.
    pub tokens: u64,
    /// Hashes of parts that others may ask for.
    pub parts: Vec<u64>,
}

/// Memory of a request that is past its prefill.
#[derive(Clone, Copy, Debug)]
struct Decoding {
    until: Duration,
    tokens: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    prompt: InFlightPrompt,
    sent_at: Duration,
}

#[derive(Clone, Debug, Default)]
struct ReplicaQueue {
    entries: HashMap<u64, Entry>,
    /// The sums over all entries.
    prefill_time: Duration,
    tokens: u64,
    decoding: Vec<Decoding>,
    /// Since when the present prompt is in prefill, as far as is known.
    prefill_started_at: Duration,
    slowdown: Option<f64>,
}

impl ReplicaQueue {
    fn add(&mut self, now: Duration, id: u64, prompt: InFlightPrompt) {
        if self.entries.is_empty() {
            self.prefill_started_at = now;
        }
        if !self.entries.contains_key(&id) {
            self.prefill_time += prompt.prefill_time;
            self.tokens += prompt.tokens;
            self.entries.insert(id, Entry { prompt, sent_at: now });
        }
    }

    fn remove(&mut self, now: Duration, id: u64) -> Option<InFlightPrompt> {
        let Entry { prompt, .. } = self.entries.remove(&id)?;
        self.prefill_time = self.prefill_time.saturating_sub(prompt.prefill_time);
        self.tokens = self.tokens.saturating_sub(prompt.tokens);
        self.prefill_started_at = now;
        Some(prompt)
    }

    fn expire(&mut self, now: Duration) {
        let is_lost = |entry: &Entry| now.saturating_sub(entry.sent_at) > ENTRY_TIMEOUT;
        let lost: Vec<u64> = self.entries.iter().filter(|(_, entry)| is_lost(entry)).map(|(id, _)| *id).collect();
        for id in lost {
            self.remove(now, id);
        }
        self.decoding.retain(|request| request.until > now);
    }

    fn queue_time(&self, now: Duration) -> Duration {
        if self.entries.is_empty() {
            return Duration::ZERO;
        }
        let total = self.prefill_time.mul_f64(self.slowdown());
        // The present prompt is about as long as the average: it cannot have had more than that.
        let average = total / self.entries.len() as u32;
        let done = now.saturating_sub(self.prefill_started_at).min(average);
        total.saturating_sub(done)
    }

    fn memory_tokens(&self, now: Duration) -> u64 {
        let decoding = self.decoding.iter().filter(|request| request.until > now);
        self.tokens + decoding.map(|request| request.tokens).sum::<u64>()
    }

    fn slowdown(&self) -> f64 {
        self.slowdown.unwrap_or(ORDINARY_SLOWDOWN)
    }
}

/// The queues of all replicas, by the replica's key.
#[derive(Clone, Debug, Default)]
pub struct InFlightTable {
    queues: HashMap<u64, ReplicaQueue>,
}

impl InFlightTable {
    /// A prompt was sent to a replica under an id of its own.
    pub fn add(&mut self, now: Duration, replica: u64, id: u64, prompt: InFlightPrompt) {
        let queue = self.queues.entry(replica).or_default();
        queue.expire(now);
        queue.add(now, id, prompt);
    }

    /// A prompt's prefill has ended: its first token came. Returns the prompt, if it was in the table.
    pub fn finish_prefill(&mut self, now: Duration, replica: u64, id: u64) -> Option<InFlightPrompt> {
        let queue = self.queues.get_mut(&replica)?;
        let prompt = queue.remove(now, id)?;
        queue.decoding.push(Decoding { until: now + DECODE_TIME, tokens: prompt.tokens });
        Some(prompt)
    }

    /// A prompt will not be prefilled: it was rejected, given up or lost. Returns the prompt, if it was in the table.
    pub fn withdraw(&mut self, now: Duration, replica: u64, id: u64) -> Option<InFlightPrompt> {
        self.queues.get_mut(&replica)?.remove(now, id)
    }

    /// How long a prompt sent now would wait: the prefill of all before it, less what the present one has had.
    pub fn queue_time(&self, now: Duration, replica: u64) -> Duration {
        self.queues.get(&replica).map_or(Duration::ZERO, |queue| queue.queue_time(now))
    }

    /// Tokens of memory that are asked for: by prompts in flight, and by requests past their prefill.
    pub fn memory_tokens(&self, now: Duration, replica: u64) -> u64 {
        self.queues.get(&replica).map_or(0, |queue| queue.memory_tokens(now))
    }

    /// How many prompts are in flight.
    pub fn pending_prompts(&self, replica: u64) -> usize {
        self.queues.get(&replica).map_or(0, |queue| queue.entries.len())
    }

    /// How many times as long as an ordinary replica a replica takes for a prefill.
    pub fn slowdown(&self, replica: u64) -> f64 {
        self.queues.get(&replica).map_or(ORDINARY_SLOWDOWN, ReplicaQueue::slowdown)
    }

    /// Learns from a first token that came after `measured`, where `expected` was thought of an ordinary replica. Short
    /// prefills are passed over.
    pub fn learn_prefill_time(&mut self, replica: u64, expected: Duration, measured: Duration) {
        if expected < SHORTEST_MEASURED_PREFILL {
            return;
        }
        let queue = self.queues.entry(replica).or_default();
        let (least, most) = SLOWDOWN_RANGE;
        let seen = (measured.as_secs_f64() / expected.as_secs_f64()).clamp(least, most);
        let known = queue.slowdown();
        queue.slowdown = Some(known + (seen - known) * SMOOTHING);
    }

    /// Drops replicas that are listed no more.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.queues.retain(|replica, _| is_listed(*replica));
    }
}
