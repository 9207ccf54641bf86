//! Stable hashes: the same on every machine and in every release.

/// Mixes 64 bits (the splitmix finaliser).
/// ```
/// assert_ne!(fleet_common::hash::mix(1), fleet_common::hash::mix(2));
/// ```
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hashes bytes under a seed, eight at a time.
/// ```
/// assert_ne!(fleet_common::hash::bytes(0, b"a"), fleet_common::hash::bytes(1, b"a"));
/// ```
pub fn bytes(seed: u64, data: &[u8]) -> u64 {
    let mut hash = mix(seed ^ data.len() as u64);
    for chunk in data.chunks(8) {
        let mut word = [0u8; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = mix(hash ^ u64::from_le_bytes(word));
    }
    hash
}

/// The rendezvous weight of a node for a key; the highest weight owns the key.
/// ```
/// use fleet_common::hash::rendezvous_weight;
/// let owner = ["a", "b", "c"].into_iter().max_by_key(|node| rendezvous_weight("replica-1", node)).unwrap();
/// assert!(["a", "b", "c"].contains(&owner));
/// ```
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    mix(bytes(7, key.as_bytes()) ^ bytes(11, node.as_bytes()).rotate_left(17))
}

/// Nodes for a key, best first, by rendezvous.
/// ```
/// let nodes = ["a".to_string(), "b".into()];
/// assert_eq!(fleet_common::hash::rendezvous("k", nodes.iter()).len(), 2);
/// ```
pub fn rendezvous<'a>(key: &str, nodes: impl Iterator<Item = &'a String>) -> Vec<&'a String> {
    let mut order: Vec<_> = nodes.collect();
    order.sort_by_key(|node| (std::cmp::Reverse(rendezvous_weight(key, node)), node.as_str()));
    order
}

/// A value no other start of a process is likely to hold: for incarnations and request ids.
/// ```
/// assert_ne!(fleet_common::hash::unique_id(), fleet_common::hash::unique_id());
/// ```
pub fn unique_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    hasher.write_u128(since.map(|d| d.as_nanos()).unwrap_or(0));
    hasher.finish().max(2)
}

/// A small seeded source of numbers, for jitter and simulations.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// Starts from a seed; the same seed gives the same numbers.
    /// ```
    /// use fleet_common::hash::SeededRng;
    /// assert_eq!(SeededRng::new(5).next(10), SeededRng::new(5).next(10));
    /// ```
    pub fn new(seed: u64) -> Self {
        SeededRng(mix(seed))
    }

    /// A number below `below` (0 if `below` is 0).
    /// ```
    /// assert!(fleet_common::hash::SeededRng::new(1).next(6) < 6);
    /// ```
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        if below == 0 { 0 } else { mix(self.0) % below }
    }
}

/// The SHA-256 of a key as hex: keys themselves are never kept or sent between our processes.
/// ```
/// assert_eq!(fleet_common::hash::key_digest("k").len(), 64);
/// ```
pub fn key_digest(key: &str) -> String {
    use sha2::Digest;
    sha2::Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}
