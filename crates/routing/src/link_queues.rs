//! How long each link is busy. A transfer moves the time at which its link is free by what it takes. Routers announce
//! their transfers to each other; one that did not take place is forgotten once that time has passed.
use std::collections::HashMap;
use std::time::Duration;

/// A link is never taken to be busy for longer than this.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(5);
/// The seed of keys: all routers use the same, as keys go between them.
const KEY_SEED: u64 = 0x6261;

/// The links' queues, by the link's key.
#[derive(Clone, Debug, Default)]
pub struct LinkQueues {
    /// When each link is free.
    free_at: HashMap<u64, Duration>,
}

/// The key of a replica, or of a link. Routers announce queues under these keys.
pub fn queue_key(id: &str) -> u64 {
    fleet_common::hash::bytes(KEY_SEED, id.as_bytes())
}

impl LinkQueues {
    /// A transfer occupies a link for `duration`.
    pub fn add(&mut self, now: Duration, link: u64, duration: Duration) {
        let free_at = self.free_at.entry(link).or_default();
        *free_at = ((*free_at).max(now) + duration).min(now + MAX_QUEUE_TIME);
    }

    /// How long a transfer that starts now would wait.
    pub fn queue_time(&self, now: Duration, link: u64) -> Duration {
        self.free_at.get(&link).map_or(Duration::ZERO, |free_at| free_at.saturating_sub(now))
    }

    /// Drops the links of replicas that are listed no more.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.free_at.retain(|link, _| is_listed(*link));
    }
}
