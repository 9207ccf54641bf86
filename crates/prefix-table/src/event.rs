//! A replica's cache events, in the shape of vLLM's KV events, as JSON.
use serde::{Deserialize, Serialize};

/// What happened in a replica's cache. Hashes are decimal texts: JSON numbers lose 64 bits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type")]
pub enum Event {
    BlockStored { block_hashes: Vec<String>, parent_block_hash: Option<String>, block_size: u64 },
    BlockRemoved { block_hashes: Vec<String> },
    AllBlocksCleared,
}

/// An event with its number within the replica's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Numbered {
    pub seq: u64,
    pub event: Event,
}

/// A batch: the answer to `GET /events?from=SEQ`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    pub incarnation: String,
    pub weights: String,
    /// Requests running and waiting.
    pub load: u64,
    pub next: u64,
    pub events: Vec<Numbered>,
}

/// Reads hashes from their decimal texts; broken ones are left out.
/// ```
/// assert_eq!(prefix_table::event::hashes(&["7".into(), "x".into()]), vec![7]);
/// ```
pub fn hashes(texts: &[String]) -> Vec<u64> {
    texts.iter().filter_map(|t| t.parse().ok()).collect()
}
