//! The last phase of a request: it is sent to a replica and the response is forwarded. What follows a failed attempt
//! is decided by [`crate::retry_policy`]. Only complete events of a stream are forwarded, so that another attempt can
//! resume it after the last of them.
use crate::admission::{AdmissionDecision, RouteTargets, StartEstimate, decide};
use crate::backlog_key::BacklogKey;
use crate::dialect::ForwardInfo;
use crate::events::EventBuffer;
use crate::gossip::{Announcement, LinkOccupied, RequestRef};
use crate::placement::{LinkUse, Placement, PlacementOutcome, place, start_deadline};
use crate::request_context::{LocalReply, RequestContext, RequestEnd};
use crate::retry_policy::{AttemptFailure, RetryDecision};
use crate::state::{RouterState, count};
use fleet_common::memory_budget::Reservation;
use fleet_common::{hash, ring};
use http_streams::head::ResponseHead;
use http_streams::inbound::Inbound;
use http_streams::outbound::{Outbound, SendError};
use http_streams::pool::Reuse;
use routing::in_flight_table::InFlightPrompt;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A replica that could not be reached is avoided for so long.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1500);
/// A replica is given so much less time than is left, so that the end of its response arrives in time.
const RETURN_MARGIN: Duration = Duration::from_millis(20);
/// `Retry-After` of a request whose time was over before it was sent.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Statuses that promise the client that its request never runs. They are not forwarded where the replica did not
/// say so.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A replica's complete response.
pub(crate) struct BufferedResponse {
    /// What its body takes of the router's memory, until it was forwarded.
    pub _memory: Reservation,
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The request has ended with it.
    Ended(RequestEnd),
    /// It failed; the replica's own response says how, where there is one.
    Failed { failure: AttemptFailure, response: Option<BufferedResponse> },
}

impl AttemptOutcome {
    pub(crate) fn failed(failure: AttemptFailure) -> AttemptOutcome {
        AttemptOutcome::Failed { failure, response: None }
    }
}

/// The current attempt of a request.
pub(crate) struct Attempt {
    /// The id under which it was announced.
    pub id: u64,
    /// Whether it has brought an event.
    pub first_event_seen: bool,
    /// When its response was last waited for and had not come.
    pub last_wait: Instant,
}

/// Forwards one request.
pub(crate) struct Forwarder<'a> {
    pub state: &'a Arc<RouterState>,
    pub context: &'a mut RequestContext,
    pub inbound: &'a mut Inbound,
    /// The events of the stream that are not complete yet.
    pub events: EventBuffer,
    /// The id of the last event that the client has.
    pub last_event_id: Option<String>,
    pub attempt: Attempt,
}

/// Forwards a request to replicas until one has answered or none may.
pub fn forward(state: &Arc<RouterState>, context: &mut RequestContext, inbound: &mut Inbound) -> RequestEnd {
    let last_event_id = context.info.last_event_id.clone();
    let attempt = Attempt { id: 0, first_event_seen: false, last_wait: Instant::now() };
    let mut forwarder = Forwarder { state, context, inbound, events: EventBuffer::default(), last_event_id, attempt };
    loop {
        let (failure, response) = match forwarder.attempt() {
            AttemptOutcome::Ended(flow) => return flow,
            AttemptOutcome::Failed { failure, response } => (failure, response),
        };
        if let Some(flow) = forwarder.after_failure(failure, response) {
            return flow;
        }
    }
}

impl Forwarder<'_> {
    /// Does what the retry policy decides; `None` where the next attempt follows.
    fn after_failure(&mut self, failure: AttemptFailure, response: Option<BufferedResponse>) -> Option<RequestEnd> {
        let allowed = self.context.check_allowed(self.state);
        let decision = self.context.attempts.decide(&failure, || self.state.retry_budget().try_spend());
        match (decision, response) {
            (RetryDecision::Retry, _) => {
                if let Err(reply) = allowed {
                    return Some(self.reject(reply));
                }
                let resumed = self.context.attempts.response_started;
                count(if resumed { &self.state.counters.resumed } else { &self.state.counters.retries });
                self.events.clear();
                None
            }
            (RetryDecision::ForwardResponse, Some(response)) => Some(self.forward_response(response)),
            (RetryDecision::ForwardResponse, None) => {
                Some(RequestEnd::Reply(LocalReply::new(502, "the replica's answer broke off")))
            }
            (RetryDecision::Truncate, _) => Some(self.truncate()),
            (RetryDecision::Reply { status, retry_after }, _) => {
                let message = format!("{failure} after {} tries", self.context.attempts.sent);
                Some(RequestEnd::Reply(LocalReply { retry_after, ..LocalReply::new(status, message) }))
            }
        }
    }

    /// One attempt at one replica.
    fn attempt(&mut self) -> AttemptOutcome {
        if Instant::now() >= self.context.deadline {
            return self.timed_out();
        }
        let PlacementOutcome::Placed(placement) = place(self.state, self.context) else {
            return AttemptOutcome::failed(AttemptFailure::NoReplica);
        };
        if let Some(reply) = self.check_admission(&placement) {
            return AttemptOutcome::Ended(RequestEnd::Reply(reply));
        }
        self.context.attempted_replicas.push(placement.replica.clone());
        let connection = match self.connect(&placement) {
            Ok(connection) => connection,
            Err(outcome) => return outcome,
        };
        let connection = match self.send(&placement, connection) {
            Ok(connection) => connection,
            Err(outcome) => return outcome,
        };
        self.record_sent(&placement);
        let outcome = self.receive(&placement, connection);
        self.record_ended(&placement);
        outcome
    }

    /// The rejection of a request that was not sent yet, where even the best replica is too crowded.
    fn check_admission(&self, placement: &Placement) -> Option<LocalReply> {
        if self.context.attempts.sent > 0 {
            return None;
        }
        let route = &self.context.route;
        let targets = RouteTargets {
            latency_target: Duration::from_millis(route.latency_target_ms),
            patience: self.state.settings.patience.of(route),
        };
        let estimate = StartEstimate {
            queue_delay: placement.queue_delay,
            prefill_time: placement.prefill_time,
            memory_share: placement.memory_share,
        };
        match decide(&estimate, &targets) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::Reject { retry_after } => {
                Some(LocalReply::unavailable("nobody could answer in time", retry_after))
            }
        }
    }

    /// A connection to the replica, as long as the request may still be sent.
    fn connect(&mut self, placement: &Placement) -> Result<Outbound, AttemptOutcome> {
        let need = if self.context.attempts.idempotent { Reuse::AnyIdle } else { Reuse::RecentlyUsed };
        let Ok(connection) = self.state.pool.acquire(placement.address, need, self.connect_timeout()) else {
            return Err(self.mark_unreachable(placement));
        };
        if connection.is_new {
            count(&self.state.counters.connections);
        }
        if let Err(outcome) = self.confirm(placement) {
            self.state.pool.release(placement.address, connection);
            return Err(outcome);
        }
        Ok(connection)
    }

    /// Checks what was decided before the router waited for a connection: the request must still be allowed, and its
    /// placement still stand. One that does not is made again; the replica is not to blame.
    fn confirm(&mut self, placement: &Placement) -> Result<(), AttemptOutcome> {
        if let Err(reply) = self.context.check_allowed(self.state) {
            return Err(AttemptOutcome::Ended(self.reject(reply)));
        }
        let may_start = self.start_deadline(placement).is_none_or(|until| Instant::now() < until);
        if may_start && placement.still_stands(&self.state.fleet.read(), self.context) {
            return Ok(());
        }
        let id = &self.context.info.id;
        ring::info(&format!("request {id} is placed again: what put it at {} has changed", placement.replica));
        self.context.attempted_replicas.pop();
        Err(AttemptOutcome::failed(AttemptFailure::Unsent))
    }

    /// By when the attempt must start, where the replica runs superseded weights by now.
    pub(crate) fn start_deadline(&self, placement: &Placement) -> Option<Instant> {
        start_deadline(self.state, &self.state.fleet.read(), &placement.model, &placement.weights)
    }

    fn connect_timeout(&self) -> Duration {
        CONNECT_TIMEOUT.min(self.context.deadline.saturating_duration_since(Instant::now()))
    }

    /// Sends the request. A pooled connection on which nothing could be sent is replaced by a new one: that says
    /// nothing about the replica.
    fn send(&mut self, placement: &Placement, mut pooled: Outbound) -> Result<Outbound, AttemptOutcome> {
        match pooled.send(&self.context.head.method, &self.request_bytes(placement)) {
            Ok(()) => return Ok(pooled),
            Err(SendError::Unsent(_)) if !pooled.is_new => {}
            Err(error) => return Err(self.send_failed(placement, &error)),
        }
        let connected = Outbound::connect(placement.address, self.connect_timeout());
        let mut new = connected.map_err(|_| self.mark_unreachable(placement))?;
        count(&self.state.counters.connections);
        self.confirm(placement)?;
        let sent = new.send(&self.context.head.method, &self.request_bytes(placement));
        sent.map_err(|error| self.send_failed(placement, &error))?;
        Ok(new)
    }

    /// What comes of an attempt that was not sent completely.
    fn send_failed(&mut self, placement: &Placement, error: &SendError) -> AttemptOutcome {
        match error {
            SendError::Unsent(_) => self.mark_unreachable(placement),
            SendError::SentInPart(_) => {
                self.context.attempts.sent += 1;
                AttemptOutcome::failed(AttemptFailure::Unknown)
            }
        }
    }

    /// The request as the replica gets it.
    fn request_bytes(&self, placement: &Placement) -> Vec<u8> {
        let context = &self.context;
        let names_model = !context.info.model.is_empty();
        let has_weights = !placement.model.is_empty() && !placement.weights.is_empty();
        // On superseded weights the replica is given no more time than to start: one that does not notice a closed
        // connection would start it later.
        let deadline = self.start_deadline(placement).map_or(context.deadline, |start| start.min(context.deadline));
        let info = ForwardInfo {
            time_left: deadline.saturating_duration_since(Instant::now()).saturating_sub(RETURN_MARGIN),
            replica: &placement.replica,
            tenant: context.tenant.as_deref(),
            cache_salt: names_model.then_some(placement.cache_salt.as_str()),
            cache_source: placement.source.as_ref().map(|source| source.address.as_str()),
            cache_target: placement.store_target.as_deref(),
            urgency: context.urgency,
            weights: has_weights.then_some(placement.weights.as_str()),
            last_event_id: self.last_event_id.as_deref(),
        };
        let mut bytes = self.state.dialect.write_request(&context.head, context.body.len(), &info);
        bytes.extend_from_slice(&context.body);
        bytes
    }

    /// Counts and announces an attempt that was sent.
    fn record_sent(&mut self, placement: &Placement) {
        self.context.attempts.sent += 1;
        if self.start_deadline(placement).is_some() {
            count(&self.state.counters.sent_on_superseded_weights);
        }
        self.attempt.id = hash::unique_id();
        self.attempt.first_event_seen = false;
        let shared_parts = placement.parts.len().saturating_sub(1);
        let sent = InFlightPrompt {
            prefill_time: placement.prefill_time,
            tokens: placement.cached_tokens + placement.transferred_tokens + placement.recomputed_tokens,
            parts: placement.parts[..shared_parts].iter().map(|part| part.hash).collect(),
        };
        self.state.record_sent(&placement.replica, self.attempt.id, sent);
        for LinkUse { owner, duration } in &placement.occupied_links {
            let took_us = duration.as_micros().min(u32::MAX as u128) as u32;
            self.state
                .announce(Announcement::LinkOccupied(LinkOccupied { link: BacklogKey::Link(owner).number(), took_us }));
        }
    }

    /// Counts the end of an attempt, and announces it where its prefill was not done.
    fn record_ended(&mut self, placement: &Placement) {
        if !self.attempt.first_event_seen {
            let replica = BacklogKey::Replica(&placement.replica).number();
            self.state.announce(Announcement::Cancelled(RequestRef { replica, id: self.attempt.id }));
        }
        self.state.record_ended(&placement.replica);
    }

    fn mark_unreachable(&mut self, placement: &Placement) -> AttemptOutcome {
        let until = self.state.now() + UNREACHABLE_FOR;
        self.state.unreachable.update(|down| down.insert(placement.replica.clone(), until));
        AttemptOutcome::failed(AttemptFailure::Unsent)
    }

    /// Ends a request that may not be sent, or not again.
    fn reject(&mut self, reply: LocalReply) -> RequestEnd {
        match self.context.attempts.response_started {
            true => self.truncate(),
            false => RequestEnd::Reply(reply),
        }
    }

    /// Resets the connection of a client whose response cannot be completed, so that it does not look complete.
    fn truncate(&mut self) -> RequestEnd {
        count(&self.state.counters.responses_truncated);
        self.context.close_connection = true;
        RequestEnd::Forwarded
    }

    /// Stops the replica's work for a client that has gone.
    pub(crate) fn client_disconnected(&mut self, connection: Outbound) -> AttemptOutcome {
        connection.close_with_reset();
        count(&self.state.counters.client_disconnects);
        self.context.close_connection = true;
        AttemptOutcome::Ended(RequestEnd::Forwarded)
    }

    /// The request's time is over.
    pub(crate) fn timed_out(&mut self) -> AttemptOutcome {
        let flow = match (self.context.attempts.response_started, self.context.attempts.sent > 0) {
            (true, _) => self.truncate(),
            (false, true) => RequestEnd::Reply(LocalReply::new(504, "its time is over")),
            (false, false) => RequestEnd::Reply(LocalReply::unavailable(
                "its time was over before a replica could take it",
                RETRY_AFTER,
            )),
        };
        AttemptOutcome::Ended(flow)
    }

    /// Forwards a replica's complete response.
    pub(crate) fn forward_response(&mut self, response: BufferedResponse) -> RequestEnd {
        let status = response.head.status;
        if NOT_RUN_STATUSES.contains(&status) {
            return RequestEnd::Reply(LocalReply::new(502, format!("the replica answered {status}")));
        }
        count(&self.state.counters.responses_forwarded);
        self.context.response_complete = true;
        let headers: Vec<_> = response.head.headers.end_to_end().cloned().collect();
        let close = self.context.closes_connection(&self.state.shutdown);
        let written = self.inbound.respond(status, &response.head.reason, &headers, &response.body, close);
        self.context.close_connection |= written.is_err();
        RequestEnd::Forwarded
    }
}
