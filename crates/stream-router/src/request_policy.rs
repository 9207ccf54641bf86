//! What the configuration says of a request: its route and service, the tenant of its key, and what it may take.
//!
//! A request is judged by one version of the fleet. Where it had to wait before it could be sent, it is judged again by the
//! version that is in force by then: until it was sent as if it had just come, and after that in what another attempt must
//! respect. So nothing that was read before a wait decides after it.
use crate::request_context::{LocalReply, RequestContext};
use crate::retry_policy::AttemptHistory;
use crate::state::RouterState;
use control_state::fleet::Fleet;
use control_state::route_config::{Route, RouteConfig};
use fleet_common::hash;
use fleet_common::rpc::ROUTE_CONFIG;
use std::time::Duration;

/// `Retry-After` of a request that came before the router was ready.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(50);
/// The least urgent rank that replicas are told.
const LEAST_URGENT: u64 = 9;
/// The cache scope of tenants that share cached prompts.
const SHARED_SCOPE: &str = "all";
/// The seed of the hash by which requests are split among the targets of a route.
const SPLIT_SEED: u64 = 5;

impl RequestContext {
    /// Whether the request may be sent at this moment: the router holds a lease, and the configuration in force allows it.
    /// What that says of the request by now is taken over. The error is the reply to the client where it may not be sent.
    pub fn check_allowed(&mut self, state: &RouterState) -> Result<(), LocalReply> {
        if !state.holds_lease() {
            return Err(LocalReply::no_lease());
        }
        renew(&state.fleet.read(), self)
    }
}

/// Applies a version of the configuration to a request that was not sent yet. The error is the reply to the client where
/// it may not be sent.
pub(crate) fn apply(fleet: &Fleet, context: &mut RequestContext) -> Result<(), LocalReply> {
    let configuration = configuration(fleet)?;
    context.config_version = Some(fleet.versions[ROUTE_CONFIG]);
    choose_route(configuration, context)?;
    authenticate(fleet, configuration, context)?;
    set_tenant_policy(configuration, context);
    set_route_limits(context);
    Ok(())
}

/// Brings a request up to a newer version of the configuration, before an attempt or another one.
///
/// One that no replica has got yet is judged anew. One that was sent keeps its route and service, as its attempts belong
/// together; it gets another attempt only where the route still allows it, for the tenant that its key belongs to now, and
/// in the cache scope of that tenant.
fn renew(fleet: &Fleet, context: &mut RequestContext) -> Result<(), LocalReply> {
    let Some(version) = context.config_version else { return Ok(()) };
    if version == fleet.versions[ROUTE_CONFIG] {
        return Ok(());
    }
    if context.attempts.sent == 0 {
        return apply(fleet, context);
    }
    let configuration = configuration(fleet)?;
    context.config_version = Some(fleet.versions[ROUTE_CONFIG]);
    narrow_attempts(configuration, context);
    renew_tenant(fleet, context)?;
    set_tenant_policy(configuration, context);
    Ok(())
}

fn configuration(fleet: &Fleet) -> Result<&RouteConfig, LocalReply> {
    fleet.route_config.as_deref().ok_or_else(|| LocalReply::unavailable("no configuration", RETRY_AFTER))
}

fn choose_route(configuration: &RouteConfig, context: &mut RequestContext) -> Result<(), LocalReply> {
    let (host, path) = (host(context), path(context));
    let route =
        configuration.route(host, path).ok_or_else(|| LocalReply::new(404, format!("no route for {host}{path}")))?;
    let service = target_of(route, &context.info.id).map(str::to_string);
    context.route = route.clone();
    if let Some(service) = service {
        context.service = service;
    }
    Ok(())
}

fn host(context: &RequestContext) -> &str {
    context.head.headers.get("host").unwrap_or_default()
}

fn path(context: &RequestContext) -> &str {
    context.head.target.split('?').next().unwrap_or_default()
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

/// Finds the tenant of the API key, where the configuration or the route wants one.
fn authenticate(fleet: &Fleet, configuration: &RouteConfig, context: &mut RequestContext) -> Result<(), LocalReply> {
    (context.tenant, context.key_print) = (None, None);
    if !configuration.requires_keys {
        return Ok(());
    }
    let is_open = context.route.allows_anonymous;
    let Some(key) = &context.info.key else {
        return if is_open { Ok(()) } else { Err(LocalReply::new(401, "a key is wanted")) };
    };
    let print = hash::key_digest(key);
    match fleet.tenant(&print) {
        Ok(tenant) => {
            context.tenant = Some(tenant.to_string());
            context.key_print = Some(print);
            Ok(())
        }
        Err(_) if is_open => Ok(()),
        Err(_) => Err(LocalReply::unknown_key()),
    }
}

/// Finds whose key it is now. A client that has a part of a response gets no other tenant's rest of it.
fn renew_tenant(fleet: &Fleet, context: &mut RequestContext) -> Result<(), LocalReply> {
    let Some(print) = &context.key_print else { return Ok(()) };
    let tenant = fleet.tenant(print).map_err(|_| LocalReply::unknown_key())?;
    if context.tenant.as_deref() == Some(tenant) {
        return Ok(());
    }
    if context.attempts.response_started {
        return Err(LocalReply::unknown_key());
    }
    context.tenant = Some(tenant.to_string());
    Ok(())
}

/// Sets the cache scope and the urgency, which go by the tenant.
fn set_tenant_policy(configuration: &RouteConfig, context: &mut RequestContext) {
    let tenant = context.tenant.as_ref().and_then(|name| configuration.tenants.get(name)).map(|tenant| &tenant.value);
    context.cache_scope = match &context.tenant {
        Some(name) if tenant.is_some_and(|tenant| tenant.isolated) => format!("t:{name}"),
        _ => SHARED_SCOPE.into(),
    };
    let rank = tenant.and_then(|tenant| tenant.priority).unwrap_or(context.route.priority);
    context.urgency = Some((rank * 2 + 1).min(LEAST_URGENT) as u8);
}

/// Sets what the request may take by its route: its time and its attempts.
fn set_route_limits(context: &mut RequestContext) {
    let route = &context.route;
    let route_timeout = Duration::from_millis(route.timeout_ms);
    context.deadline =
        context.started_at + context.info.time_left.map_or(route_timeout, |left| left.min(route_timeout));
    let resumable = is_resumable(route);
    context.attempts = AttemptHistory {
        unsent: context.attempts.unsent,
        has_event_id: context.info.last_event_id.is_some(),
        ..AttemptHistory::new(route.idempotent || resumable, resumable, route.max_attempts)
    };
}

fn is_resumable(route: &Route) -> bool {
    route.stream && route.resume
}

/// Takes back what the route allows no more. A route that is gone says nothing: the request was accepted under it.
fn narrow_attempts(configuration: &RouteConfig, context: &mut RequestContext) {
    let Some(route) = configuration.route(host(context), path(context)) else { return };
    let (resumable, max_attempts) = (is_resumable(route), route.max_attempts.max(1));
    let idempotent = route.idempotent || resumable;
    let attempts = &mut context.attempts;
    attempts.idempotent &= idempotent;
    attempts.resumable &= resumable;
    attempts.max_attempts = attempts.max_attempts.min(max_attempts);
}
