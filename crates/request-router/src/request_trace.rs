//! The traces of recent requests, so that operators can ask why a request was handled as it was.
use crate::json::{fixed_decimals, to_json};
use indexmap::IndexMap;
use serde::Serialize;
use sonic_rs::RawNumber;
use std::time::{Duration, Instant};

/// Limit on the traces that are kept; beyond it the oldest are dropped, a part at a time.
const MAX_TRACES: usize = 4096;
const DROPPED_AT_ONCE: usize = MAX_TRACES / 8;

/// What happened to one request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    pub started_at: Instant,
    pub tenant: String,
    pub kind: String,
    pub session: String,
    pub steps: Vec<TraceStep>,
    /// How it ended; `running` until then.
    pub outcome: String,
}

/// A step of a request.
#[derive(Clone, Debug)]
pub struct TraceStep {
    /// Since the start of the request.
    pub after: Duration,
    pub description: String,
}

impl Default for RequestTrace {
    fn default() -> Self {
        RequestTrace {
            started_at: Instant::now(),
            tenant: String::new(),
            kind: String::new(),
            session: String::new(),
            steps: Vec::new(),
            outcome: "running".into(),
        }
    }
}

impl RequestTrace {
    /// Adds a step that happens now.
    pub fn step(&mut self, description: impl ToString) {
        let step = TraceStep { after: self.started_at.elapsed(), description: description.to_string() };
        self.steps.push(step);
    }

    /// The trace as JSON, under the id of its request.
    fn to_json(&self, id: &str) -> String {
        to_json(&TracePage {
            request: id,
            tenant: &self.tenant,
            kind: &self.kind,
            session: &self.session,
            outcome: &self.outcome,
            steps: self.steps.iter().map(StepPage::new).collect(),
        })
    }
}

/// A trace as the page shows it.
#[derive(Serialize)]
struct TracePage<'a> {
    request: &'a str,
    tenant: &'a str,
    kind: &'a str,
    session: &'a str,
    outcome: &'a str,
    steps: Vec<StepPage<'a>>,
}

/// A step as the page shows it.
#[derive(Serialize)]
struct StepPage<'a> {
    /// Milliseconds since the start of the request, with one decimal.
    #[serde(rename = "atMs")]
    at_ms: Option<RawNumber>,
    what: &'a str,
}

impl<'a> StepPage<'a> {
    fn new(step: &'a TraceStep) -> Self {
        StepPage { at_ms: fixed_decimals(step.after.as_secs_f64() * 1000.0, 1), what: &step.description }
    }
}

/// The traces of the last few thousand requests, by id.
#[derive(Default)]
pub struct TraceLog {
    traces: IndexMap<String, RequestTrace>,
}

impl TraceLog {
    /// Keeps the trace of a request that has ended.
    pub fn insert(&mut self, id: &str, trace: RequestTrace) {
        self.traces.insert(id.to_string(), trace);
        if self.traces.len() > MAX_TRACES {
            self.traces.drain(..DROPPED_AT_ONCE);
        }
    }

    /// The trace of a request as JSON, where it is still kept.
    pub fn json_of(&self, id: &str) -> Option<String> {
        self.traces.get(id).map(|trace| trace.to_json(id))
    }

    /// The ids of the latest requests, newest first, `count` at most.
    pub fn latest(&self, count: usize) -> Vec<String> {
        self.traces.keys().rev().take(count).cloned().collect()
    }
}
