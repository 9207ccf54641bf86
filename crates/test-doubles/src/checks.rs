//! One call, read as any HTTP client would, with every byte checked against what the replica must
//! have said for this prompt.
use crate::job::Job;
use crate::running::piece;
use fleet_common::http_client;
use fleet_common::json;
use sonic_rs::JsonValueTrait;
use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};

/// What came of a call, as the caller saw it.
#[derive(Default)]
pub struct CheckedResponse {
    /// The HTTP status; 0 where the connection ended before a head.
    pub status: u16,
    /// Whether it came to its end.
    pub complete: bool,
    /// What was wrong with it, where a byte differs from what the replica must have sent.
    pub violation: Option<String>,
    /// Whether a stream ended before its end marker.
    pub truncated: bool,
    /// Time to the first piece, in microseconds.
    pub first_us: u64,
    /// The longest time between two pieces, in microseconds.
    pub gap_us: u64,
    /// The weights that it ran on, from its head.
    pub weights: String,
    /// The headers of its head.
    pub headers: Vec<(String, String)>,
    /// The reason that an answer other than 200 gave.
    pub rejection: String,
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
/// use test_doubles::{job::Job, checks::call};
/// let result = call(&Job::plain("127.0.0.1:1", "key", "prompt", 4));
/// assert!(result.truncated, "nobody is there");
/// ```
pub fn call(job: &Job) -> CheckedResponse {
    call_telling(job, &|| {})
}

/// As `call`; tells when the first piece has come.
pub(crate) fn call_telling(job: &Job, first: &dyn Fn()) -> CheckedResponse {
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
    let opened = http_client::open("POST", &url, &headers, body(job).as_bytes(), Duration::from_secs(30));
    let mut result = CheckedResponse::default();
    let Ok(opened) = opened else {
        result.truncated = true;
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
    } else {
        result.rejection = read_refusal(opened.body);
    }
    result
}

/// How long a caller goes on coming back after refusals.
const COMING_BACK: Duration = Duration::from_secs(60);

/// As `call`, by a caller that comes back each time it is told with 503 and `Retry-After` that its request did not
/// run. Gives the last answer and the reasons of the refusals before it.
/// ```
/// use test_doubles::{job::Job, checks::call_again};
/// let (result, refusals) = call_again(&Job::plain("127.0.0.1:1", "key", "prompt", 4));
/// assert!(result.truncated && refusals.is_empty(), "nobody is there");
/// ```
pub fn call_again(job: &Job) -> (CheckedResponse, Vec<String>) {
    let end = Instant::now() + COMING_BACK;
    let mut refusals = Vec::new();
    loop {
        let result = call(job);
        let pause = result.header("retry-after").and_then(|seconds| seconds.parse().ok());
        let Some(pause) = pause.filter(|_| result.status == 503 && Instant::now() < end) else {
            return (result, refusals);
        };
        refusals.push(result.rejection);
        std::thread::sleep(Duration::from_secs(pause).max(LEAST_PAUSE));
    }
}

/// A pause before coming back, where the refusal named none.
const LEAST_PAUSE: Duration = Duration::from_millis(50);

fn read_refusal(mut body: impl Read) -> String {
    let mut text = String::new();
    let _ = body.read_to_string(&mut text);
    let reason = sonic_rs::get(&text, ["error"]).ok().and_then(|error| error.as_str().map(str::to_string));
    reason.unwrap_or(text)
}

fn read_stream(job: &Job, mut reader: impl BufRead, begun: Instant, result: &mut CheckedResponse, first: &dyn Fn()) {
    let (mut number, mut done, mut last) = (0, false, begun);
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) if done => result.violation = Some("a piece after [DONE]".into()),
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
                result.truncated = true;
                return;
            }
        }
    }
    // The body ended by the protocol: it must be whole.
    result.complete = done && number == job.tokens;
    if !result.complete {
        result.violation = Some(format!("looks complete with {number} of {} pieces", job.tokens));
    }
}

fn check_piece(job: &Job, json: &str, number: u64, result: &mut CheckedResponse) {
    let get = |path: &[sonic_rs::PointerNode]| {
        sonic_rs::get(json, path).ok().and_then(|v| v.as_str().map(str::to_string)).unwrap_or_default()
    };
    let text = get(&sonic_rs::pointer!["choices", 0, "text"]);
    let weights = get(&sonic_rs::pointer!["system_fingerprint"]);
    if number == 0 {
        result.weights = weights.clone();
    }
    if weights != result.weights {
        result.violation = Some(format!("weights changed from {} to {weights} in one answer", result.weights));
    }
    if text != piece(&job.prompt, &weights, number) {
        result.violation = Some(format!("piece {number} is not this prompt's"));
    }
}

fn read_whole(job: &Job, mut reader: impl BufRead, begun: Instant, result: &mut CheckedResponse) {
    let mut text = String::new();
    if reader.read_to_string(&mut text).is_err() {
        result.truncated = true;
        return;
    }
    result.first_us = begun.elapsed().as_micros() as u64;
    let get = |path: &[sonic_rs::PointerNode]| {
        sonic_rs::get(&text, path).ok().and_then(|v| v.as_str().map(str::to_string)).unwrap_or_default()
    };
    result.weights = get(&sonic_rs::pointer!["system_fingerprint"]);
    let wanted: String = (0..job.tokens).map(|n| piece(&job.prompt, &result.weights, n)).collect();
    result.complete = get(&sonic_rs::pointer!["choices", 0, "text"]) == wanted;
    if !result.complete {
        result.violation = Some("a whole answer that is not this prompt's".into());
    }
}

impl CheckedResponse {
    /// A header of the answer, by its lower-case name.
    /// ```
    /// assert_eq!(test_doubles::checks::CheckedResponse::default().header("x-place"), None);
    /// ```
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}
