//! What waits to be read at each replica, as a clock: each prompt that is sent there moves the time at which
//! the replica is free on by what reading it takes, and time itself works it off. All routers tell each other
//! what they send, so each has the whole of it; what goes astray is forgotten as soon as the clock runs out.
use std::collections::HashMap;
use std::time::Duration;

/// A replica is never taken to be busier than this by what was told.
const MOST: Duration = Duration::from_secs(5);
/// How much of a new figure counts for a replica's pace.
const SHARE: f64 = 0.08;

#[derive(Clone, Copy, Debug)]
struct Row {
    free_at: Duration,
    /// How much slower it reads than thought; 1 is as thought.
    pace: f64,
}

impl Default for Row {
    fn default() -> Self {
        Row { free_at: Duration::ZERO, pace: 1.0 }
    }
}

/// Backlogs by the hash of a replica's id.
#[derive(Clone, Debug, Default)]
pub struct Backlogs {
    rows: HashMap<u64, Row>,
}

/// The key of a replica.
/// ```
/// assert_ne!(way_choice::backlog::key("r1"), way_choice::backlog::key("r2"));
/// ```
pub fn key(replica: &str) -> u64 {
    fleet_common::hash::bytes(0x6261, replica.as_bytes())
}

impl Backlogs {
    /// Something was sent to a replica that takes so long to read at an ordinary one.
    /// ```
    /// use std::time::Duration;
    /// let mut all = way_choice::backlog::Backlogs::default();
    /// all.add(Duration::ZERO, 7, Duration::from_millis(80));
    /// assert_eq!(all.waiting(Duration::from_millis(30), 7), Duration::from_millis(50));
    /// ```
    pub fn add(&mut self, now: Duration, replica: u64, work: Duration) {
        let row = self.rows.entry(replica).or_default();
        let work = work.mul_f64(row.pace);
        row.free_at = (row.free_at.max(now) + work).min(now + MOST);
    }

    /// What was sent will not be read after all.
    /// ```
    /// use std::time::Duration;
    /// let mut all = way_choice::backlog::Backlogs::default();
    /// all.add(Duration::ZERO, 7, Duration::from_millis(80));
    /// all.less(Duration::ZERO, 7, Duration::from_millis(80));
    /// assert!(all.waiting(Duration::ZERO, 7).is_zero());
    /// ```
    pub fn less(&mut self, now: Duration, replica: u64, work: Duration) {
        if let Some(row) = self.rows.get_mut(&replica) {
            row.free_at = row.free_at.saturating_sub(work.mul_f64(row.pace)).max(now.min(row.free_at));
        }
    }

    /// How long a prompt sent now would wait there.
    /// ```
    /// assert!(way_choice::backlog::Backlogs::default().waiting(std::time::Duration::ZERO, 7).is_zero());
    /// ```
    pub fn waiting(&self, now: Duration, replica: u64) -> Duration {
        self.rows.get(&replica).map_or(Duration::ZERO, |row| row.free_at.saturating_sub(now))
    }

    /// How much slower than an ordinary one a replica reads.
    /// ```
    /// assert_eq!(way_choice::backlog::Backlogs::default().pace(7), 1.0);
    /// ```
    pub fn pace(&self, replica: u64) -> f64 {
        self.rows.get(&replica).map_or(1.0, |row| row.pace)
    }

    /// A first event came after so long where so long was thought of a replica of ordinary pace: what is
    /// learnt of this one's. Only tries that read much tell of it.
    /// ```
    /// use std::time::Duration;
    /// let mut all = way_choice::backlog::Backlogs::default();
    /// (0..60).for_each(|_| all.learn(7, Duration::from_millis(100), Duration::from_millis(130)));
    /// assert!((1.25..1.35).contains(&all.pace(7)));
    /// ```
    pub fn learn(&mut self, replica: u64, thought: Duration, took: Duration) {
        if thought < Duration::from_millis(20) {
            return;
        }
        let row = self.rows.entry(replica).or_default();
        let seen = (took.as_secs_f64() / thought.as_secs_f64()).clamp(0.5, 3.0);
        row.pace += (seen - row.pace) * SHARE;
    }

    /// Forgets replicas that are listed no more.
    /// ```
    /// way_choice::backlog::Backlogs::default().keep(|_| false);
    /// ```
    pub fn keep(&mut self, listed: impl Fn(u64) -> bool) {
        self.rows.retain(|replica, _| listed(*replica));
    }
}
