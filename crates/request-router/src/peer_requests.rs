//! What index nodes and operators ask of a router by frames, and what follows from false hits.
use crate::state::{RouterState, count};
use fleet_common::rpc::{Request, Response};
use routing::replica_table;
use stream_router::filter_copies::index_node_of;

/// The query of a request's trace, followed by the request's id.
const TRACE_QUERY: &str = "explain/";

/// Answers a request: a pushed filter, load reports, or a query of a request's trace.
pub fn answer(state: &RouterState, request: Request) -> Response {
    match request {
        Request::FilterPush(filter) => {
            count(&state.counters.filter_pushes);
            let taken = state.filter_copies.take(&state.fleet.read(), filter);
            if taken { Response::Done } else { Response::Rejected("an older filter".into()) }
        }
        Request::ReplicaReports(reports) => {
            let now = state.now();
            state.load_reports.update(|known| replica_table::merge(known, now, reports.into_items()));
            Response::Done
        }
        Request::StateReports(reports) => {
            let now = state.now();
            state.load_reports.update(|known| replica_table::merge(known, now, reports.into_items()));
            Response::Done
        }
        Request::Query(query) => answer_query(state, query.as_str()),
        _ => Response::Rejected("not a router's to answer".into()),
    }
}

fn answer_query(state: &RouterState, query: &str) -> Response {
    let trace = query.strip_prefix(TRACE_QUERY).and_then(|id| state.traces().json_of(id));
    match trace {
        Some(json) => Response::Json(json.into_bytes().into()),
        None => Response::Rejected("no such story here".into()),
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
