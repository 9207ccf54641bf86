//! The watermark file beside the log: which segment was synced, and up to which byte.
use fleet_common::hash;

pub(crate) const WATERMARK_FILE: &str = "mark";
/// Offsets of its slots in bytes: two synced ones, written in turn, and one that is written after each batch.
pub(crate) const SLOT_OFFSETS: [u64; 3] = [0, 4096, 8192];
const SLOT_BYTES: usize = 24;

/// A slot's bytes: a segment's number and how many bytes of it are synced.
pub(crate) fn encode_slot(segment: u64, length: u64) -> Vec<u8> {
    let sum = hash::mix(segment ^ hash::mix(length ^ 0x6d61_726b));
    [segment, length, sum].iter().flat_map(|n| n.to_le_bytes()).collect()
}

/// The segment's number and its synced bytes, if the slot's checksum is right.
pub(crate) fn decode_slot(mark: &[u8], at: u64) -> Option<(u64, u64)> {
    let bytes = mark.get(at as usize..at as usize + SLOT_BYTES)?;
    let number = |n: usize| bytes[n * 8..][..8].try_into().map(u64::from_le_bytes).unwrap_or_default();
    (encode_slot(number(0), number(1)) == bytes).then(|| (number(0), number(1)))
}
