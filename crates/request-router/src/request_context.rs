//! A request on its way through the phases, and what a phase decides.
use crate::json::to_json;
use crate::request_trace::RequestTrace;
use crate::state::RouterState;
use fleet_common::http_server::{Incoming, ResponseHeaders};
use routing::request_machine::{self, Action, ClientResponse, Outcome, RequestMachine, StopReason};
use serde::Serialize;
use std::time::Duration;

/// The body of a request for a completion.
#[derive(Clone, Debug, Default)]
pub struct CompletionRequest {
    pub model: String,
    pub prompt: String,
    /// Whether the client wants the response as a stream of events.
    pub stream: bool,
    /// Limit on the tokens of the response.
    pub max_tokens: u64,
    /// The body as it was sent.
    pub body: Vec<u8>,
}

/// A request and what the phases have found out about it.
pub struct RequestContext {
    pub id: String,
    pub path: String,
    /// The client's side, until a response is started.
    pub incoming: Option<Incoming>,
    pub completion: CompletionRequest,
    /// The fingerprint of its API key.
    pub key_print: String,
    pub tenant: String,
    /// Whose cached prompts it may share: those of its tenant alone, or of all tenants that share.
    pub cache_scope: String,
    /// The kind of work that the client names; empty where it names none.
    pub kind: String,
    /// 1 to 9, 9 the most urgent.
    pub urgency: u64,
    /// When its time budget ends, since the start of the router.
    pub deadline: Duration,
    /// Requests of one session go to the same replica.
    pub session: String,
    /// The replica that the client names, from an earlier response.
    pub requested_replica: Option<String>,
    /// The idempotency key of a request that must not run twice.
    pub idempotency_key: Option<String>,
    /// Whether it goes to the app service instead of a model replica.
    pub to_app: bool,
    /// Whether admission control counts it as in flight.
    pub admitted: bool,
    pub machine: RequestMachine,
    /// What the state machine wants done next.
    pub pending_actions: Vec<Action>,
    pub trace: RequestTrace,
}

impl RequestContext {
    /// Whether the request may go on at this moment.
    pub fn check_allowed(&self, state: &RouterState) -> Result<(), StopReason> {
        let client = (self.key_print.as_str(), self.tenant.as_str());
        request_machine::check_allowed(&state.fleet.read(), state.holds_lease(), client, state.now(), self.deadline)
    }

    /// A number that identifies its kind of work.
    pub fn kind_key(&self) -> u64 {
        fleet_common::hash::bytes(0, self.kind.as_bytes())
    }
}

/// A response that the router makes itself.
pub struct LocalReply {
    pub status: u16,
    /// Where in the body the error is (RFC 6901); empty where it is elsewhere.
    pub pointer: String,
    /// The text of the error.
    pub message: String,
    /// Whether the request may have been executed.
    pub outcome: Outcome,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
}

/// The body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
    request: &'a str,
    outcome: &'a str,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    pointer: &'a str,
    what: &'a str,
}

/// Seconds after which to come back: 1 to 3, so that clients do not all come back at once.
fn spread_retry_after() -> u64 {
    1 + fleet_common::hash::unique_id() % 3
}

impl LocalReply {
    /// An error response to a request that has not run.
    pub fn new(status: u16, pointer: &str, message: impl ToString) -> Self {
        let (pointer, message) = (pointer.to_string(), message.to_string());
        LocalReply { status, pointer, message, outcome: Outcome::NotExecuted, retry_after: None }
    }

    /// The same with a `Retry-After`.
    pub fn with_retry_after(status: u16, message: impl ToString) -> Self {
        LocalReply { retry_after: Some(spread_retry_after()), ..LocalReply::new(status, "", message) }
    }

    /// Sends it to the client of the request with this id.
    pub fn send(self, incoming: Incoming, id: &str) {
        let error = ErrorDetail { pointer: &self.pointer, what: &self.message };
        let body = to_json(&ErrorBody { error, request: id, outcome: self.outcome.header_value() });
        let mut extra: ResponseHeaders =
            vec![("X-Request-Id", id.to_string()), ("X-Outcome", self.outcome.header_value().to_string())];
        if let Some(after) = self.retry_after {
            extra.push(("Retry-After", after.to_string()));
        }
        incoming.respond_json(self.status, &body, extra);
    }
}

impl From<ClientResponse> for LocalReply {
    fn from(response: ClientResponse) -> Self {
        // 0 leaves the time to the router; what a replica asked for stays.
        let retry_after = response.retry_after.map(|after| if after == 0 { spread_retry_after() } else { after });
        LocalReply { retry_after, outcome: response.outcome, ..LocalReply::new(response.status, "", response.reason) }
    }
}

/// What a phase decides.
pub enum PhaseOutcome {
    /// Go on with the next phase.
    Continue,
    /// Respond with this.
    Reply(LocalReply),
    /// The response is written, or nobody waits for it.
    Responded,
}
