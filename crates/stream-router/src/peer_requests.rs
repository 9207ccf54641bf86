//! What index nodes and operators ask of a router by frames, and what follows from false hits.
use crate::filter_copies::index_node_of;
use crate::state::{RouterState, count};
use fleet_common::rpc::{Request, Response, StateReport};
use routing::replica_table;

/// Answers a request: a pushed filter, load reports, or a query of the counters.
pub fn answer(state: &RouterState, request: Request) -> Response {
    match request {
        Request::FilterPush(filter) => {
            count(&state.counters.filter_pushes);
            let taken = state.filter_copies.take(&state.fleet.read(), filter);
            if taken { Response::Done } else { Response::Rejected("an older filter".into()) }
        }
        Request::ReplicaReports(reports) => {
            take_load_reports(state, reports.into_items().into_iter().map(StateReport::from).collect());
            Response::Done
        }
        Request::StateReports(reports) => {
            take_load_reports(state, reports.into_items());
            Response::Done
        }
        Request::Query(_) => Response::Json(state.counters.words().into_bytes().into()),
        _ => Response::Rejected("not a router's to answer".into()),
    }
}

/// Takes reports of replicas' load. What this router sent before is included in them.
fn take_load_reports(state: &RouterState, reports: Vec<StateReport>) {
    let now = state.now();
    let replicas: Vec<String> = reports.iter().map(|report| report.replica.replica.to_string()).collect();
    state.load_reports.update(|known| replica_table::merge(known, now, reports));
    let mut local_loads = state.local_loads();
    for replica in &replicas {
        if let Some(load) = local_loads.get_mut(replica) {
            load.sent_since_report = 0;
        }
    }
}

/// Counts a false hit of a replica's filter; a copy that has become stale by it is pulled again.
pub fn record_false_hit(state: &RouterState, replica: &str) {
    count(&state.counters.false_hits);
    let fleet = state.fleet.read();
    if !state.filter_copies.record_false_hit(&fleet, replica) {
        return;
    }
    if let Some(index_node) = index_node_of(&fleet, replica) {
        count(&state.counters.filter_pulls);
        state.filter_copies.pull_from(index_node, &state.fleet, replica);
    }
}
