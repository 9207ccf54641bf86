//! The last phase of a request: performs the actions of its state machine, and tells it what happens at the replica
//! and at the client.
use crate::claims::complete_claim;
use crate::placement;
use crate::request_context::{PhaseOutcome, RequestContext};
use crate::responses::{event_text, finish, finish_app, forward_rejection, placement_headers, record_first_event};
use crate::state::{RouterState, count};
use crate::upstream::{self, BufferedResponse, Upstream, UpstreamEvent, UpstreamRequest};
use crossbeam::channel::RecvTimeoutError;
use fleet_common::http_server::ChunkedResponse;
use fleet_common::{PeerError, Step, ring};
use routing::placement::Placement;
use routing::request_machine::{self, Action, Event, Outcome};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a waiting request is checked whether it may still go on.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A replica that could not be reached is avoided for so long.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1500);
/// A replica that sends nothing for so long is given up, where no configuration says otherwise, in milliseconds.
const DEFAULT_STALL_MS: u64 = 10_000;
/// The event that ends a stream.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";
/// The path under which model replicas answer.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// Drives one request.
struct Forwarder<'a> {
    state: &'a Arc<RouterState>,
    context: &'a mut RequestContext,
    /// Where the current attempt goes.
    placement: Option<Placement>,
    /// The exchange of the current attempt.
    upstream: Option<Upstream>,
    /// The client's response, once it has started as a stream.
    response: Option<ChunkedResponse>,
    /// The event that came last.
    event: Vec<u8>,
    /// The text so far, for a client that wants the response at once.
    collected_text: String,
    /// A response that is not a stream of events.
    buffered: Option<BufferedResponse>,
    attempt_started: Instant,
    /// When anything came from the replica last.
    last_received: Instant,
    outcome: PhaseOutcome,
}

/// Drives a request from where the claim has left it to its end.
pub fn forward(state: &Arc<RouterState>, context: &mut RequestContext) -> PhaseOutcome {
    let actions = std::mem::take(&mut context.pending_actions);
    let now = Instant::now();
    let mut forwarder = Forwarder {
        state,
        context,
        placement: None,
        upstream: None,
        response: None,
        event: Vec::new(),
        collected_text: String::new(),
        buffered: None,
        attempt_started: now,
        last_received: now,
        outcome: PhaseOutcome::Responded,
    };
    forwarder.perform_all(actions);
    while !forwarder.context.machine.is_over() {
        let event = forwarder.next_event();
        let actions = forwarder.step(event);
        forwarder.perform_all(actions);
    }
    forwarder.outcome
}

impl Forwarder<'_> {
    fn step(&mut self, event: Event) -> Vec<Action> {
        let allowed = self.context.check_allowed(self.state);
        self.context.machine.step(allowed, event, &mut self.state.retry_tokens())
    }

    /// What happens next, or `Nothing` after the recheck interval.
    fn next_event(&mut self) -> Event {
        let Some(upstream) = &self.upstream else {
            return Event::ConnectionFailed { sent: true, cause: "no stream is open".into() };
        };
        let received = upstream.events.recv_timeout(RECHECK_INTERVAL);
        if received.is_ok() {
            self.last_received = Instant::now();
        }
        match received {
            Ok(UpstreamEvent::Event(event)) => {
                self.event = event;
                Event::Chunk { last: self.event == LAST_EVENT }
            }
            Ok(UpstreamEvent::Response(response)) => self.buffered_event(response),
            Ok(UpstreamEvent::Complete) => Event::StreamEnded,
            Ok(UpstreamEvent::Broken(error)) => self.broken_event(error),
            Err(RecvTimeoutError::Disconnected) => {
                Event::ConnectionFailed { sent: true, cause: "the stream ended oddly".into() }
            }
            Err(RecvTimeoutError::Timeout) => self.idle_event(),
        }
    }

    /// A response that is not a stream: the whole of an app service's, or the error of a replica.
    fn buffered_event(&mut self, response: BufferedResponse) -> Event {
        let retry_after = response.header("retry-after").and_then(|value| value.parse().ok());
        let not_run = response.header("x-not-run").is_some();
        let status = response.status;
        self.buffered = Some(response);
        if self.context.to_app {
            Event::Chunk { last: true }
        } else {
            Event::ResponseHead { status, not_executed: not_run, retry_after }
        }
    }

    /// Nothing came for a while: the client may have gone, or the replica stalls.
    fn idle_event(&self) -> Event {
        let client_left = match (&self.response, &self.context.incoming) {
            (Some(response), _) => response.client_disconnected(),
            (None, incoming) => incoming.as_ref().is_some_and(|incoming| incoming.client_disconnected()),
        };
        if client_left {
            return Event::ClientGone;
        }
        let fleet = self.state.fleet.read();
        let stall_ms = fleet.fleet_config.as_ref().map_or(DEFAULT_STALL_MS, |blueprint| blueprint.limits.stall_ms);
        if self.last_received.elapsed() > Duration::from_millis(stall_ms) {
            return Event::ConnectionFailed { sent: true, cause: format!("nothing came for {stall_ms} ms") };
        }
        Event::Idle
    }

    fn broken_event(&mut self, error: PeerError) -> Event {
        ring::info(&error.to_string());
        let may_have_left = error.step != Step::Connect;
        let allowed = self.context.check_allowed(self.state).is_ok();
        if let (false, true, Some(placement)) = (may_have_left, allowed, &self.placement) {
            let until = self.state.now() + UNREACHABLE_FOR;
            self.state.unreachable.update(|unreachable| unreachable.insert(placement.replica.id.clone(), until));
        }
        Event::ConnectionFailed { sent: may_have_left, cause: error.to_string() }
    }

    /// Performs actions in order, and before the next of them whatever follows from one.
    fn perform_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            let follow_up = match action {
                Action::Place => {
                    let replica = self.place();
                    self.step(Event::Placed(replica))
                }
                Action::ForwardChunk if self.streams_to_client() => {
                    if self.forward_event() {
                        continue;
                    }
                    self.step(Event::ClientGone)
                }
                action => {
                    self.perform(action);
                    continue;
                }
            };
            self.perform_all(follow_up);
        }
    }

    /// Whether the client gets events as they come.
    fn streams_to_client(&self) -> bool {
        self.context.completion.stream && !self.context.to_app
    }

    /// Chooses a replica for the next attempt; its id, where there is one.
    fn place(&mut self) -> Option<String> {
        if !self.context.machine.attempted.is_empty() {
            count(&self.state.counters.retries);
        }
        self.placement = placement::place(self.state, self.context);
        self.placement.as_ref().map(|placement| placement.replica.id.clone())
    }

    /// Performs an action from which nothing follows.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Send => self.send(),
            Action::FirstChunk => self.record_first_event(),
            Action::ForwardChunk => self.collected_text.push_str(&event_text(&self.event)),
            Action::CompleteResponse => self.finish(),
            Action::ForwardRejection(outcome) => self.forward_rejection(outcome),
            Action::CloseUpstream => self.upstream = None,
            Action::ResetClient(why) => self.truncate(&why),
            Action::CompleteClaim(status) => complete_claim(self.state, self.context, status),
            Action::Respond(response) => self.outcome = PhaseOutcome::Reply(response.into()),
            Action::Explain(what) => self.context.trace.step(what),
            Action::Claim | Action::Place => {}
        }
    }

    fn send(&mut self) {
        let Some(placement) = &self.placement else { return };
        (self.attempt_started, self.last_received) = (Instant::now(), Instant::now());
        self.collected_text.clear();
        self.upstream = Some(open_upstream(self.state, self.context, placement));
    }

    fn record_first_event(&mut self) {
        let Some(placement) = &self.placement else { return };
        let took = self.attempt_started.elapsed();
        let step = format!("first piece from {} after {} ms", placement.replica.id, took.as_millis());
        self.context.trace.step(step);
        record_first_event(self.state, self.context, placement, took);
    }

    fn finish(&mut self) {
        let Some(placement) = &self.placement else { return };
        match self.buffered.take() {
            Some(response) => finish_app(self.state, self.context, response),
            None => finish(self.state, self.context, placement, self.response.take(), &self.collected_text),
        }
    }

    fn forward_rejection(&mut self, outcome: Outcome) {
        if let (Some(placement), Some(response)) = (&self.placement, self.buffered.take()) {
            forward_rejection(self.state, self.context, placement, response, outcome);
        }
    }

    /// Ends the client's stream so that it does not look complete: it is dropped without its end.
    fn truncate(&mut self, why: &str) {
        self.response = None;
        count(&self.state.counters.responses_truncated);
        self.context.trace.step(format!("cut: {why}"));
        self.context.trace.outcome = format!("unknown: cut, {why}");
    }

    /// Forwards the last event to the client; whether it was taken.
    fn forward_event(&mut self) -> bool {
        let Some(placement) = &self.placement else { return false };
        if self.response.is_none() {
            let Some(incoming) = self.context.incoming.take() else { return false };
            let headers = placement_headers(self.context, placement, "text/event-stream");
            self.response = incoming.respond_chunked(200, headers).ok();
        }
        self.response.as_mut().is_some_and(|response| response.send(&self.event).is_ok())
    }
}

/// Sends the request to its replica or the app service.
fn open_upstream(state: &Arc<RouterState>, context: &RequestContext, placement: &Placement) -> Upstream {
    let headers = upstream_headers(state, context, placement);
    let (method, path) = upstream_target(context);
    let request = UpstreamRequest {
        method,
        url: format!("http://{}{path}", placement.replica.address),
        headers,
        body: context.completion.body.clone(),
        events: !context.to_app,
    };
    let (state, deadline) = (state.clone(), context.deadline);
    let (key_print, tenant) = (context.key_print.clone(), context.tenant.clone());
    let is_allowed = move || {
        let client = (key_print.as_str(), tenant.as_str());
        request_machine::check_allowed(&state.fleet.read(), state.holds_lease(), client, state.now(), deadline).is_ok()
    };
    upstream::start(request, Arc::new(is_allowed))
}

/// The method and target with which the request is sent.
fn upstream_target(context: &RequestContext) -> (String, String) {
    match (context.to_app, &context.incoming) {
        (true, Some(incoming)) if incoming.query.is_empty() => (incoming.method.clone(), context.path.clone()),
        (true, Some(incoming)) => (incoming.method.clone(), format!("{}?{}", context.path, incoming.query)),
        _ => ("POST".to_string(), COMPLETIONS_PATH.to_string()),
    }
}

fn upstream_headers(
    state: &RouterState,
    context: &RequestContext,
    placement: &Placement,
) -> Vec<(&'static str, String)> {
    let time_left = context.deadline.saturating_sub(state.now());
    let content_type = context.incoming.as_ref().and_then(|incoming| incoming.header("content-type"));
    let mut headers = vec![
        ("content-type", content_type.unwrap_or("application/json").to_string()),
        ("x-request-id", context.id.clone()),
        ("x-budget-ms", time_left.as_millis().to_string()),
        ("x-tenant", context.tenant.clone()),
    ];
    if !context.to_app {
        headers.push(("x-wall", context.cache_scope.clone()));
        headers.push(("x-weights", placement.replica.weights.clone()));
        headers.push(("x-block-bytes", placement.block_bytes.to_string()));
    }
    if let Some(source) = &placement.source {
        count(&state.counters.transfers_named);
        headers.push(("cache-source", source.address.clone()));
    }
    if let Some(key) = &context.idempotency_key {
        headers.push(("x-once-key", key.clone()));
    }
    headers
}
