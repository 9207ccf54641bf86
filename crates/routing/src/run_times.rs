//! The longest run time of late, by route. Routes are told apart by a number that their router gives them.
use std::collections::HashMap;
use std::time::Duration;

/// The longest run times of the present window and of the one before it: what was long ago is forgotten.
#[derive(Clone, Debug)]
pub struct RunTimes {
    window: Duration,
    window_started_at: Duration,
    current_longest: HashMap<u64, Duration>,
    previous_longest: HashMap<u64, Duration>,
}

impl RunTimes {
    /// No run times yet; windows are `window` long.
    pub fn new(window: Duration) -> Self {
        RunTimes {
            window,
            window_started_at: Duration::ZERO,
            current_longest: HashMap::new(),
            previous_longest: HashMap::new(),
        }
    }

    /// A request on a route has ended after `run_time`.
    pub fn record(&mut self, now: Duration, route: u64, run_time: Duration) {
        let age = now.saturating_sub(self.window_started_at);
        if age >= self.window {
            let current = std::mem::take(&mut self.current_longest);
            self.previous_longest = if age < self.window * 2 { current } else { HashMap::new() };
            self.window_started_at = now;
        }
        let longest = self.current_longest.entry(route).or_default();
        *longest = run_time.max(*longest);
    }

    /// The longest run time of late on a route; zero if there was none.
    pub fn longest(&self, route: u64) -> Duration {
        let longest_of = |run_times: &HashMap<u64, Duration>| run_times.get(&route).copied().unwrap_or_default();
        longest_of(&self.current_longest).max(longest_of(&self.previous_longest))
    }
}
