//! What the transfer of a block costs between zones, learnt from transfers that were seen. An estimate starts at the
//! configured cost, and decays back to it when no transfers are seen any more, so that slow links are tried again.
use control_state::fleet::STORE_MODEL;
use control_state::fleet_config::TransferCosts;
use std::collections::BTreeMap;
use std::time::Duration;

/// Without transfers the distance of an estimate from the configured cost is halved each time after so long.
pub const HALF_LIFE: Duration = Duration::from_secs(30);
/// The distance is halved at most so often.
const MAX_HALVINGS: u64 = 16;
/// A measurement counts as no less than this part of the configured cost, and as no more than so many times it.
const MAX_DIVISOR: u64 = 4;
const MAX_FACTOR: u64 = 64;

/// A link between two zones. A store's links are apart from those of its zone: it is another machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The zone of the source; for a store, followed by `@store`.
    pub from: String,
    /// The zone of the target.
    pub to: String,
}

impl Link {
    fn is_within_a_zone(&self) -> bool {
        self.from.trim_end_matches(STORE_MODEL) == self.to
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Estimate {
    us_per_block: u64,
    updated_at: Duration,
    transfers: u64,
}

/// Learnt costs of links, and what a response takes besides its prefill.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LearntCosts {
    estimates: BTreeMap<Link, Estimate>,
    /// In microseconds.
    base_latency_us: Option<u64>,
    /// The configured costs that the estimates started from.
    configured: Option<TransferCosts>,
}

/// The time to first token of an attempt whose source had cached what its filter said.
#[derive(Clone, Debug)]
pub struct TransferSample {
    /// The link.
    pub link: Link,
    /// Blocks that the source transferred.
    pub transferred_blocks: u64,
    /// Blocks that the replica computed besides.
    pub recomputed_blocks: u64,
    /// The prefill of one block, in microseconds.
    pub prefill_us_per_block: u64,
    /// In microseconds.
    pub first_token_us: u64,
}

/// An estimate for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkEstimate {
    /// The link.
    pub link: Link,
    /// What a block costs, in microseconds.
    pub us_per_block: u64,
    /// How many transfers it was learnt from.
    pub transfers: u64,
}

/// What transfers cost at a moment.
pub struct LinkCosts<'a> {
    /// The configured costs.
    pub configured: &'a TransferCosts,
    /// The learnt costs, if they are to be used.
    pub learnt: Option<&'a LearntCosts>,
    /// The present time, by this process's clock.
    pub now: Duration,
}

impl<'a> LinkCosts<'a> {
    /// The configured costs alone.
    pub fn configured_only(configured: &'a TransferCosts) -> Self {
        LinkCosts { configured, learnt: None, now: Duration::ZERO }
    }

    /// What a block costs on a link, in microseconds: as learnt, else as configured.
    pub fn us_per_block(&self, link: &Link) -> u64 {
        match self.learnt {
            Some(learnt) => learnt.us_per_block(self.now, self.configured, link),
            None => configured_us_per_block(self.configured, link),
        }
    }
}

fn configured_us_per_block(configured: &TransferCosts, link: &Link) -> u64 {
    if link.is_within_a_zone() { configured.near_us_per_block } else { configured.far_us_per_block }
}

impl LearntCosts {
    /// Learns from an attempt without a transfer: what it took beyond the prefill of its blocks is every attempt's
    /// base latency. Times are in microseconds.
    pub fn record_without_transfer(&mut self, recomputed_blocks: u64, prefill_us_per_block: u64, first_token_us: u64) {
        let beyond_prefill = first_token_us.saturating_sub(recomputed_blocks * prefill_us_per_block);
        let smoothed = self.base_latency_us.map_or(beyond_prefill, |base| (base * 7 + beyond_prefill) / 8);
        self.base_latency_us = Some(smoothed);
    }

    /// Learns from an attempt with a transfer.
    pub fn record_transfer(&mut self, now: Duration, configured: &TransferCosts, sample: &TransferSample) {
        if self.configured.as_ref() != Some(configured) {
            // Other costs were configured: an operator knows better, or the links are others.
            self.estimates.clear();
            self.configured = Some(configured.clone());
        }
        if sample.transferred_blocks == 0 {
            return;
        }
        let measured = self.measured_us_per_block(configured, sample);
        let known = self.us_per_block(now, configured, &sample.link);
        // One slow response may be a queue; a few are the link.
        let us_per_block = (known * 3 + measured) / 4;
        let transfers = self.estimates.get(&sample.link).map_or(0, |estimate| estimate.transfers) + 1;
        self.estimates.insert(sample.link.clone(), Estimate { us_per_block, updated_at: now, transfers });
    }

    fn measured_us_per_block(&self, configured: &TransferCosts, sample: &TransferSample) -> u64 {
        let prefill_us = sample.recomputed_blocks * sample.prefill_us_per_block;
        let besides_us = prefill_us + configured.setup_us + self.base_latency_us.unwrap_or(0);
        let start = configured_us_per_block(configured, &sample.link);
        let measured = sample.first_token_us.saturating_sub(besides_us) / sample.transferred_blocks;
        measured.clamp(start / MAX_DIVISOR, start * MAX_FACTOR)
    }

    /// What a block costs on a link, in microseconds, as far as is known.
    pub fn us_per_block(&self, now: Duration, configured: &TransferCosts, link: &Link) -> u64 {
        let start = configured_us_per_block(configured, link);
        let is_current = self.configured.as_ref() == Some(configured);
        let Some(estimate) = self.estimates.get(link).filter(|_| is_current) else { return start };
        let age = now.saturating_sub(estimate.updated_at);
        let halvings = (age.as_secs() / HALF_LIFE.as_secs()).min(MAX_HALVINGS);
        let distance = estimate.us_per_block.abs_diff(start) >> halvings;
        if estimate.us_per_block > start { start + distance } else { start - distance }
    }

    /// All estimates, for operators.
    pub fn report(&self, now: Duration, configured: &TransferCosts) -> Vec<LinkEstimate> {
        let row = |(link, estimate): (&Link, &Estimate)| LinkEstimate {
            link: link.clone(),
            us_per_block: self.us_per_block(now, configured, link),
            transfers: estimate.transfers,
        };
        self.estimates.iter().map(row).collect()
    }
}
