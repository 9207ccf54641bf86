//! A client's connection, and the phases that each of its requests goes through.
//!
//! The phases are the methods of `RequestPhases`, in the order of `RequestPhases::run`. Each may reject the request, all by
//! one version of the fleet; the last one, [`forward`], sends it to a replica.
use crate::forward::forward;
use crate::request_context::{LocalReply, RequestContext, RequestEnd};
use crate::request_policy::{self, RETRY_AFTER};
use crate::state::{RouterState, count};
use control_state::fleet::Fleet;
use http_streams::error::RequestError;
use http_streams::inbound::{Inbound, ReadOutcome};
use routing::shutdown::Admission;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// `Retry-After` of a request that there was no memory for.
const OUT_OF_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Counts a request as running until it is dropped.
struct RunningRequest<'a>(&'a RouterState);

impl<'a> RunningRequest<'a> {
    fn start(state: &'a RouterState) -> Self {
        state.requests_running.fetch_add(1, Ordering::AcqRel);
        RunningRequest(state)
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.requests_running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves a client's connection until it ends.
pub fn serve_connection(state: &Arc<RouterState>, stream: TcpStream) {
    let mut inbound = Inbound::new(stream);
    let mut connection = state.shutdown.track_connection();
    loop {
        match connection.next_request(&mut inbound, &**state) {
            ReadOutcome::Ended => return,
            ReadOutcome::Rejected(error) => {
                if send_reply(&mut inbound, &unread_reply(&error), true).is_ok() {
                    inbound.close_after_rejection();
                }
                return;
            }
            ReadOutcome::Request(head, body) => {
                let _running = RunningRequest::start(state);
                let mut context = RequestContext::new(head, body);
                context.started_at = inbound.request_started();
                if !serve_request(state, &mut inbound, context) {
                    return;
                }
            }
        }
    }
}

/// The reply to a request that was not read to its end.
fn unread_reply(error: &RequestError) -> LocalReply {
    match error {
        RequestError::OutOfMemory => LocalReply::unavailable(error, OUT_OF_MEMORY_RETRY_AFTER),
        _ => LocalReply::new(error.status(), error),
    }
}

fn send_reply(inbound: &mut Inbound, reply: &LocalReply, close: bool) -> std::io::Result<()> {
    let (headers, body) = reply.headers_and_body();
    inbound.respond(reply.status, reply.reason(), &headers, body.as_bytes(), close)
}

/// Serves one request; whether the connection may carry another.
fn serve_request(state: &Arc<RouterState>, inbound: &mut Inbound, mut context: RequestContext) -> bool {
    count(&state.counters.requests);
    let judged = RequestPhases { state, fleet: state.fleet.read(), context: &mut context }.run();
    let end = match judged {
        Ok(()) => forward(state, &mut context, inbound),
        Err(reply) => RequestEnd::Reply(reply),
    };
    match end {
        RequestEnd::Forwarded => {
            record_run_time(state, &context);
            !context.closes_connection(&state.shutdown)
        }
        RequestEnd::Reply(reply) => {
            count(&state.counters.rejected);
            let close = context.closes_connection(&state.shutdown);
            send_reply(inbound, &reply, close).is_ok() && !close
        }
    }
}

/// Records how long a request took whose response was complete. One that ran into its time-out says nothing.
fn record_run_time(state: &RouterState, context: &RequestContext) {
    if context.response_complete {
        state.shutdown.record_run_time(context.route_key(), context.started_at.elapsed());
    }
}

/// The phases before a request is forwarded.
struct RequestPhases<'a> {
    state: &'a Arc<RouterState>,
    /// The version of the fleet by which all phases judge the request.
    fleet: Arc<Fleet>,
    context: &'a mut RequestContext,
}

impl RequestPhases<'_> {
    /// Takes the request through the phases; the error is the reply of the phase that rejects it.
    fn run(mut self) -> Result<(), LocalReply> {
        self.check_ready()?;
        self.parse_request()?;
        self.apply_configuration()?;
        self.check_shutdown()
    }

    fn check_ready(&self) -> Result<(), LocalReply> {
        if !self.state.holds_lease() {
            count(&self.state.counters.rejected_without_lease);
            return Err(LocalReply::no_lease());
        }
        if self.fleet.route_config.is_none() {
            return Err(LocalReply::unavailable("no configuration holds yet", RETRY_AFTER));
        }
        Ok(())
    }

    fn parse_request(&mut self) -> Result<(), LocalReply> {
        let parsed = self.state.dialect.parse_request(&self.context.head);
        self.context.info = parsed.map_err(|message| LocalReply::new(400, message))?;
        Ok(())
    }

    /// Finds the route, the tenant and what the request may take.
    fn apply_configuration(&mut self) -> Result<(), LocalReply> {
        request_policy::apply(&self.fleet, self.context)?;
        self.state.retry_budget().record_request(self.state.now());
        Ok(())
    }

    /// A router that is draining accepts what it can finish in time.
    fn check_shutdown(&self) -> Result<(), LocalReply> {
        let time_left = self.context.deadline.saturating_duration_since(Instant::now());
        match self.state.shutdown.admit(self.context.route_key(), time_left) {
            Admission::Admit => Ok(()),
            Admission::Reject { retry_after } => Err(LocalReply::unavailable("this node is stopping", retry_after)),
        }
    }
}
