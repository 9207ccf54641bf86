//! How large a measured fleet is, and which sizes are tried.
use serde::{Deserialize, Serialize};

/// The axes, by name.
pub const AXES: [&str; 5] = ["nodes", "replicas", "events", "parts", "tenants"];

/// The size of one measured fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Size {
    pub nodes: u64,
    pub replicas: u64,
    /// Cache events a second, of all replicas together.
    pub events: u64,
    /// Kept parts of each replica.
    pub parts: u64,
    pub tenants: u64,
    pub seed: u64,
}

impl Size {
    /// The size along an axis.
    /// ```
    /// let size = scale_fleet::size::Size { parts: 7, ..Default::default() };
    /// assert_eq!(size.along("parts"), 7);
    /// ```
    pub fn along(&self, axis: &str) -> u64 {
        [self.nodes, self.replicas, self.events, self.parts, self.tenants]
            [AXES.iter().position(|a| *a == axis).unwrap_or(0)]
    }

    /// The same with another size along an axis.
    /// ```
    /// assert_eq!(scale_fleet::size::Size::default().with("tenants", 4).tenants, 4);
    /// ```
    pub fn with(mut self, axis: &str, value: u64) -> Self {
        let at = AXES.iter().position(|a| *a == axis).unwrap_or(0);
        let slots = [&mut self.nodes, &mut self.replicas, &mut self.events, &mut self.parts, &mut self.tenants];
        slots.into_iter().nth(at).into_iter().for_each(|slot| *slot = value);
        self
    }
}

/// Reads `1,2,3`.
/// ```
/// assert_eq!(scale_fleet::size::list("4,50"), Ok(vec![4, 50]));
/// assert!(scale_fleet::size::list("4,x").unwrap_err().contains('x'));
/// ```
pub fn list(text: &str) -> Result<Vec<u64>, String> {
    text.split(',').map(|n| n.trim().parse().map_err(|e| format!("{n}: {e}"))).collect()
}

/// The sizes to try: the first of each axis together, then each axis alone. With each comes its axis.
/// ```
/// let lists = [vec![1, 2], vec![3], vec![4], vec![5], vec![6]];
/// let tried = scale_fleet::size::tried(&lists, 0);
/// assert_eq!(tried.iter().map(|(axis, size)| (axis.as_str(), size.nodes)).collect::<Vec<_>>(), [("base", 1), ("nodes", 2)]);
/// ```
pub fn tried(lists: &[Vec<u64>; 5], seed: u64) -> Vec<(String, Size)> {
    let first = |at: usize| lists[at].first().copied().unwrap_or(1);
    let base = Size { nodes: first(0), replicas: first(1), events: first(2), parts: first(3), tenants: first(4), seed };
    let mut tried = vec![("base".to_string(), base)];
    for (axis, sizes) in AXES.iter().zip(lists) {
        tried.extend(sizes.iter().skip(1).map(|value| (axis.to_string(), base.with(axis, *value))));
    }
    tried
}
