//! Reports the transfers that this router has initiated to the index, in a thread of its own, and learns from the
//! verdicts what links cost.
use crate::peer_requests::record_false_hit;
use crate::state::{RouterState, count};
use crate::transfer_attempt::TransferAttempt;
use fleet_common::threads::{self, STACK};
use routing::link_costs::TransferSample;
use std::sync::Arc;
use stream_router::audit_client::{AuditClient, AuditVerdict};
use stream_router::filter_copies::index_node_of;

/// Starts the thread.
pub fn start(state: Arc<RouterState>) {
    threads::start("transfer audits", STACK, move || {
        let mut client = AuditClient::default();
        while let Some(attempt) = state.transfer_attempts.pop() {
            audit(&state, &mut client, &attempt);
        }
    });
}

fn audit(state: &RouterState, client: &mut AuditClient, attempt: &TransferAttempt) {
    let index_node = index_node_of(&state.fleet.read(), &attempt.source);
    if attempt.looks_missed() {
        count(&state.counters.slow_transfers);
    }
    let Some(index_node) = index_node else { return };
    let Some(verdict) = client.report(index_node, attempt.report(&state.name)) else { return };
    count(&state.counters.transfers_audited);
    match verdict {
        AuditVerdict::FalseHit => record_false_hit(state, &attempt.source),
        // The source had the blocks, so the time is the link's.
        AuditVerdict::Held => record_link_time(state, attempt),
        AuditVerdict::Unknown => {}
    }
}

fn record_link_time(state: &RouterState, attempt: &TransferAttempt) {
    let fleet = state.fleet.read();
    let Some(blueprint) = &fleet.fleet_config else { return };
    let measured = TransferSample {
        link: attempt.pair.clone(),
        transferred_blocks: attempt.transferred_blocks,
        recomputed_blocks: attempt.recomputed_blocks,
        prefill_us_per_block: attempt.prefill_us,
        first_token_us: attempt.first_event_us,
    };
    state.learnt_links().record_transfer(state.now(), &blueprint.links, &measured);
}
