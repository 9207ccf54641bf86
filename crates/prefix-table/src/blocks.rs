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

/// The text under which a wall's parts are kept for a version of the weights; the model is told beside it.
/// ```
/// use prefix_table::blocks::salt_text;
/// assert_ne!(salt_text("t:a", "1"), salt_text("t:a", "11"));
/// ```
pub fn salt_text(wall: &str, weights: &str) -> String {
    format!("{weights}/{wall}")
}

/// The hash of a part under a salt, for a model.
/// ```
/// use prefix_table::blocks::part;
/// assert_ne!(part("1/all", "m", "a"), part("2/all", "m", "a"));
/// ```
pub fn part(salt: &str, model: &str, id: &str) -> u64 {
    [salt, model, id].iter().fold(0x70_6172_7473, |seed, text| hash::bytes(seed, text.as_bytes()))
}
