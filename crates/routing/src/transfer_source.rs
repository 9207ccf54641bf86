//! Which replica or store transfers a prefix to the replica chosen, and whether that beats computing it there.
use crate::link_costs::{Link, LinkCosts};
use crate::session_placement::ReplicaStatus;
use control_state::fleet::STORE_MODEL;
use control_state::fleet_config::ModelConfig;
use fleet_common::rpc::{Filter, SEVERAL_WEIGHTS};
use indexmap::IndexMap;
use prefix_table::filter::FilterCopy;
use std::cmp::Reverse;
use std::sync::Arc;

/// Copies of the replicas' filters, by the replica's id.
pub type FilterCopies = IndexMap<String, Arc<FilterCopy>>;

/// A transfer that is worth its cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferSource {
    /// The replica or store.
    pub replica: String,
    /// Its address.
    pub address: String,
    /// Leading blocks that the source has cached, by its filter.
    pub blocks: usize,
    /// Leading blocks that the chosen replica has cached itself.
    pub cached_blocks: usize,
    /// The version of the source's filter.
    pub filter_version: u64,
    /// What the transfer saves over computing the blocks, in microseconds.
    pub saved_us: u64,
    /// The link.
    pub link: Link,
}

fn link_between(from: &ReplicaStatus, to: &ReplicaStatus) -> Link {
    let suffix = if from.model == STORE_MODEL { STORE_MODEL } else { "" };
    Link { from: format!("{}{suffix}", from.zone), to: to.zone.clone() }
}

/// Accepts a filter, unless one under a later fencing token or version is here, or `fencing_token` is later, which is
/// that of the replica's present assignment. Returns whether it was accepted.
pub fn accept_filter(copies: &mut FilterCopies, fencing_token: u64, filter: Filter) -> bool {
    let Some(copy) = FilterCopy::from_filter(filter).filter(|copy| copy.fencing_token >= fencing_token) else {
        return false;
    };
    let is_newer = copies.get(&copy.replica).is_none_or(|present| present.older_than(&copy));
    if is_newer {
        copies.insert(copy.replica.clone(), Arc::new(copy));
    }
    is_newer
}

/// Counts a false hit on a replica's filter. Returns whether the copy is stale by now, so that a new one is to be pulled.
pub fn count_false_hit(copies: &mut FilterCopies, replica: &str, max_false_hits: u64) -> bool {
    copies.get_mut(replica).is_some_and(|copy| Arc::make_mut(copy).count_false_hit(max_false_hits))
}

/// How many leading blocks a filter contains.
pub fn leading_blocks(copy: &FilterCopy, blocks: &[u64]) -> usize {
    blocks.iter().take_while(|block| copy.bits.contains(**block)).count()
}

/// The copy of a replica's filter, if it may be trusted and is of these weights. A store, and a replica with several models,
/// have blocks of many weights: the hashes themselves tell them apart.
fn trusted_copy<'a>(copies: &'a FilterCopies, replica: &ReplicaStatus, weights: &str) -> Option<&'a FilterCopy> {
    let copy = copies.get(&replica.id)?;
    let same_weights = [weights, SEVERAL_WEIGHTS].contains(&copy.weights.as_str()) || replica.model == STORE_MODEL;
    (copy.is_trusted(replica.minimum_version) && same_weights).then_some(copy)
}

/// How many leading blocks a replica has cached, by its filter if that may be trusted.
pub fn cached_blocks(copies: &FilterCopies, replica: &ReplicaStatus, blocks: &[u64]) -> usize {
    cached_blocks_of(copies, replica, &replica.weights, blocks)
}

fn cached_blocks_of(copies: &FilterCopies, replica: &ReplicaStatus, weights: &str, blocks: &[u64]) -> usize {
    trusted_copy(copies, replica, weights).map_or(0, |copy| leading_blocks(copy, blocks))
}

/// Chooses the source that saves most over computing the blocks at `target`; none where no source saves anything. One
/// that drains is no source: a transfer is work too.
pub fn choose_source(
    replicas: &[ReplicaStatus],
    copies: &FilterCopies,
    target: &ReplicaStatus,
    blocks: &[u64],
    costs: &LinkCosts,
    model: &ModelConfig,
) -> Option<TransferSource> {
    let cached = cached_blocks(copies, target, blocks);
    let may_transfer = |source: &&ReplicaStatus| {
        let has_blocks_of_model = source.model == target.model || source.model == STORE_MODEL;
        source.id != target.id && has_blocks_of_model && !source.unavailable && !source.draining
    };
    replicas
        .iter()
        .filter(may_transfer)
        .filter_map(|source| {
            let source_blocks = cached_blocks_of(copies, source, &target.weights, blocks);
            let gained = source_blocks.checked_sub(cached).filter(|gained| *gained > 0)? as u64;
            let link = link_between(source, target);
            let cost_us = costs.configured.setup_us + gained * costs.us_per_block(&link);
            let saved_us = (gained * model.prefill_us_per_block).checked_sub(cost_us).filter(|saved| *saved > 0)?;
            let found = TransferSource {
                replica: source.id.clone(),
                address: source.address.clone(),
                blocks: source_blocks,
                cached_blocks: cached,
                filter_version: copies.get(&source.id).map_or(0, |copy| copy.version),
                saved_us,
                link,
            };
            Some((source.load, found))
        })
        .max_by(|(one_load, one), (other_load, other)| {
            let rank = |load: &u64, source: &TransferSource| (source.saved_us, Reverse(*load));
            rank(one_load, one).cmp(&rank(other_load, other)).then_with(|| one.replica.cmp(&other.replica))
        })
        .map(|(_, source)| source)
}
