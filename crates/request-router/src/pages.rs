//! Pages for operators: what this router knows, and the trace of a request.
use crate::json::{fixed_decimals, to_json};
use crate::state::RouterState;
use fleet_common::http_server::Incoming;
use fleet_common::rpc::SOURCES;
use indexmap::IndexMap;
use routing::link_costs::{Link, LinkEstimate};
use routing::replica_table::NO_TRUSTED_VERSION;
use serde::Serialize;
use sonic_rs::RawNumber;

/// How many request ids the page of requests shows.
const REQUESTS_SHOWN: usize = 50;
/// The content type of metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers an operator's request for a page.
pub fn answer(state: &RouterState, incoming: Incoming) {
    let path = incoming.path.clone();
    match path.as_str() {
        "/health" => answer_health(state, incoming),
        "/self" => incoming.respond_json(200, &to_json(&SelfPage::new(state)), vec![]),
        "/metrics" => {
            let text = state.counters.words() + &link_metrics(state);
            incoming.respond(200, METRICS_TYPE, text.as_bytes(), vec![]);
        }
        "/log" => incoming.respond_log(),
        "/requests" => incoming.respond_json(200, &to_json(&state.traces().latest(REQUESTS_SHOWN)), vec![]),
        _ => answer_trace(state, incoming, &path),
    }
}

#[derive(Serialize)]
struct HealthPage {
    up: bool,
    #[serde(rename = "takesRequests")]
    takes_requests: bool,
}

fn answer_health(state: &RouterState, incoming: Incoming) {
    let takes_requests = state.holds_lease() && !state.is_draining();
    let body = to_json(&HealthPage { up: true, takes_requests });
    incoming.respond_json(if takes_requests { 200 } else { 503 }, &body, vec![]);
}

#[derive(Serialize)]
struct ErrorPage {
    error: PageError,
}

#[derive(Serialize)]
struct PageError {
    pointer: &'static str,
    what: &'static str,
}

fn answer_trace(state: &RouterState, incoming: Incoming, path: &str) {
    let trace = path.strip_prefix("/explain/").and_then(|id| state.traces().json_of(id));
    match trace {
        Some(json) => incoming.respond_json(200, &json, vec![]),
        None => {
            let error = PageError { pointer: "", what: "no such page" };
            incoming.respond_json(404, &to_json(&ErrorPage { error }), vec![]);
        }
    }
}

/// What transferring a block costs, as learnt, for each pair of zones that was tried.
fn link_metrics(state: &RouterState) -> String {
    let fleet = state.fleet.read();
    let Some(blueprint) = &fleet.fleet_config else { return String::new() };
    let rows = state.learnt_links().report(state.now(), &blueprint.links);
    let lines = |estimate: &LinkEstimate| {
        let LinkEstimate { link: Link { from, to }, us_per_block: us, transfers } = estimate;
        let labels = format!("{{from=\"{from}\",to=\"{to}\"}}");
        format!("coursebend_router_link_us_per_block{labels} {us}\ncoursebend_router_link_tries{labels} {transfers}\n")
    };
    rows.iter().map(lines).collect()
}

/// The page of what this router knows. Names on the page are older than those in the code.
#[derive(Serialize)]
struct SelfPage {
    name: String,
    #[serde(rename = "fresh")]
    holds_lease: bool,
    #[serde(rename = "inFlight")]
    in_flight: u64,
    /// The versions of the sources that it has.
    versions: IndexMap<&'static str, u64>,
    keys: KeyCounts,
    #[serde(rename = "seats")]
    replicas: IndexMap<String, ReplicaRow>,
    #[serde(rename = "mirrors")]
    filter_copies: IndexMap<String, FilterRow>,
}

#[derive(Serialize)]
struct KeyCounts {
    #[serde(rename = "held")]
    known: usize,
    withdrawn: usize,
}

#[derive(Serialize)]
struct ReplicaRow {
    weights: String,
    /// The weights of each model, of replicas with several.
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    models: IndexMap<String, String>,
    #[serde(rename = "leaving")]
    draining: bool,
    down: bool,
    load: u64,
    /// Whether its index node has reported it recently.
    heard: bool,
}

#[derive(Serialize)]
struct FilterRow {
    index: String,
    fence: u64,
    version: u64,
    weights: String,
    /// The share of bits that are set, with three decimals.
    filled: Option<RawNumber>,
    #[serde(rename = "falseHits")]
    false_hits: u64,
    stale: bool,
}

impl SelfPage {
    fn new(state: &RouterState) -> SelfPage {
        let fleet = state.fleet.read();
        SelfPage {
            name: state.name.clone(),
            holds_lease: state.holds_lease(),
            in_flight: state.in_flight().total(),
            versions: SOURCES.iter().copied().zip(fleet.versions).collect(),
            keys: KeyCounts {
                known: fleet.keys.len(),
                withdrawn: fleet.keys.values().filter(|key| key.withdrawn).count(),
            },
            replicas: replica_rows(state),
            filter_copies: filter_rows(state),
        }
    }
}

fn replica_rows(state: &RouterState) -> IndexMap<String, ReplicaRow> {
    let statuses = state.replica_statuses().into_iter();
    let reports = state.load_reports.read();
    let row = |seat: routing::session_placement::ReplicaStatus| {
        let models = reports.get(&seat.id).map(|received| received.models.as_slice()).unwrap_or_default();
        let row = ReplicaRow {
            weights: seat.weights,
            models: models.iter().map(|own| (own.model.to_string(), own.weights.to_string())).collect(),
            draining: seat.draining,
            down: seat.unavailable,
            load: seat.load,
            heard: seat.minimum_version != NO_TRUSTED_VERSION,
        };
        (seat.id, row)
    };
    statuses.map(row).collect()
}

fn filter_rows(state: &RouterState) -> IndexMap<String, FilterRow> {
    let copies = state.filter_copies.read();
    let rows = copies.values().map(|copy| {
        let row = FilterRow {
            index: copy.index.clone(),
            fence: copy.fencing_token,
            version: copy.version,
            weights: copy.weights.clone(),
            filled: fixed_decimals(copy.bits.fill_ratio(), 3),
            false_hits: copy.false_hits,
            stale: copy.stale,
        };
        (copy.replica.clone(), row)
    });
    rows.collect()
}
