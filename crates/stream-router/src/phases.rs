//! A client's connection, and the phases that each of its requests goes through.
//!
//! The phases are the methods of `RequestPhases`, in the order of `RequestPhases::run`. Each may reject the request;
//! the last one, [`forward`], sends it to a replica.
use crate::forward::forward;
use crate::request_context::{LocalReply, RequestContext, RequestEnd};
use crate::retry_policy::AttemptHistory;
use crate::state::{RouterState, count};
use control_state::fleet::Fleet;
use control_state::route_config::{Route, RouteConfig};
use fleet_common::hash;
use http_streams::head::RequestHead;
use http_streams::inbound::{Inbound, ReadOutcome};
use routing::shutdown::Admission;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// `Retry-After` of a request that came before the router was ready.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// The least urgent rank that replicas are told.
const LEAST_URGENT: u64 = 9;
/// The cache scope of tenants that share cached prompts.
const SHARED_SCOPE: &str = "all";
/// The seed of the hash by which requests are split among the targets of a route.
const SPLIT_SEED: u64 = 5;

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
                let _ = send_reply(&mut inbound, &LocalReply::new(error.status(), error), true);
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

fn send_reply(inbound: &mut Inbound, reply: &LocalReply, close: bool) -> std::io::Result<()> {
    let (headers, body) = reply.headers_and_body();
    inbound.respond(reply.status, reply.reason(), &headers, body.as_bytes(), close)
}

/// Serves one request; whether the connection may carry another.
fn serve_request(state: &Arc<RouterState>, inbound: &mut Inbound, mut context: RequestContext) -> bool {
    count(&state.counters.requests);
    let end = match (RequestPhases { state, context: &mut context }).run() {
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
    context: &'a mut RequestContext,
}

impl RequestPhases<'_> {
    /// Takes the request through the phases; the error is the reply of the phase that rejects it.
    fn run(&mut self) -> Result<(), LocalReply> {
        self.check_ready()?;
        self.parse_request()?;
        self.choose_route()?;
        self.authenticate()?;
        self.set_limits()?;
        self.check_shutdown()
    }

    fn check_ready(&self) -> Result<(), LocalReply> {
        if !self.state.holds_lease() {
            count(&self.state.counters.rejected_without_lease);
            return Err(LocalReply::no_lease());
        }
        if self.state.fleet.read().route_config.is_none() {
            return Err(LocalReply::unavailable("no configuration holds yet", RETRY_AFTER));
        }
        Ok(())
    }

    fn parse_request(&mut self) -> Result<(), LocalReply> {
        let parsed = self.state.dialect.parse_request(&self.context.head);
        self.context.info = parsed.map_err(|message| LocalReply::new(400, message))?;
        Ok(())
    }

    fn choose_route(&mut self) -> Result<(), LocalReply> {
        let fleet = self.state.fleet.read();
        let route = route_of(configuration(&fleet)?, &self.context.head)?;
        if let Some(service) = target_of(route, &self.context.info.id) {
            self.context.service = service.to_string();
        }
        self.context.route = route.clone();
        Ok(())
    }

    /// Finds the tenant of the API key, where the configuration or the route wants one.
    fn authenticate(&mut self) -> Result<(), LocalReply> {
        let fleet = self.state.fleet.read();
        if !configuration(&fleet)?.requires_keys {
            return Ok(());
        }
        let is_open = self.context.route.allows_anonymous;
        let Some(key) = &self.context.info.key else {
            return if is_open { Ok(()) } else { Err(LocalReply::new(401, "a key is wanted")) };
        };
        let print = hash::key_digest(key);
        match fleet.tenant(&print) {
            Ok(tenant) => {
                self.context.tenant = Some(tenant.to_string());
                self.context.key_print = Some(print);
                Ok(())
            }
            Err(_) if is_open => Ok(()),
            Err(_) => Err(LocalReply::unknown_key()),
        }
    }

    /// Sets what the request may take: its time and its attempts; and its cache scope and urgency.
    fn set_limits(&mut self) -> Result<(), LocalReply> {
        let fleet = self.state.fleet.read();
        let tenants = &configuration(&fleet)?.tenants;
        let context = &mut *self.context;
        let tenant = context.tenant.as_ref().and_then(|name| tenants.get(name)).map(|tenant| &tenant.value);
        context.cache_scope = match &context.tenant {
            Some(name) if tenant.is_some_and(|tenant| tenant.isolated) => format!("t:{name}"),
            _ => SHARED_SCOPE.into(),
        };
        let route = &context.route;
        let route_timeout = Duration::from_millis(route.timeout_ms);
        context.deadline =
            context.started_at + context.info.time_left.map_or(route_timeout, |left| left.min(route_timeout));
        let rank = tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority);
        context.urgency = Some((rank * 2 + 1).min(LEAST_URGENT) as u8);
        let resumable = route.stream && route.resume;
        context.attempts = AttemptHistory::new(route.idempotent || resumable, resumable, route.max_attempts);
        context.attempts.has_event_id = context.info.last_event_id.is_some();
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

fn configuration(fleet: &Fleet) -> Result<&RouteConfig, LocalReply> {
    fleet.route_config.as_deref().ok_or_else(|| LocalReply::unavailable("no configuration", RETRY_AFTER))
}

fn route_of<'a>(configuration: &'a RouteConfig, head: &RequestHead) -> Result<&'a Route, LocalReply> {
    let host = head.headers.get("host").unwrap_or_default();
    let path = head.target.split('?').next().unwrap_or_default();
    configuration.route(host, path).ok_or_else(|| LocalReply::new(404, format!("no route for {host}{path}")))
}

/// The target that a request falls to by its id, so that a retry of the client goes to the same one.
fn target_of<'a>(route: &'a Route, request_id: &str) -> Option<&'a str> {
    let sum = route.targets.iter().fold(0u64, |sum, (_, weight)| sum.saturating_add(*weight));
    let mut position = hash::bytes(SPLIT_SEED, request_id.as_bytes()) % sum.max(1);
    for (service, weight) in &route.targets {
        if position < *weight {
            return Some(service);
        }
        position -= weight;
    }
    None
}
