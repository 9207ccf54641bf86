//! The operators' HTTP interface: commands at /commands, the membership list at /cores, queries everywhere else.
use crate::event_loop::ReplicaHandle;
use crate::request_trace::trace;
use control_state::command::CommandRequest;
use control_state::outcome::{Outcome, Verdict};
use fleet_common::http_server::{Incoming, ResponseHeaders};
use fleet_common::json::{self, ParseError};
use fleet_common::rpc::{Request, Response, SetMembersRequest};
use serde::Serialize;
use sonic_rs::LazyValue;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

const UNAVAILABLE: u16 = 503;

/// The body of a rejection: which field is wrong, and why.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    pointer: &'a str,
    what: &'a str,
}

/// The body of a command's response once its outcome is known.
#[derive(Serialize)]
struct CommandBody<'a> {
    id: &'a str,
    status: &'a str,
    outcome: LazyValue<'a>,
}

/// The body of a command's response while nobody can say whether it took effect.
#[derive(Serialize)]
struct UnknownBody<'a> {
    id: &'a str,
    status: &'a str,
    detail: &'a str,
}

fn retry_after(seconds: u32) -> ResponseHeaders {
    vec![("Retry-After", seconds.to_string())]
}

fn respond_body(incoming: Incoming, status: u16, body: &impl Serialize, headers: ResponseHeaders) {
    match sonic_rs::to_string(body) {
        Ok(text) => incoming.respond_json(status, &text, headers),
        Err(error) => incoming.respond(500, "text/plain", error.to_string().as_bytes(), vec![]),
    }
}

fn reject(incoming: Incoming, status: u16, error: &ParseError) {
    let headers = if status == UNAVAILABLE { retry_after(1) } else { vec![] };
    let detail = ErrorDetail { pointer: &error.pointer, what: &error.reason };
    respond_body(incoming, status, &ErrorBody { error: detail }, headers);
}

/// Says that the request cannot be served now, and why.
fn reject_unavailable(incoming: Incoming, reason: impl ToString) {
    let error = ParseError { pointer: String::new(), reason: reason.to_string() };
    reject(incoming, UNAVAILABLE, &error);
}

/// Responds to one request of an operator.
/// ```no_run
/// # fn example(driver: std::sync::Arc<control_server::event_loop::ReplicaHandle>, listener: std::net::TcpListener) {
/// use fleet_common::http_server;
/// http_server::serve(listener, 4, move |incoming| control_server::operator_api::respond(&driver, incoming)).unwrap();
/// # }
/// ```
pub fn respond(driver: &ReplicaHandle, incoming: Incoming) {
    let path = incoming.path.trim_matches('/').to_string();
    match (incoming.method.as_str(), path.as_str()) {
        ("POST", "commands") => command(driver, incoming),
        ("POST", "cores") => set_members(driver, incoming),
        ("GET", "health") => incoming.respond_json(200, "{\"up\":true}", vec![]),
        ("GET", "log") => incoming.respond_log(),
        ("GET", "self") => query(driver, incoming, "self"),
        ("GET", "metrics") => metrics(driver, incoming),
        ("GET", _) => match path.strip_prefix("explain/") {
            Some(request) => explain(driver, incoming, request),
            None => query(driver, incoming, &path),
        },
        _ => reject(incoming, 405, &ParseError { pointer: String::new(), reason: "GET, or POST /commands".into() }),
    }
}

fn command(driver: &ReplicaHandle, incoming: Incoming) {
    let command = match CommandRequest::parse_operator_text(&incoming.body) {
        Ok(command) => command,
        Err(error) => return reject(incoming, 400, &error),
    };
    let id = &command.id;
    match command.to_request().and_then(|request| driver.request_any(request, REQUEST_TIMEOUT)) {
        Ok(Response::Json(text)) => respond_outcome(incoming, id, &String::from_utf8_lossy(text.as_slice())),
        Ok(other) => respond_unknown(incoming, id, &format!("{other:?}")),
        Err(error) => respond_unknown(incoming, id, &error.to_string()),
    }
}

/// Responds with a command's outcome, given as JSON.
fn respond_outcome(incoming: Incoming, id: &str, text: &str) {
    let (Ok(outcome), Ok(raw)) = (sonic_rs::from_str::<Outcome>(text), sonic_rs::from_str::<LazyValue>(text)) else {
        return respond_unknown(incoming, id, "the outcome cannot be read");
    };
    if outcome.verdict() == Verdict::Unknown {
        return respond_unknown(incoming, id, &outcome.detail);
    }
    let status = if outcome.accepted() { "accepted" } else { "refused" };
    respond_body(incoming, outcome.code, &CommandBody { id, status, outcome: raw }, vec![]);
}

fn respond_unknown(incoming: Incoming, id: &str, detail: &str) {
    respond_body(incoming, UNAVAILABLE, &UnknownBody { id, status: "unknown", detail }, retry_after(1));
}

fn parse_members(body: &[u8]) -> Result<SetMembersRequest, ParseError> {
    let root = json::root(body)?;
    root.only_fields(&["expect", "cores"])?;
    let rows = root.required("cores")?;
    let members: Result<Vec<String>, ParseError> = rows.items()?.iter().map(|row| row.text()).collect();
    Ok(SetMembersRequest {
        expected_view: root.required("expect")?.number(1, u64::MAX)?,
        members: members?.join(",").into(),
    })
}

/// Replaces the membership list of control replicas.
fn set_members(driver: &ReplicaHandle, incoming: Incoming) {
    let request = match parse_members(&incoming.body) {
        Ok(request) => Request::SetMembers(request),
        Err(error) => return reject(incoming, 400, &error),
    };
    match driver.request_any(request, REQUEST_TIMEOUT) {
        Ok(Response::Json(text)) => {
            let text = String::from_utf8_lossy(text.as_slice()).into_owned();
            let status = if text.starts_with("{\"code\":202") { 202 } else { 409 };
            incoming.respond_json(status, &text, vec![]);
        }
        other => reject_unavailable(incoming, format!("unknown: {other:?}")),
    }
}

fn explain(driver: &ReplicaHandle, incoming: Incoming, request: &str) {
    match trace(driver, request, REQUEST_TIMEOUT) {
        Ok(text) => incoming.respond_json(200, &text, vec![]),
        Err(error) => reject_unavailable(incoming, error),
    }
}

fn query(driver: &ReplicaHandle, incoming: Incoming, path: &str) {
    match driver.request_any(Request::Query(path.into()), REQUEST_TIMEOUT) {
        Ok(Response::Json(text)) => {
            let text = String::from_utf8_lossy(text.as_slice()).into_owned();
            let status = if text.starts_with("{\"error\"") { 404 } else { 200 };
            incoming.respond_json(status, &text, vec![]);
        }
        Ok(other) => reject_unavailable(incoming, format!("{other:?}")),
        Err(error) => reject_unavailable(incoming, error),
    }
}

fn metrics(driver: &ReplicaHandle, incoming: Incoming) {
    let text = match driver.request(Request::Query("self".into())) {
        Response::Json(text) => String::from_utf8_lossy(text.as_slice()).into_owned(),
        _ => return reject_unavailable(incoming, "busy"),
    };
    let number = |name: &str| {
        use sonic_rs::JsonValueTrait;
        sonic_rs::get(&text, [name]).ok().and_then(|v| v.as_u64()).unwrap_or(0)
    };
    let figures = [
        ("seq", "seq"),
        ("synced", "synced"),
        ("committed", "committed"),
        ("snapshot", "snapshot"),
        ("full_copies", "fullCopies"),
    ];
    let line = |(metric, field): (&str, &str)| format!("coursebend_core_{metric} {}\n", number(field));
    let body = figures.map(line).concat();
    incoming.respond(200, "text/plain; version=0.0.4", body.as_bytes(), vec![]);
}
