//! The phases that a request goes through, in order. Each may end it.
use crate::request_context::{CompletionRequest, LocalReply, PhaseOutcome, RequestContext};
use crate::request_trace::RequestTrace;
use crate::shutdown::{RunningRequest, check_shutdown};
use crate::state::{RouterState, count};
use crate::{claims, forward};
use control_state::fleet::{Fleet, KeyError};
use control_state::fleet_config::FleetConfig;
use control_state::rules::RequestFacts;
use fleet_common::hash;
use fleet_common::http_server::Incoming;
use fleet_common::json::{self, ParseError};
use routing::admission::{AdmissionRequest, Rejection};
use routing::request_machine::RequestMachine;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A phase that judges a request by a version of the fleet.
type Check = fn(&Arc<RouterState>, &Fleet, &mut RequestContext) -> PhaseOutcome;
/// A phase that waits for others, and goes by the fleet as it is whenever it acts.
type Exchange = fn(&Arc<RouterState>, &mut RequestContext) -> PhaseOutcome;

/// A phase of a request, with the name that traces show.
struct Phase<Run> {
    trace_name: &'static str,
    run: Run,
}

/// These judge a request by one version of the fleet.
const CHECKS: &[Phase<Check>] = &[
    Phase { trace_name: "fresh", run: check_lease },
    Phase { trace_name: "key", run: authenticate },
    Phase { trace_name: "way", run: choose_route },
    Phase { trace_name: "parse", run: parse_request },
    Phase { trace_name: "rules", run: apply_rules },
    Phase { trace_name: "admit", run: |state, _, context| check_shutdown(state, context) },
    Phase { trace_name: "let in", run: admit },
];

const EXCHANGES: &[Phase<Exchange>] =
    &[Phase { trace_name: "claim", run: claims::claim }, Phase { trace_name: "ferry", run: forward::forward }];

/// The path under which models answer.
const COMPLETIONS_PATH: &str = "/v1/completions";
/// The target of a route to the app service.
const APP_TARGET: &str = "app";
/// The status of a request that is over a limit of admission control.
const TOO_MANY_REQUESTS: u16 = 429;
/// Requests without a kind have this urgency, and this time budget in milliseconds.
const DEFAULT_URGENCY: u64 = 1;
const DEFAULT_BUDGET_MS: u64 = 30_000;
/// The limit on a response's tokens where the request names none, and the largest that it may name.
const DEFAULT_MAX_TOKENS: u64 = 16;
const LARGEST_MAX_TOKENS: u64 = 32_768;
/// Requests without a session belong to that of their prompt's first characters, so many.
const SESSION_PROMPT_CHARS: usize = 256;

/// Takes a client's request through the phases.
pub fn serve(state: &Arc<RouterState>, mut incoming: Incoming) {
    let _running = RunningRequest::start(state);
    count(&state.counters.requests);
    incoming.closes_connection = state.is_draining();
    let mut context = new_context(state, incoming);
    run_phases(state, &mut context);
    if context.admitted {
        state.in_flight().release(&context.tenant);
        let (now, key) = (state.now(), context.kind_key());
        state.shutdown().record_run_time(now, key, context.trace.started_at.elapsed());
    }
    keep_trace(state, context);
}

fn new_context(state: &RouterState, incoming: Incoming) -> RequestContext {
    let number = state.next_request_number.fetch_add(1, Ordering::Relaxed);
    let text = |name: &str| incoming.header(name).unwrap_or_default().to_string();
    let optional = |name: &str| incoming.header(name).filter(|value| !value.is_empty()).map(str::to_string);
    RequestContext {
        id: format!("{}-{:08x}-{number}", state.name, state.incarnation as u32),
        path: incoming.path.clone(),
        completion: CompletionRequest::default(),
        key_print: String::new(),
        tenant: String::new(),
        cache_scope: String::new(),
        kind: text("x-kind"),
        urgency: DEFAULT_URGENCY,
        deadline: Duration::ZERO,
        session: text("x-session"),
        requested_replica: optional("x-place"),
        idempotency_key: optional("idempotency-key"),
        to_app: false,
        admitted: false,
        machine: RequestMachine::new(false, false),
        pending_actions: Vec::new(),
        trace: RequestTrace::default(),
        incoming: Some(incoming),
    }
}

fn run_phases(state: &Arc<RouterState>, context: &mut RequestContext) {
    let fleet = state.fleet.read();
    for check in CHECKS {
        let outcome = (check.run)(state, &fleet, context);
        if !goes_on(state, context, check.trace_name, outcome) {
            return;
        }
    }
    drop(fleet);
    for exchange in EXCHANGES {
        let outcome = (exchange.run)(state, context);
        if !goes_on(state, context, exchange.trace_name, outcome) {
            return;
        }
    }
}

/// Whether the next phase follows; sends the reply where a phase ends the request with one.
fn goes_on(state: &RouterState, context: &mut RequestContext, phase: &str, outcome: PhaseOutcome) -> bool {
    match outcome {
        PhaseOutcome::Continue => return true,
        PhaseOutcome::Responded => {}
        PhaseOutcome::Reply(reply) => send_reply(state, context, phase, reply),
    }
    false
}

/// Sends the reply with which a phase ends the request.
fn send_reply(state: &RouterState, context: &mut RequestContext, phase: &str, reply: LocalReply) {
    let is_over_limit = reply.status == TOO_MANY_REQUESTS;
    count(if is_over_limit { &state.counters.rejected_over_limit } else { &state.counters.rejected });
    context.trace.step(format!("{phase}: {} {}", reply.status, reply.message));
    context.trace.outcome = reply.outcome.header_value().into();
    if let Some(incoming) = context.incoming.take() {
        reply.send(incoming, &context.id);
    }
}

fn keep_trace(state: &RouterState, context: RequestContext) {
    let mut trace = context.trace;
    trace.tenant = context.tenant;
    trace.kind = context.kind;
    trace.session = context.session;
    state.traces().insert(&context.id, trace);
}

fn reject(status: u16, message: impl ToString) -> PhaseOutcome {
    PhaseOutcome::Reply(LocalReply::new(status, "", message))
}

fn reject_with_retry_after(status: u16, message: &str) -> PhaseOutcome {
    PhaseOutcome::Reply(LocalReply::with_retry_after(status, message))
}

fn check_lease(state: &Arc<RouterState>, _: &Fleet, _: &mut RequestContext) -> PhaseOutcome {
    if state.holds_lease() {
        return PhaseOutcome::Continue;
    }
    count(&state.counters.rejected_without_lease);
    reject_with_retry_after(503, "this edge holds no fresh term")
}

/// Finds the tenant of the API key, and its cache scope.
fn authenticate(_: &Arc<RouterState>, fleet: &Fleet, context: &mut RequestContext) -> PhaseOutcome {
    let authorization = context.incoming.as_ref().and_then(|incoming| incoming.header("authorization"));
    let Some(key) = authorization.and_then(|value| value.strip_prefix("Bearer ")) else {
        return reject(401, "a key is wanted: Authorization: Bearer KEY");
    };
    context.key_print = hash::key_digest(key);
    match fleet.tenant(&context.key_print) {
        Ok(tenant) => context.tenant = tenant.to_string(),
        Err(KeyError::Withdrawn) => return reject(403, "this key is withdrawn"),
        Err(KeyError::Unknown) => return reject(401, "unknown key"),
    }
    match fleet.fleet_config.as_ref().and_then(|blueprint| blueprint.wall(&context.tenant)) {
        Some(wall) => context.cache_scope = wall,
        None => return reject(403, "the key's tenant is not in the blueprint"),
    }
    PhaseOutcome::Continue
}

/// Decides by the path whether the request goes to a model replica or to the app service.
fn choose_route(_: &Arc<RouterState>, fleet: &Fleet, context: &mut RequestContext) -> PhaseOutcome {
    match fleet.fleet_config.as_ref().and_then(|blueprint| blueprint.route_rule(&context.path)) {
        Some(route) => context.to_app = route.to == APP_TARGET,
        None => return reject(404, format!("no way for {}", context.path)),
    }
    let is_post = context.incoming.as_ref().is_some_and(|incoming| incoming.method == "POST");
    if !context.to_app && (!is_post || context.path != COMPLETIONS_PATH) {
        return reject(404, "POST /v1/completions is what model replicas answer");
    }
    PhaseOutcome::Continue
}

/// The fields of a request for a completion. Those that the router does not use are for the replica.
const COMPLETION_FIELDS: &[&str] = &[
    "model",
    "prompt",
    "stream",
    "max_tokens",
    "temperature",
    "top_p",
    "n",
    "stop",
    "seed",
    "user",
    "echo",
    "logprobs",
];

fn parse_completion(body: &[u8]) -> Result<CompletionRequest, ParseError> {
    let root = json::root(body)?;
    root.only_fields(COMPLETION_FIELDS)?;
    let max_tokens = root.optional("max_tokens")?;
    Ok(CompletionRequest {
        model: root.required("model")?.text()?,
        prompt: root.required("prompt")?.text()?,
        max_tokens: max_tokens.map_or(Ok(DEFAULT_MAX_TOKENS), |field| field.number(1, LARGEST_MAX_TOKENS))?,
        stream: root.optional("stream")?.map_or(Ok(false), |field| field.boolean())?,
        body: body.to_vec(),
    })
}

fn parse_request(_: &Arc<RouterState>, _: &Fleet, context: &mut RequestContext) -> PhaseOutcome {
    let Some(incoming) = &context.incoming else { return PhaseOutcome::Responded };
    if context.to_app {
        context.completion.body = incoming.body.clone();
        return PhaseOutcome::Continue;
    }
    match parse_completion(&incoming.body) {
        Ok(completion) if completion.stream && incoming.cannot_stream() => {
            let message = "streams need HTTP/1.1: an older one cannot show a cut";
            return PhaseOutcome::Reply(LocalReply::new(505, "/stream", message));
        }
        Ok(completion) => context.completion = completion,
        Err(error) => return PhaseOutcome::Reply(LocalReply::new(400, &error.pointer, error.reason)),
    }
    if context.session.is_empty() {
        let start: String = context.completion.prompt.chars().take(SESSION_PROMPT_CHARS).collect();
        context.session = format!("{:016x}", hash::bytes(1, start.as_bytes()));
    }
    PhaseOutcome::Continue
}

/// Checks the request against the configuration's models, kinds of work and rules, and sets its deadline.
fn apply_rules(state: &Arc<RouterState>, fleet: &Fleet, context: &mut RequestContext) -> PhaseOutcome {
    let Some(blueprint) = &fleet.fleet_config else { return reject_with_retry_after(503, "no blueprint holds yet") };
    if !context.to_app && !blueprint.models.contains_key(&context.completion.model) {
        let message = format!("no model {}", context.completion.model);
        return PhaseOutcome::Reply(LocalReply::new(404, "/model", message));
    }
    if let Err(reply) = set_limits(state, context, blueprint) {
        return PhaseOutcome::Reply(reply);
    }
    let facts = RequestFacts {
        tenant: &context.tenant,
        kind: &context.kind,
        model: &context.completion.model,
        path: &context.path,
        tokens: context.completion.max_tokens as i64,
        prompt_bytes: context.completion.prompt.len() as i64,
        stream: context.completion.stream,
        once: context.idempotency_key.is_some(),
    };
    match state.rules(fleet).engine.rejection(&facts) {
        Some(why) => reject(403, why),
        None => PhaseOutcome::Continue,
    }
}

/// Sets the urgency and the deadline, by the kind of work and the time that the client names.
fn set_limits(state: &RouterState, context: &mut RequestContext, blueprint: &FleetConfig) -> Result<(), LocalReply> {
    let kind = match (context.kind.is_empty(), blueprint.request_classes.get(&context.kind)) {
        (true, _) => None,
        (false, Some(kind)) => Some(kind),
        (false, None) => return Err(LocalReply::new(400, "", format!("no kind {} (X-Kind)", context.kind))),
    };
    context.urgency = kind.map_or(DEFAULT_URGENCY, |kind| kind.urgency);
    let largest_budget_ms = kind.map_or(DEFAULT_BUDGET_MS, |kind| kind.budget_ms);
    let requested = context.incoming.as_ref().and_then(|incoming| incoming.header("x-budget-ms"));
    let budget_ms = match requested.map(str::parse::<u64>) {
        None => largest_budget_ms,
        Some(Ok(requested_ms)) => requested_ms.min(largest_budget_ms),
        Some(Err(_)) => return Err(LocalReply::new(400, "", "X-Budget-Ms: a whole number is wanted")),
    };
    context.deadline = state.since_start(context.trace.started_at) + Duration::from_millis(budget_ms);
    Ok(())
}

/// Admission control: the limit on requests in flight, shared by urgency and by the tenants' weights.
fn admit(state: &Arc<RouterState>, fleet: &Fleet, context: &mut RequestContext) -> PhaseOutcome {
    let Some(blueprint) = &fleet.fleet_config else { return reject_with_retry_after(503, "no blueprint holds yet") };
    let share = blueprint.tenants.get(&context.tenant).map_or(1, |tenant| tenant.quota_share);
    let sum = blueprint.tenants.values().map(|tenant| tenant.quota_share).sum();
    let request = AdmissionRequest {
        tenant: &context.tenant,
        urgency: context.urgency,
        quota: routing::admission::Quota { weight: share, total_weight: sum },
        limit: blueprint.limits.per_edge.min(state.max_requests),
    };
    let admission = state.in_flight().admit(&request);
    match admission {
        Ok(()) => {
            context.admitted = true;
            PhaseOutcome::Continue
        }
        Err(Rejection::Full) => reject_with_retry_after(TOO_MANY_REQUESTS, "this edge is full"),
        Err(Rejection::Urgency) => {
            reject_with_retry_after(TOO_MANY_REQUESTS, "this edge is busy with more urgent kinds")
        }
        Err(Rejection::Quota) => reject_with_retry_after(TOO_MANY_REQUESTS, "this tenant is over its share"),
    }
}
