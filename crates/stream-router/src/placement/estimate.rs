//! The second step of a placement: what an attempt would meet at each eligible replica, and what transfers of cached
//! parts would cost.
use super::Inputs;
use super::costs::{link_us, memory};
use super::weights::weights_at;
use crate::backlog_key::BacklogKey;
use crate::state::LocalLoad;
use control_state::fleet::STORE_MODEL;
use prefix_table::blocks;
use routing::placement_cost::{Candidate, Parts, PromptPart, SourceCandidate};
use routing::session_placement::ReplicaStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A prompt as a prefix cache knows it.
#[derive(Clone, Debug)]
pub(super) struct SaltedPrompt {
    pub salt: String,
    pub parts: Parts,
}

/// The prompt under the salt of each version of the weights.
pub(super) type PromptsByWeights = BTreeMap<String, SaltedPrompt>;

/// The prompt as the eligible replicas' caches know it.
pub(super) fn salted_prompts(inputs: &Inputs, eligible: &[usize]) -> PromptsByWeights {
    let versions: BTreeSet<String> =
        eligible.iter().map(|index| weights_at(inputs, &inputs.statuses[*index])).collect();
    versions.into_iter().map(|weights| (weights.clone(), salted_prompt(inputs, &weights))).collect()
}

fn salted_prompt(inputs: &Inputs, weights: &str) -> SaltedPrompt {
    let info = &inputs.context.info;
    let salt = blocks::part_salt(&inputs.context.cache_scope, weights);
    let parts = info
        .parts
        .iter()
        .map(|part| PromptPart { hash: blocks::part_hash(&salt, &info.model, &part.id), tokens: part.tokens })
        .collect();
    SaltedPrompt { salt, parts }
}

/// What the attempt would meet at each eligible replica.
pub(super) fn candidates<'a>(
    inputs: &Inputs<'a>,
    eligible: &[usize],
    prompts: &'a PromptsByWeights,
) -> Vec<Candidate<'a>> {
    let local_loads = inputs.state.local_loads().clone();
    let in_flight = inputs.state.in_flight();
    let candidate = |index: &usize| {
        let status = &inputs.statuses[*index];
        let parts = &prompts.get(&weights_at(inputs, status))?.parts;
        let local = local_loads.get(&status.id).copied().unwrap_or_default();
        let reported_at = inputs.load_reports.get(&status.id).map(|received| received.received_at);
        let key = BacklogKey::Replica(&status.id).number();
        Some(Candidate {
            replica: status,
            parts,
            in_flight: requests_at(status, &local, reported_at) as f64,
            queue_us: in_flight.queue_time(inputs.now, key).as_micros() as f64,
            slowdown: in_flight.slowdown(key),
            memory_use: memory(inputs.fleet, inputs.context, in_flight.memory_tokens(inputs.now, key), parts),
            same_zone: status.zone == inputs.state.settings.zone,
        })
    };
    eligible.iter().filter_map(candidate).collect()
}

/// Requests that run and wait at a replica: by the newer of its own report and the index node's, and those that this
/// router has sent since.
fn requests_at(status: &ReplicaStatus, local: &LocalLoad, index_reported_at: Option<Duration>) -> u64 {
    let reported = match local.reported {
        Some(local_report) if index_reported_at.is_none_or(|index_reported_at| local_report.at > index_reported_at) => {
            local_report.requests
        }
        _ => status.load,
    };
    (reported + local.sent_since_report).max(local.running)
}

/// The replicas of the model and the stores that could transfer cached parts.
pub(super) fn sources<'a>(inputs: &Inputs<'a>) -> Vec<SourceCandidate<'a>> {
    if inputs.context.info.parts.is_empty() {
        return Vec::new();
    }
    let link_backlogs = inputs.state.link_backlogs().clone();
    let may_transfer = |status: &&ReplicaStatus| {
        let has_model = status.model == inputs.context.info.model || status.model == STORE_MODEL;
        !status.unavailable && !status.draining && has_model
    };
    let source = |status: &'a ReplicaStatus| SourceCandidate {
        replica: status,
        transfer_us_per_token: link_us(inputs.fleet, inputs.context, status),
        queue_us: link_backlogs.queue_time(inputs.now, BacklogKey::Link(&status.id).number()).as_micros() as f64,
    };
    inputs.statuses.iter().filter(may_transfer).map(source).collect()
}
