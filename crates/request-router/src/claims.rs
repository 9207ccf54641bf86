//! Requests with an idempotency key: claimed at the control replicas before anything is sent, and completed there
//! afterwards.
use crate::request_context::{LocalReply, PhaseOutcome, RequestContext};
use crate::state::RouterState;
use control_state::command::{ClaimStatus, Command, CommandRequest};
use control_state::outcome::Outcome;
use crossbeam::channel::{Receiver, Sender, unbounded};
use fleet_common::ring;
use fleet_common::rpc::Response;
use fleet_common::threads::{self, STACK};
use routing::request_machine::{Action, ClaimResult, Event, RequestMachine};
use std::sync::Arc;
use std::time::Duration;

/// Limit on the length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The code of a command that conflicts with another one.
const CONFLICT: u16 = 409;
/// Threads that send completions, so that one that hangs does not delay the others.
const COMPLETION_SENDERS: usize = 4;
/// How often due completions are looked for.
const COMPLETION_INTERVAL: Duration = Duration::from_millis(20);

/// A completion of a claim, under its number among the pending ones.
type Completion = (u64, Command);

/// Sends a command by the agent; `None` where its outcome is unknown.
fn submit(state: &RouterState, command: Command) -> Option<Outcome> {
    let mut agent = state.take_agent_client();
    match CommandRequest::internal(command).to_request().and_then(|ask| agent.call(&ask)) {
        Ok(Response::Json(text)) => {
            state.return_agent_client(agent);
            sonic_rs::from_slice(text.as_slice()).ok()
        }
        Ok(other) => {
            state.return_agent_client(agent);
            ring::info(&format!("command answered {other:?}"));
            None
        }
        Err(error) => {
            ring::info(&error.to_string());
            None
        }
    }
}

/// Starts the state machine of a request, and claims its idempotency key where it has one.
pub fn claim(state: &Arc<RouterState>, context: &mut RequestContext) -> PhaseOutcome {
    let key = context.idempotency_key.clone();
    if key.as_ref().is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        return PhaseOutcome::Reply(LocalReply::new(400, "", "Idempotency-Key: at most 256 bytes"));
    }
    context.machine = RequestMachine::new(key.is_some(), context.completion.stream && !context.to_app);
    let mut actions = step(state, context, Event::Start);
    if let ([Action::Claim], Some(key)) = (&actions[..], key) {
        let claimed = claim_key(state, context, key);
        actions = step(state, context, Event::Claimed(claimed));
    }
    context.pending_actions = actions;
    PhaseOutcome::Continue
}

fn step(state: &RouterState, context: &mut RequestContext, event: Event) -> Vec<Action> {
    let allowed = context.check_allowed(state);
    context.machine.step(allowed, event, &mut state.retry_tokens())
}

fn claim_key(state: &RouterState, context: &RequestContext, key: String) -> ClaimResult {
    let (tenant, edge, request) = (context.tenant.clone(), state.name.clone(), context.id.clone());
    match submit(state, Command::Claim { tenant, key, edge, request }) {
        Some(outcome) if outcome.accepted() => ClaimResult::Granted,
        Some(outcome) if outcome.code == CONFLICT => ClaimResult::Conflict(outcome.detail),
        Some(outcome) => ClaimResult::Rejected(outcome.detail),
        None => ClaimResult::Unconfirmed,
    }
}

/// Queues the completion of a request's claim. It is sent until it is acknowledged: if this node's lease expired, the
/// claim would only become `unknown`.
pub fn complete_claim(state: &RouterState, context: &mut RequestContext, status: ClaimStatus) {
    let Some(key) = context.idempotency_key.clone() else { return };
    context.trace.step(format!("settled as {status:?}"));
    let completion =
        Command::CompleteClaim { tenant: context.tenant.clone(), key, request: context.id.clone(), status };
    let now = state.now();
    state.pending_completions().add(now, completion);
}

/// Starts the threads that send due completions.
pub fn start(state: &Arc<RouterState>) {
    let (sender, receiver) = unbounded();
    for _ in 0..COMPLETION_SENDERS {
        let (state, receiver) = (state.clone(), receiver.clone());
        threads::start("claim sender", STACK, move || send_completions(&state, &receiver));
    }
    let state = state.clone();
    threads::start("claim queue", STACK, move || queue_due_completions(&state, &sender));
}

fn send_completions(state: &RouterState, due: &Receiver<Completion>) {
    for (number, completion) in due {
        let acknowledged = submit(state, completion).is_some();
        let now = state.now();
        state.pending_completions().on_attempt_ended(now, number, acknowledged);
    }
}

fn queue_due_completions(state: &RouterState, senders: &Sender<Completion>) -> ! {
    loop {
        std::thread::sleep(COMPLETION_INTERVAL);
        let due = state.pending_completions().due(state.now());
        due.into_iter().for_each(|completion| _ = senders.send(completion));
    }
}
