//! Receives the response to a request that was sent: first the head of the request's own response, then its body or
//! its stream, event by event.
use crate::backlog_key::BacklogKey;
use crate::dialect::ResponseInfo;
use crate::forward::{AttemptOutcome, BufferedResponse, Forwarder};
use crate::placement::Placement;
use crate::request_context::RequestEnd;
use crate::retry_policy::AttemptFailure;
use crate::state::count;
use crate::superseded_weights;
use crate::transfer_attempt::TransferAttempt;
use fleet_common::memory_budget::Reservation;
use http_streams::head::ResponseHead;
use http_streams::outbound::{Outbound, ResponsePart};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The end of a response may arrive so much after the deadline.
const RESPONSE_GRACE: Duration = Duration::from_millis(60);
/// The body of a rejection is read for so long; then its connection is not worth keeping.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// A replica's pace is learnt from attempts that were expected to wait for less than this...
const PACE_MAX_QUEUE_DELAY: Duration = Duration::from_millis(5);
/// ...and whose prefill takes longer than this.
const PACE_MIN_PREFILL: Duration = Duration::from_millis(20);
/// What a first event takes besides queueing and prefill.
const RESPONSE_OVERHEAD: Duration = Duration::from_millis(45);
/// While a response has not started, it is checked so often whether newer weights were released.
const SUPERSEDED_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Limit on responses to other requests that are skipped on one connection.
const MAX_LATE_RESPONSES: usize = 3;
/// A response is in memory twice while it is written to the client.
const COPIES: usize = 2;
/// Error statuses below 500 after which another replica may be tried.
const RETRIABLE_STATUSES: [u16; 3] = [408, 421, 429];

/// Why there is no head of the request's own response.
enum HeadError {
    ClientDisconnected,
    TimedOut,
    /// The connection cannot bring it any more.
    Broken,
}

/// Why the rest of a response was not read.
enum RestError {
    ClientDisconnected,
    /// It broke off, or did not come in time.
    Incomplete,
    /// It takes more memory than this process has for it.
    OutOfMemory,
}

/// What the head of a response says of the request.
enum HeadVerdict {
    /// It has not run there.
    NotRun,
    /// Nobody vouches for the response, or it cannot continue the one that the client has got a part of.
    NotUsable,
    /// A stream of events follows.
    Stream,
    /// A body follows.
    Body,
}

impl Forwarder<'_> {
    /// Receives the response to a request that was sent.
    pub(crate) fn receive(&mut self, placement: &Placement, mut connection: Outbound) -> AttemptOutcome {
        let sent = Instant::now();
        let (head, info) = match self.read_own_head(placement, &mut connection) {
            Ok(read) => read,
            Err(HeadError::ClientDisconnected) => return self.client_disconnected(connection),
            Err(HeadError::TimedOut) => return self.attempt_timed_out(connection),
            Err(HeadError::Broken) => return AttemptOutcome::failed(AttemptFailure::Unknown),
        };
        self.record_reports(placement, &info);
        match self.judge_head(&head, &info) {
            HeadVerdict::NotRun => self.rejected(placement, connection, &info),
            HeadVerdict::NotUsable => {
                connection.close_with_reset();
                AttemptOutcome::failed(AttemptFailure::Unknown)
            }
            HeadVerdict::Stream => self.forward_stream(placement, connection, head, sent),
            HeadVerdict::Body => self.forward_body(placement, connection, head),
        }
    }

    /// Takes what the replica reports of itself.
    fn record_reports(&self, placement: &Placement, info: &ResponseInfo) {
        if let Some(weights) = &info.weights {
            self.state.record_weights(&placement.replica, &placement.model, weights);
        }
        if let Some(load) = info.load {
            self.state.record_reported_load(&placement.replica, load.running.saturating_add(load.waiting));
        }
    }

    fn judge_head(&self, head: &ResponseHead, info: &ResponseInfo) -> HeadVerdict {
        let is_success = head.status < 300;
        let is_vouched_for = info.sealed && info.id.is_some();
        let cannot_continue = self.context.attempts.response_started && head.status != 200;
        if info.not_executed || info.misdirected {
            HeadVerdict::NotRun
        } else if (is_success && !is_vouched_for) || cannot_continue {
            HeadVerdict::NotUsable
        } else if self.context.route.stream && head.status == 200 {
            HeadVerdict::Stream
        } else {
            HeadVerdict::Body
        }
    }

    /// The replica has not run the request; its connection is kept where the body ends soon.
    fn rejected(&mut self, placement: &Placement, mut connection: Outbound, info: &ResponseInfo) -> AttemptOutcome {
        if info.misdirected {
            count(&self.state.counters.misdirected);
        }
        let _ = self.read_rest(&mut connection, None, Instant::now() + DRAIN_TIMEOUT);
        self.state.pool.release(placement.address, connection);
        AttemptOutcome::failed(AttemptFailure::Rejected)
    }

    /// Reads the body and forwards the response at once.
    fn forward_body(&mut self, placement: &Placement, mut connection: Outbound, head: ResponseHead) -> AttemptOutcome {
        if head.status < 300 {
            superseded_weights::check_started(self.state, placement, self.attempt.last_wait);
        }
        let client = Some(self.inbound.socket());
        let (body, memory) = match self.read_rest(&mut connection, client, self.context.deadline + RESPONSE_GRACE) {
            Ok(read) => read,
            Err(RestError::ClientDisconnected) => return self.client_disconnected(connection),
            Err(RestError::Incomplete | RestError::OutOfMemory) => {
                return AttemptOutcome::failed(AttemptFailure::Unknown);
            }
        };
        self.state.pool.release(placement.address, connection);
        let status = head.status;
        let response = BufferedResponse { head, body, _memory: memory };
        if status >= 500 || RETRIABLE_STATUSES.contains(&status) {
            return AttemptOutcome::Failed { failure: AttemptFailure::ErrorStatus(status), response: Some(response) };
        }
        AttemptOutcome::Ended(self.forward_response(response))
    }

    /// Reads the head of this request's own response; late responses to other requests are skipped. A response without
    /// an id is this request's only where no other can come: as the first one of a new connection.
    fn read_own_head(
        &mut self,
        placement: &Placement,
        connection: &mut Outbound,
    ) -> Result<(ResponseHead, ResponseInfo), HeadError> {
        let deadline = self.context.deadline + RESPONSE_GRACE;
        for skipped in 0..MAX_LATE_RESPONSES {
            let head = match self.read_before_start(placement, connection, deadline, Outbound::head) {
                ResponsePart::Head(head) => head,
                ResponsePart::ClientDisconnected => return Err(HeadError::ClientDisconnected),
                ResponsePart::TimedOut => return Err(HeadError::TimedOut),
                _ => return Err(HeadError::Broken),
            };
            let info = self.state.dialect.parse_response(&head, &self.context.info.model);
            match info.id.as_deref() {
                Some(id) if id == self.context.info.id => return Ok((head, info)),
                None if connection.is_new && skipped == 0 => return Ok((head, info)),
                None => return Err(HeadError::Broken),
                Some(_) => count(&self.state.counters.late_responses),
            }
            match self.read_rest(connection, Some(self.inbound.socket()), deadline) {
                Ok(_) => {}
                Err(RestError::ClientDisconnected) => return Err(HeadError::ClientDisconnected),
                Err(RestError::Incomplete | RestError::OutOfMemory) => return Err(HeadError::Broken),
            }
        }
        connection.may_reuse = false;
        Err(HeadError::Broken)
    }

    /// Reads on of a response that has not started. On superseded weights it starts in time or not at all, also where
    /// newer ones are released while it is waited for: it times out when the superseded ones may be used no more.
    fn read_before_start(
        &mut self,
        placement: &Placement,
        connection: &mut Outbound,
        deadline: Instant,
        read: fn(&mut Outbound, Option<&TcpStream>, Instant) -> ResponsePart,
    ) -> ResponsePart {
        loop {
            let looked_at = Instant::now();
            // What arrived while this process was suspended may have started before: only silence says that it had not.
            if !connection.has_unread() {
                self.attempt.last_wait = looked_at;
            }
            let start_deadline = self.start_deadline(placement);
            let last = start_deadline.map_or(deadline, |start| start.min(deadline));
            let until = last.min(Instant::now() + SUPERSEDED_CHECK_INTERVAL);
            match read(connection, Some(self.inbound.socket()), until) {
                ResponsePart::TimedOut if until < last => {}
                part => return part,
            }
        }
    }

    /// The response did not come in time: for the client, or to start on superseded weights while these may be used.
    fn attempt_timed_out(&mut self, connection: Outbound) -> AttemptOutcome {
        connection.close_with_reset();
        if Instant::now() >= self.context.deadline {
            return self.timed_out();
        }
        count(&self.state.counters.superseded_not_started);
        AttemptOutcome::failed(AttemptFailure::Unknown)
    }

    /// Forwards a stream, event by event.
    fn forward_stream(
        &mut self,
        placement: &Placement,
        mut connection: Outbound,
        head: ResponseHead,
        sent: Instant,
    ) -> AttemptOutcome {
        let mut event_memory = Reservation::new(&self.state.body_memory);
        loop {
            let bytes = match self.read_stream(placement, &mut connection) {
                ResponsePart::Body(bytes) => bytes,
                ResponsePart::Complete => Vec::new(),
                ResponsePart::ClientDisconnected => return self.client_disconnected(connection),
                ResponsePart::TimedOut => return self.attempt_timed_out(connection),
                _ => return AttemptOutcome::failed(AttemptFailure::Unknown),
            };
            let mut complete = self.events.push(&bytes);
            if !event_memory.grow_to(self.events.len() * COPIES) {
                connection.close_with_reset();
                return AttemptOutcome::failed(AttemptFailure::Unknown);
            }
            let is_last = connection.is_complete();
            if is_last {
                complete.bytes.extend_from_slice(&self.events.take_rest());
            }
            if !complete.bytes.is_empty() && !std::mem::replace(&mut self.attempt.first_event_seen, true) {
                self.record_first_event(placement, sent);
            }
            if !self.write_events(&head, &complete.bytes, is_last) {
                return self.client_disconnected(connection);
            }
            if complete.last_id.is_some() {
                self.last_event_id = complete.last_id;
                self.context.attempts.has_event_id = true;
            }
            if is_last {
                return self.stream_completed(placement, connection);
            }
        }
    }

    fn stream_completed(&mut self, placement: &Placement, connection: Outbound) -> AttemptOutcome {
        count(&self.state.counters.responses_completed);
        self.context.response_complete = true;
        self.state.pool.release(placement.address, connection);
        AttemptOutcome::Ended(RequestEnd::Forwarded)
    }

    /// Reads on of a stream.
    fn read_stream(&mut self, placement: &Placement, connection: &mut Outbound) -> ResponsePart {
        let deadline = self.context.deadline + RESPONSE_GRACE;
        match self.attempt.first_event_seen {
            true => connection.body(Some(self.inbound.socket()), deadline),
            false => self.read_before_start(placement, connection, deadline, Outbound::body),
        }
    }

    /// Writes events to the client, before the first of them the head of the first attempt's response. `false` where
    /// the client has gone.
    fn write_events(&mut self, head: &ResponseHead, events: &[u8], is_last: bool) -> bool {
        if self.context.attempts.response_started {
            let written = if is_last { self.inbound.finish_chunked(events) } else { self.inbound.send_chunk(events) };
            return written.is_ok();
        }
        if events.is_empty() && !is_last {
            return true;
        }
        self.context.attempts.response_started = true;
        let headers: Vec<_> = head.headers.end_to_end().cloned().collect();
        let close = self.context.closes_connection(&self.state.shutdown);
        let started = self.inbound.start_chunked(head.status, &head.reason, &headers, events, close);
        started.is_ok() && (!is_last || self.inbound.finish_chunked(b"").is_ok())
    }

    /// Reads the rest of a response, watching the client where there is one to watch. Its memory is given back with the
    /// reservation.
    fn read_rest(
        &self,
        connection: &mut Outbound,
        client: Option<&TcpStream>,
        deadline: Instant,
    ) -> Result<(Vec<u8>, Reservation), RestError> {
        let (mut all, mut memory) = (Vec::new(), Reservation::new(&self.state.body_memory));
        loop {
            match connection.body(client, deadline) {
                ResponsePart::Body(bytes) => all.extend_from_slice(&bytes),
                ResponsePart::Complete => return Ok((all, memory)),
                ResponsePart::ClientDisconnected => return Err(RestError::ClientDisconnected),
                _ => return Err(RestError::Incomplete),
            }
            if !memory.grow_to(all.capacity() * COPIES) {
                connection.may_reuse = false;
                return Err(RestError::OutOfMemory);
            }
        }
    }

    /// The first event is here: the replica's prefill is done, which says something of its pace and of the source.
    fn record_first_event(&mut self, placement: &Placement, sent: Instant) {
        let time_to_first_event = sent.elapsed();
        superseded_weights::check_started(self.state, placement, self.attempt.last_wait);
        self.state.record_prefill_done(placement, self.attempt.id);
        if placement.queue_delay < PACE_MAX_QUEUE_DELAY && placement.prefill_time > PACE_MIN_PREFILL {
            let expected = placement.prefill_time + RESPONSE_OVERHEAD;
            let replica = BacklogKey::Replica(&placement.replica).number();
            self.state.in_flight().learn_prefill_time(replica, expected, time_to_first_event);
        }
        if let (Some(source), Some(block)) = (&placement.source, last_transferred_part(placement)) {
            self.state.enqueue_audit(TransferAttempt {
                request_id: self.context.info.id.clone(),
                source: source.id.clone(),
                last_part: block,
                time_to_first_event,
            });
        }
    }
}

/// The last part of the prompt that the replica has cached or gets from the source.
fn last_transferred_part(placement: &Placement) -> Option<u64> {
    let mut tokens = 0;
    let transferred = placement.parts.iter().take_while(|part| {
        tokens += part.tokens;
        tokens <= placement.cached_tokens + placement.transferred_tokens
    });
    transferred.last().map(|part| part.hash)
}
