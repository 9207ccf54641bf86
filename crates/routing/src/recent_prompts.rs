//! The parts of prompts that routers sent to replicas lately: they are cached there before any filter says so.
use std::collections::HashMap;
use std::time::Duration;

/// For how long a part counts as cached after its prefill.
const CACHED_FOR: Duration = Duration::from_secs(4);
/// For how long a part counts as about to be cached after it was sent.
const EXPECTED_FOR: Duration = Duration::from_secs(6);
/// Later than any time that is asked for.
const NEVER: Duration = Duration::from_secs(1 << 40);
/// Beyond so many parts those that count no more are dropped.
const MAX_PARTS: usize = 16_384;

/// A part of a prompt at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PartAt {
    replica: u64,
    part: u64,
}

/// When a part counts.
#[derive(Clone, Copy, Debug)]
struct Validity {
    /// From when on it counts as cached.
    cached_from: Duration,
    /// Until when it counts as cached, or as expected.
    until: Duration,
}

impl Validity {
    fn has_ended(&self, now: Duration) -> bool {
        self.until <= now
    }
}

/// Parts sent lately. Replicas are told apart by their keys.
#[derive(Clone, Debug, Default)]
pub struct RecentPrompts {
    parts: HashMap<PartAt, Validity>,
}

impl RecentPrompts {
    /// Parts were sent to a replica, which has not computed them yet.
    pub fn record_sent(&mut self, now: Duration, replica: u64, parts: &[u64]) {
        self.record(now, replica, parts, Validity { cached_from: NEVER, until: now + EXPECTED_FOR });
    }

    /// Parts are in a replica's cache by now.
    pub fn record_prefilled(&mut self, now: Duration, replica: u64, parts: &[u64]) {
        self.record(now, replica, parts, Validity { cached_from: now, until: now + CACHED_FOR });
    }

    fn record(&mut self, now: Duration, replica: u64, parts: &[u64], validity: Validity) {
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, validity| !validity.has_ended(now));
        }
        for part in parts {
            let known = self.parts.entry(PartAt { replica, part: *part }).or_insert(validity);
            // What is cached stays so; only its end moves on.
            let cached_from = match known.has_ended(now) {
                true => validity.cached_from,
                false => known.cached_from.min(validity.cached_from),
            };
            *known = Validity { cached_from, ..validity };
        }
    }

    fn valid(&self, now: Duration, replica: u64, part: u64) -> Option<&Validity> {
        self.parts.get(&PartAt { replica, part }).filter(|validity| !validity.has_ended(now))
    }

    /// Whether a part was sent there lately: it is cached by the time that what is sent now is read.
    pub fn is_expected(&self, now: Duration, replica: u64, part: u64) -> bool {
        self.valid(now, replica, part).is_some()
    }

    /// Whether a part is cached there by now.
    pub fn is_prefilled(&self, now: Duration, replica: u64, part: u64) -> bool {
        self.valid(now, replica, part).is_some_and(|validity| validity.cached_from <= now)
    }

    /// Parts that were sent there will not be computed after all.
    pub fn withdraw(&mut self, now: Duration, replica: u64, parts: &[u64]) {
        for part in parts {
            let key = PartAt { replica, part: *part };
            if self.parts.get(&key).is_some_and(|validity| validity.cached_from > now) {
                self.parts.remove(&key);
            }
        }
    }

    /// Nothing that was sent to a replica counts any more.
    pub fn forget_replica(&mut self, replica: u64) {
        self.parts.retain(|key, _| key.replica != replica);
    }
}
