//! Prefix block hashes: chained, and salted by wall, model and weights, so that a block of another
//! wall or of other weights is another block.
use fleet_common::hash;

/// The salt of a wall, a model and its weights.
/// ```
/// use prefix_table::blocks::salt;
/// assert_ne!(salt("shared", "m", "w1"), salt("shared", "m", "w2"));
/// assert_ne!(salt("a", "bm", "w"), salt("ab", "m", "w"));
/// ```
pub fn salt(wall: &str, model: &str, weights: &str) -> u64 {
    [wall, model, weights].iter().fold(0x63_6f75_7273, |seed, part| hash::bytes(seed, part.as_bytes()))
}

/// The hashes of a prompt's whole blocks; each stands for all of the prompt up to its end.
/// ```
/// use prefix_table::blocks::chain;
/// let (a, b) = (chain(1, b"aaaabbbbc", 4), chain(1, b"aaaabbbbd", 4));
/// assert_eq!((a.len(), a.clone()), (2, b));
/// assert_ne!(a[1], chain(1, b"xaaabbbb", 4)[1]);
/// ```
pub fn chain(salt: u64, prompt: &[u8], block_bytes: usize) -> Vec<u64> {
    let mut before = salt;
    prompt
        .chunks_exact(block_bytes.max(1))
        .map(|block| {
            before = hash::bytes(before, block);
            before
        })
        .collect()
}
