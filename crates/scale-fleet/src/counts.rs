//! Messages and bytes, by what caused them.
use fleet_common::ask::SOURCES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// What a node receives or sends, by cause: pulls with their leases, each source of whole values, filters, news.
pub const CAUSES: [&str; 11] = [
    "pulls", SOURCES[0], SOURCES[1], SOURCES[2], SOURCES[3], SOURCES[4], SOURCES[5], SOURCES[6], SOURCES[7], "filters",
    "news",
];
pub const PULLS: usize = 0;
/// The first of the sources; the others follow in their order.
pub const SOURCE: usize = 1;
pub const FILTERS: usize = 9;
pub const NEWS: usize = 10;

/// Running counts.
#[derive(Default)]
pub struct Counts {
    messages: [AtomicU64; CAUSES.len()],
    bytes: [AtomicU64; CAUSES.len()],
}

/// Counts as they stood: messages and bytes for each cause.
pub type Told = BTreeMap<String, (u64, u64)>;

impl Counts {
    /// Counts messages of a cause, and their bytes.
    /// ```
    /// use scale_fleet::counts::{Counts, NEWS};
    /// let counts = Counts::default();
    /// counts.add(NEWS, 1, 40);
    /// assert_eq!(counts.told()["news"], (1, 40));
    /// ```
    pub fn add(&self, cause: usize, messages: u64, bytes: u64) {
        self.messages[cause].fetch_add(messages, Ordering::Relaxed);
        self.bytes[cause].fetch_add(bytes, Ordering::Relaxed);
    }

    /// All counts as they stand.
    /// ```
    /// assert_eq!(scale_fleet::counts::Counts::default().told().len(), scale_fleet::counts::CAUSES.len());
    /// ```
    pub fn told(&self) -> Told {
        let read = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let row = |at: usize| (CAUSES[at].to_string(), (read(&self.messages[at]), read(&self.bytes[at])));
        (0..CAUSES.len()).map(row).collect()
    }
}

/// What was counted between two tellings.
/// ```
/// let at = |n| [("news".to_string(), (n, 10 * n))].into_iter().collect();
/// assert_eq!(scale_fleet::counts::between(&at(1), &at(4))["news"], (3, 30));
/// ```
pub fn between(before: &Told, after: &Told) -> Told {
    let old = |cause: &String| before.get(cause).copied().unwrap_or_default();
    after.iter().map(|(cause, (m, b))| (cause.clone(), (m - old(cause).0, b - old(cause).1))).collect()
}

/// What a child tells of itself when it is asked.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    pub counts: Told,
    /// Hollow nodes that hold a term, and the oldest configuration version that one of them has.
    pub members: u64,
    pub configuration: u64,
    /// Duties held by an index node, items in its tables, and what its replicas were asked and told.
    pub held: u64,
    pub items: u64,
    pub polls: u64,
    pub events: u64,
    /// The milliseconds a wanted thing took, where one was wanted.
    pub took_ms: f64,
    pub in_force_ms: f64,
    pub fault: String,
}
