//! One call, read as any HTTP client would, with every byte checked against what the replica must
//! have said for this prompt.
use crate::caller::Job;
use crate::running::piece;
use fleet_common::http_out;
use fleet_common::json;
use sonic_rs::JsonValueTrait;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

/// What came of a call, as the caller saw it.
#[derive(Default)]
pub struct Result {
    pub status: u16,
    pub whole: bool,
    pub wrong: Option<String>,
    pub cut: bool,
    pub first_us: u64,
    pub gap_us: u64,
    pub weights: String,
    pub headers: Vec<(String, String)>,
}

fn body(job: &Job) -> String {
    format!(
        "{{\"model\":{},\"prompt\":{},\"max_tokens\":{},\"stream\":{}}}",
        json::quote(&job.model),
        json::quote(&job.prompt),
        job.tokens,
        job.stream
    )
}

/// Makes a call and checks its answer.
/// ```
/// use stand_in::{caller::Job, checks::call};
/// let result = call(&Job::plain("127.0.0.1:1", "key", "prompt", 4));
/// assert!(result.cut, "nobody is there");
/// ```
pub fn call(job: &Job) -> Result {
    call_telling(job, &|| {})
}

/// As `call`; tells when the first piece has come.
pub(crate) fn call_telling(job: &Job, first: &dyn Fn()) -> Result {
    let mut headers = vec![
        ("content-type", "application/json".to_string()),
        ("authorization", format!("Bearer {}", job.key)),
        ("x-session", job.session.clone()),
        ("x-kind", job.kind.to_string()),
    ];
    if let Some(budget_ms) = job.budget_ms {
        headers.push(("x-budget-ms", budget_ms.to_string()));
    }
    if let Some(once) = &job.once {
        headers.push(("idempotency-key", once.clone()));
    }
    let begun = Instant::now();
    let url = format!("http://{}/v1/completions", job.edge);
    let opened = http_out::open("POST", &url, &headers, body(job).as_bytes(), Duration::from_secs(30));
    let mut result = Result::default();
    let Ok(opened) = opened else {
        result.cut = true;
        return result;
    };
    result.status = opened.status;
    result.headers = opened.headers;
    if result.status == 200 {
        let reader = BufReader::new(opened.body);
        if job.stream {
            read_stream(job, reader, begun, &mut result, first)
        } else {
            read_whole(job, reader, begun, &mut result)
        }
    }
    result
}

fn read_stream(job: &Job, mut reader: impl BufRead, begun: Instant, result: &mut Result, first: &dyn Fn()) {
    let (mut number, mut done, mut last) = (0, false, begun);
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) if done => result.wrong = Some("a piece after [DONE]".into()),
            Ok(_) if line == "data: [DONE]\n" => done = true,
            Ok(_) => {
                let gap = last.elapsed().as_micros() as u64;
                last = Instant::now();
                if number == 0 {
                    result.first_us = begun.elapsed().as_micros() as u64;
                } else {
                    result.gap_us = result.gap_us.max(gap);
                }
                check_piece(job, line.strip_prefix("data: ").unwrap_or_default(), number, result);
                if number == 0 {
                    first();
                }
                number += 1;
            }
            Err(_) => {
                result.cut = true;
                return;
            }
        }
    }
    // The body ended by the protocol: it must be whole.
    result.whole = done && number == job.tokens;
    if !result.whole {
        result.wrong = Some(format!("looks complete with {number} of {} pieces", job.tokens));
    }
}

fn check_piece(job: &Job, json: &str, number: u64, result: &mut Result) {
    let get = |path: &[sonic_rs::PointerNode]| {
        sonic_rs::get(json, path).ok().and_then(|v| v.as_str().map(str::to_string)).unwrap_or_default()
    };
    let text = get(&sonic_rs::pointer!["choices", 0, "text"]);
    let weights = get(&sonic_rs::pointer!["system_fingerprint"]);
    if number == 0 {
        result.weights = weights.clone();
    }
    if weights != result.weights {
        result.wrong = Some(format!("weights changed from {} to {weights} in one answer", result.weights));
    }
    if text != piece(&job.prompt, &weights, number) {
        result.wrong = Some(format!("piece {number} is not this prompt's"));
    }
}

fn read_whole(job: &Job, mut reader: impl BufRead, begun: Instant, result: &mut Result) {
    let mut text = String::new();
    if reader.read_to_string(&mut text).is_err() {
        result.cut = true;
        return;
    }
    result.first_us = begun.elapsed().as_micros() as u64;
    let get = |path: &[sonic_rs::PointerNode]| {
        sonic_rs::get(&text, path).ok().and_then(|v| v.as_str().map(str::to_string)).unwrap_or_default()
    };
    result.weights = get(&sonic_rs::pointer!["system_fingerprint"]);
    let wanted: String = (0..job.tokens).map(|n| piece(&job.prompt, &result.weights, n)).collect();
    result.whole = get(&sonic_rs::pointer!["choices", 0, "text"]) == wanted;
    if !result.whole {
        result.wrong = Some("a whole answer that is not this prompt's".into());
    }
}

/// Figures of many calls.
#[derive(Default)]
pub(crate) struct Figures {
    calls: u64,
    whole: u64,
    cut: u64,
    wrong: Vec<String>,
    statuses: BTreeMap<u16, u64>,
    tenants: BTreeMap<String, (u64, u64)>,
    kinds: BTreeMap<String, (u64, u64)>,
    no_retry_after: u64,
    sourced: u64,
    reasons: BTreeMap<String, u64>,
    weights: BTreeMap<String, u64>,
    first_us: Vec<u64>,
    gap_us: Vec<u64>,
}

fn spread(mut all: Vec<u64>) -> String {
    all.sort_unstable();
    let at = |share: usize| all.get((all.len().saturating_sub(1)) * share / 1000).copied().unwrap_or(0) as f64 / 1000.0;
    format!(
        "{{\"n\":{},\"p50Ms\":{:.2},\"p90Ms\":{:.2},\"p99Ms\":{:.2},\"maxMs\":{:.2}}}",
        all.len(),
        at(500),
        at(900),
        at(990),
        at(1000)
    )
}

impl Result {
    /// A header of the answer, by its lower-case name.
    /// ```
    /// assert_eq!(stand_in::checks::Result::default().header("x-place"), None);
    /// ```
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

impl Figures {
    pub(crate) fn take(&mut self, job: &Job, result: &Result) {
        let header = |name: &str| result.header(name).map(str::to_string);
        self.calls += 1;
        self.whole += u64::from(result.whole);
        self.cut += u64::from(result.cut);
        let tenant = self.tenants.entry(job.tenant.clone()).or_default();
        tenant.0 += 1;
        tenant.1 += u64::from(result.whole);
        let kind = self.kinds.entry(job.kind.to_string()).or_default();
        kind.0 += 1;
        kind.1 += u64::from(result.whole);
        *self.statuses.entry(result.status).or_default() += 1;
        if [429, 503].contains(&result.status) && header("retry-after").is_none() {
            self.no_retry_after += 1;
        }
        if result.wrong.is_some() {
            self.wrong.extend(result.wrong.clone());
        }
        if result.whole {
            self.first_us.push(result.first_us);
            self.gap_us.push(result.gap_us);
            self.sourced += u64::from(header("x-cache-source").is_some());
            *self.reasons.entry(header("x-place-reason").unwrap_or_default()).or_default() += 1;
            *self.weights.entry(result.weights.clone()).or_default() += 1;
        }
    }

    pub(crate) fn words(&self) -> String {
        format!(
            "{{\"calls\":{},\"whole\":{},\"cut\":{},\"wrong\":{},\"firstWrong\":{},\"noRetryAfter\":{},\"sourced\":{},\"statuses\":{},\"reasons\":{},\"weights\":{},\"tenants\":{},\"kinds\":{},\"firstPiece\":{},\"longestGap\":{}}}",
            self.calls,
            self.whole,
            self.cut,
            self.wrong.len(),
            json::quote(self.wrong.first().map_or("", |w| w.as_str())),
            self.no_retry_after,
            self.sourced,
            sonic_rs::to_string(&self.statuses.iter().map(|(k, v)| (k.to_string(), *v)).collect::<BTreeMap<_, _>>())
                .unwrap_or_default(),
            sonic_rs::to_string(&self.reasons).unwrap_or_default(),
            sonic_rs::to_string(&self.weights).unwrap_or_default(),
            sonic_rs::to_string(&self.tenants).unwrap_or_default(),
            sonic_rs::to_string(&self.kinds).unwrap_or_default(),
            spread(self.first_us.clone()),
            spread(self.gap_us.clone())
        )
    }
}
