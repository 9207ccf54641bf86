//! A transfer of cached blocks, as a router has seen it.
use fleet_common::rpc::TransferReport;
use routing::link_costs::Link;

/// A transfer whose effect was seen. Times are in microseconds.
pub struct TransferAttempt {
    pub request_id: String,
    /// The replica or store that was named as the source.
    pub source: String,
    /// The zones that it went from and to.
    pub pair: Link,
    /// The last block that the source was named for.
    pub block: u64,
    /// The version of the filter by which the source was chosen.
    pub filter_version: u64,
    /// Blocks that the source was to transfer.
    pub transferred_blocks: u64,
    /// Blocks that the replica had to prefill besides.
    pub recomputed_blocks: u64,
    /// The prefill time of one block.
    pub prefill_us: u64,
    /// What the transfer was to save.
    pub saved_us: u64,
    /// From sending the request to its first event.
    pub first_event_us: u64,
}

impl TransferAttempt {
    /// What prefilling all of it would have taken.
    fn recomputation_us(&self) -> u64 {
        (self.transferred_blocks + self.recomputed_blocks) * self.prefill_us
    }

    /// Whether the first event came no sooner than if most of the prompt had been prefilled.
    pub fn looks_missed(&self) -> bool {
        self.first_event_us > self.recomputation_us().saturating_sub(self.saved_us / 2)
    }

    /// The report of it to the index.
    pub fn report(&self, router: &str) -> TransferReport {
        TransferReport {
            request: self.request_id.as_str().into(),
            router: router.into(),
            source: self.source.as_str().into(),
            block: self.block,
            filter_version: self.filter_version,
            expected_ms: self.recomputation_us().saturating_sub(self.saved_us) / 1000,
            first_chunk_ms: self.first_event_us / 1000,
        }
    }
}
