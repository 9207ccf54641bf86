//! Prefix block hashes: chained, and salted by wall, model and weights, so that a block of another
//! wall or of other weights is another block. Where prompts are lists of parts with ids of their own,
//! the salt is a text that goes to the replica with the request, and each part's hash stands for that part alone.
use fleet_common::hash;

/// The salt of a wall, a model and its weights.
pub fn block_salt(wall: &str, model: &str, weights: &str) -> u64 {
    [wall, model, weights].iter().fold(0x63_6f75_7273, |seed, part| hash::bytes(seed, part.as_bytes()))
}

/// The hashes of a prompt's whole blocks; each stands for all of the prompt up to its end.
pub fn block_hashes(salt: u64, prompt: &[u8], block_bytes: usize) -> Vec<u64> {
    let mut before = salt;
    prompt
        .chunks_exact(block_bytes.max(1))
        .map(|block| {
            before = hash::bytes(before, block);
            before
        })
        .collect()
}

/// The salt under which a replica caches parts of a wall made by some weights; the model goes to it beside the salt.
/// The wall's length in front makes it unambiguous.
pub fn part_salt(wall: &str, weights: &str) -> String {
    format!("{}.{wall}.{weights}", wall.len())
}

/// The hash of a part of a prompt, kept for a model under a salt text. It says nothing of the parts
/// before it: a part is of use only with all of those.
pub fn part_hash(salt: &str, model: &str, id: &str) -> u64 {
    [salt, model, id].iter().fold(0x70_6172_7473, |seed, text| hash::bytes(seed, text.as_bytes()))
}
