//! A replica's cache events, in the shape of vLLM's KV events, as JSON. Fields and kinds keep the names that replicas send.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What happened in a replica's cache. Hashes are decimal texts: JSON numbers lose 64 bits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type")]
pub enum CacheEvent {
    /// Blocks are cached now, each after the one before it.
    BlockStored {
        /// The blocks' hashes.
        block_hashes: Vec<String>,
        /// The hash of the block before the first.
        parent_block_hash: Option<String>,
        /// In tokens.
        block_size: u64,
    },
    /// Blocks are cached no more.
    BlockRemoved {
        /// The blocks' hashes.
        block_hashes: Vec<String>,
    },
    /// Nothing is cached any more.
    AllBlocksCleared,
    /// So many tokens of a part are cached now; 0 when it is gone.
    #[serde(rename = "PartKept")]
    PartCached {
        #[serde(with = "decimal")]
        /// The part's hash.
        part_hash: u64,
        /// Its tokens.
        tokens: u64,
    },
}

/// An event with its number within the replica's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedEvent {
    #[serde(rename = "seq")]
    /// Its number.
    pub sequence: u64,
    /// The event.
    pub event: CacheEvent,
}

/// A batch of events: the response to `GET /events?from=SEQUENCE`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventBatch {
    /// Which start of the replica's process these events belong to.
    pub incarnation: String,
    /// The weights that the replica runs; empty while it runs none.
    pub weights: String,
    /// Requests running and waiting.
    pub load: u64,
    /// The number of the next event.
    #[serde(rename = "next")]
    pub next_sequence: u64,
    /// The events, in order.
    pub events: Vec<NumberedEvent>,
}

/// A batch of events, and what a replica may report of itself beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// Its events.
    #[serde(flatten)]
    pub batch: EventBatch,
    /// The weights that the replica runs of each model, where it has several models; the batch's are empty then.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub models: BTreeMap<String, String>,
    /// Requests running.
    #[serde(default)]
    pub running: Option<u32>,
    /// Requests waiting.
    #[serde(default)]
    pub waiting: Option<u32>,
    /// Tokens that its memory holds.
    #[serde(default)]
    pub used_tokens: Option<u64>,
    /// Tokens that its memory could hold.
    #[serde(default)]
    pub total_tokens: Option<u64>,
    /// Whether it carries out an order.
    #[serde(default)]
    pub busy: Option<bool>,
    /// Events were lost before those of the batch.
    #[serde(rename = "lost", default)]
    pub events_lost: bool,
    /// All that is cached at the batch's end, as events that would bring it about.
    #[serde(rename = "holding", default)]
    pub full_listing: Option<Vec<CacheEvent>>,
}

impl From<EventBatch> for CacheReport {
    fn from(batch: EventBatch) -> Self {
        CacheReport { batch, ..CacheReport::default() }
    }
}

impl CacheReport {
    /// Requests running and waiting.
    pub fn load(&self) -> u64 {
        match (self.running, self.waiting) {
            (Some(running), Some(waiting)) => u64::from(running) + u64::from(waiting),
            _ => self.batch.load,
        }
    }
}

/// A hash as its decimal text.
mod decimal {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(hash: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(hash)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// Reads hashes from their decimal texts; malformed ones are left out.
pub fn parse_hashes(texts: &[String]) -> Vec<u64> {
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}
