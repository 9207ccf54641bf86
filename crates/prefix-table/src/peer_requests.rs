//! What routers and other index nodes may ask of an index node.
use crate::index_node::{IndexNode, table_size};
use crate::replica_reports::{changes_any_state, merge};
use crate::table::PrefixTable;
use fleet_common::rpc::{Request, Response, StateReport, TableSnapshot, TransferReport, audit};
use serde::Serialize;
use std::time::Duration;

/// So many audits are remembered for operators.
const MAX_AUDITS: usize = 2048;

/// The audit of a transfer, as operators see it. Fields keep their names in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct AuditRecord {
    /// The request that the transfer was for.
    #[serde(skip)]
    request: String,
    router: String,
    source: String,
    verdict: &'static str,
    #[serde(rename = "firstPieceMs")]
    first_token_ms: u64,
    #[serde(rename = "expectedMs")]
    expected_ms: u64,
}

fn verdict_name(verdict: u8) -> &'static str {
    match verdict {
        audit::CACHED => "held",
        audit::COLLISION => "collision",
        audit::STALE => "stale",
        audit::NOT_ASSIGNED => "not mine",
        _ => "odd",
    }
}

impl IndexNode {
    /// Answers a request of a router or of another index node.
    pub fn answer(&mut self, now: Duration, ask: Request) -> Response {
        self.advance_clock(now);
        match ask {
            Request::FilterPull(replica) => match self.next_filter(replica.as_str()) {
                Some(filter) => Response::Filter(filter),
                None => Response::Rejected("not my duty".into()),
            },
            Request::TransferReport(transfer) => Response::Audit(self.audit_transfer(&transfer)),
            Request::Query(query) => self.answer_query(query.as_str()),
            Request::TablePull(replica) => self.answer_snapshot(replica.as_str()),
            Request::TablePush(snapshot) => self.accept_snapshot(&snapshot),
            Request::ReplicaReports(reports) => {
                self.accept_reports(reports.into_items().into_iter().map(StateReport::from).collect());
                Response::Done
            }
            Request::StateReports(reports) => {
                self.accept_reports(reports.into_items());
                Response::Done
            }
            _ => Response::Rejected("not an index node's to answer".into()),
        }
    }

    /// The verdict on a transfer, which is remembered for operators.
    fn audit_transfer(&mut self, transfer: &TransferReport) -> u8 {
        let source = transfer.source.as_str();
        let owned = self.owned_fencing_token(source);
        let verdict = match (owned, self.replicas.get_mut(source)) {
            (Some(fencing_token), Some(tracked)) if tracked.fencing_token == Some(fencing_token) => {
                let verdict = tracked.table.audit(transfer.block);
                tracked.audit_counts[verdict as usize] += 1;
                verdict
            }
            _ => audit::NOT_ASSIGNED,
        };
        self.record_audit(transfer, verdict);
        verdict
    }

    fn record_audit(&mut self, transfer: &TransferReport, verdict: u8) {
        self.audit_log.push_back(AuditRecord {
            request: transfer.request.to_string(),
            router: transfer.router.to_string(),
            source: transfer.source.to_string(),
            verdict: verdict_name(verdict),
            first_token_ms: transfer.first_chunk_ms,
            expected_ms: transfer.expected_ms,
        });
        if self.audit_log.len() > MAX_AUDITS {
            self.audit_log.pop_front();
        }
    }

    /// `explain/REQUEST`: the audits of a request's transfers, which outlast its router.
    fn answer_query(&self, query: &str) -> Response {
        let request = query.strip_prefix("explain/").unwrap_or_default();
        let audits: Vec<&AuditRecord> = self.audit_log.iter().filter(|audit| audit.request == request).collect();
        match sonic_rs::to_vec(&audits) {
            Ok(json) if !audits.is_empty() => Response::Json(json.into()),
            _ => Response::Rejected("no such request here".into()),
        }
    }

    fn answer_snapshot(&self, replica: &str) -> Response {
        let Some(tracked) = self.replicas.get(replica) else {
            return Response::Rejected("no such table here".into());
        };
        let fencing_token = tracked.fencing_token.unwrap_or(tracked.snapshot_fencing_token);
        Response::Table(tracked.table.snapshot(replica, fencing_token))
    }

    /// A former owner hands its table over.
    fn accept_snapshot(&mut self, snapshot: &TableSnapshot) -> Response {
        let replica = snapshot.replica.to_string();
        if self.active_fencing_token(&replica).is_some() {
            return Response::Rejected("held here already".into());
        }
        let table = PrefixTable::from_snapshot(table_size(&self.fleet), self.now, snapshot);
        self.track_as_shadow(&replica, table, snapshot.fencing_token);
        Response::Done
    }

    fn accept_reports(&mut self, reports: Vec<StateReport>) {
        self.state_changed |= changes_any_state(&self.peer_reports, &reports);
        merge(&mut self.peer_reports, self.now, reports);
    }
}
