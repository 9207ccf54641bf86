//! Reports the transfers that this router has initiated to the index, in a thread of its own.
use crate::audit_client::{AuditClient, AuditVerdict};
use crate::filter_copies::index_node_of;
use crate::peer_requests::record_false_hit;
use crate::state::RouterState;
use crate::transfer_attempt::TransferAttempt;
use fleet_common::rpc::TransferReport;
use fleet_common::threads::{self, STACK};
use std::sync::Arc;

/// Starts the thread.
pub fn start(state: Arc<RouterState>) {
    threads::start("transfer audits", STACK, move || {
        let mut client = AuditClient::default();
        while let Some(attempt) = state.transfer_attempts.pop() {
            let fleet = state.fleet.read();
            let Some(index_node) = index_node_of(&fleet, &attempt.source) else { continue };
            let verdict = client.report(index_node, report(&state, &attempt));
            if verdict == Some(AuditVerdict::FalseHit) {
                record_false_hit(&state, &attempt.source);
            }
        }
    });
}

fn report(state: &RouterState, attempt: &TransferAttempt) -> TransferReport {
    let filter_version = state.filter_copies.read().get(&attempt.source).map_or(0, |copy| copy.version);
    TransferReport {
        request: attempt.request_id.as_str().into(),
        router: state.settings.name.as_str().into(),
        source: attempt.source.as_str().into(),
        block: attempt.last_part,
        filter_version,
        expected_ms: 0,
        first_chunk_ms: attempt.time_to_first_event.as_millis() as u64,
    }
}
