//! One request from its arrival to its end, as a state machine without I/O: when it is claimed, placed, sent, retried,
//! rejected, reset or completed. Threads or a simulator perform its actions and report events to it.
pub use crate::request_events::{Action, ClaimResult, ClientResponse, Event, Outcome, StopReason, check_allowed};
use crate::retry_budget::RetryBudget;
use control_state::command::ClaimStatus;

/// A request is sent to at most so many replicas.
const MAX_ATTEMPTS: usize = 3;
const OK: u16 = 200;
const TOO_MANY_REQUESTS: u16 = 429;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for a claim or for a replica.
    Preparing,
    /// An attempt is under way: whether its first chunk came, and the one that says it is the last.
    Forwarding { first_seen: bool, last_seen: bool },
    /// Nothing more will be done.
    Over,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    /// The request is claimed before it is sent, and never sent twice.
    at_most_once: bool,
    /// Chunks reach the client as they come.
    stream: bool,
    claimed: bool,
    /// Some attempt may have run.
    may_have_run: bool,
    /// The client has had a byte of the response.
    response_started: bool,
    /// Replicas of failed attempts.
    pub attempted: Vec<String>,
    /// The replica of the present attempt.
    replica: String,
    /// The longest time that a replica asked to be left alone for, in seconds.
    retry_after: u64,
    phase: Phase,
}

impl RequestMachine {
    /// A request that has not started. One that must run at most once is claimed and never retried.
    pub fn new(at_most_once: bool, stream: bool) -> Self {
        RequestMachine {
            at_most_once,
            stream,
            claimed: false,
            may_have_run: false,
            response_started: false,
            attempted: Vec::new(),
            replica: String::new(),
            retry_after: 0,
            phase: Phase::Preparing,
        }
    }

    /// Whether the request has come to its end.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Whether an attempt is under way.
    pub fn is_forwarding(&self) -> bool {
        matches!(self.phase, Phase::Forwarding { .. })
    }

    /// Takes an event and returns what is to be done. `allowed` is whether the request may go on at this moment; the
    /// caller checks it anew for each event.
    pub fn step(&mut self, allowed: Result<(), StopReason>, event: Event, budget: &mut RetryBudget) -> Vec<Action> {
        match (self.phase, event) {
            (Phase::Over, _) => Vec::new(),
            (Phase::Preparing, Event::Claimed(result)) => self.on_claimed(allowed, result),
            (Phase::Preparing, event) => match allowed {
                Err(reason) => self.give_up(ClientResponse::stopped(reason, self.outcome())),
                Ok(()) => self.on_preparing(event, budget),
            },
            (Phase::Forwarding { .. }, event) => match (allowed, event) {
                // What never left has not run, whatever stopped it.
                (Err(reason), Event::ConnectionFailed { sent: false, .. }) => {
                    self.give_up(ClientResponse::stopped(reason, self.outcome()))
                }
                (Err(reason), _) => self.on_stopped(reason),
                (Ok(()), Event::ClientGone) => self.on_stopped(StopReason::ClientGone),
                (Ok(()), event) => self.on_forwarding(event, budget),
            },
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome::of(self.may_have_run)
    }

    fn on_claimed(&mut self, allowed: Result<(), StopReason>, result: ClaimResult) -> Vec<Action> {
        match result {
            ClaimResult::Granted => {
                self.claimed = true;
                match allowed {
                    Err(reason) => self.give_up(ClientResponse::stopped(reason, Outcome::NotExecuted)),
                    Ok(()) => vec![Action::Explain("claimed to run once".into()), Action::Place],
                }
            }
            ClaimResult::Conflict(claim) => {
                self.respond(ClaimStatus::NotExecuted, ClientResponse::claimed_by_another(&claim))
            }
            ClaimResult::Rejected(reason) => {
                self.respond(ClaimStatus::NotExecuted, ClientResponse::claim_rejected(reason))
            }
            ClaimResult::Unconfirmed => {
                // Nothing was sent and nothing will be; the claim may stand, so it is completed as not run.
                self.claimed = true;
                self.respond(ClaimStatus::NotExecuted, ClientResponse::claim_unconfirmed())
            }
        }
    }

    fn on_preparing(&mut self, event: Event, budget: &mut RetryBudget) -> Vec<Action> {
        match event {
            Event::Start => {
                budget.deposit();
                vec![if self.at_most_once { Action::Claim } else { Action::Place }]
            }
            Event::Placed(Some(replica)) => {
                self.replica = replica;
                self.phase = Phase::Forwarding { first_seen: false, last_seen: false };
                vec![Action::Send]
            }
            Event::Placed(None) => self.give_up(ClientResponse::no_replica(self.outcome(), self.retry_after)),
            Event::ClientGone => self.give_up(ClientResponse::stopped(StopReason::ClientGone, self.outcome())),
            _ => Vec::new(),
        }
    }

    fn on_forwarding(&mut self, event: Event, budget: &mut RetryBudget) -> Vec<Action> {
        match event {
            Event::ResponseHead { status, not_executed, retry_after } => {
                self.on_response_head(status, not_executed, retry_after, budget)
            }
            Event::Chunk { last } => self.on_chunk(last, budget),
            Event::StreamEnded => self.on_stream_ended(budget),
            Event::ConnectionFailed { sent, cause } => self.on_attempt_failed(!sent, &cause, budget),
            _ => Vec::new(),
        }
    }

    fn on_response_head(
        &mut self,
        status: u16,
        not_executed: bool,
        retry_after: Option<u64>,
        budget: &mut RetryBudget,
    ) -> Vec<Action> {
        match status {
            OK => {
                self.may_have_run = true;
                Vec::new()
            }
            // A replica's rejection of the request is the answer; only one that is busy is worth another replica.
            400..500 if status != TOO_MANY_REQUESTS => {
                self.may_have_run |= !not_executed;
                let outcome = self.outcome();
                self.finish(outcome.claim_status(), Action::ForwardRejection(outcome))
            }
            _ => {
                self.retry_after = self.retry_after.max(retry_after.unwrap_or(0));
                let not_executed = not_executed || status == TOO_MANY_REQUESTS;
                self.on_attempt_failed(not_executed, &format!("answered {status}"), budget)
            }
        }
    }

    fn on_chunk(&mut self, last: bool, budget: &mut RetryBudget) -> Vec<Action> {
        let Phase::Forwarding { first_seen, last_seen } = self.phase else { return Vec::new() };
        if last_seen {
            return self.on_attempt_failed(false, "a piece came after [DONE]", budget);
        }
        self.phase = Phase::Forwarding { first_seen: true, last_seen: last };
        self.may_have_run = true;
        self.response_started |= self.stream;
        match first_seen {
            true => vec![Action::ForwardChunk],
            false => vec![Action::FirstChunk, Action::ForwardChunk],
        }
    }

    fn on_stream_ended(&mut self, budget: &mut RetryBudget) -> Vec<Action> {
        if !matches!(self.phase, Phase::Forwarding { last_seen: true, .. }) {
            return self.on_attempt_failed(false, "the stream ended without [DONE]", budget);
        }
        // The client has its response before the claim is completed.
        let mut actions = self.finish(ClaimStatus::Done, Action::CompleteResponse);
        actions.reverse();
        actions
    }

    /// The request is stopped during an attempt: its replica is let go before anything else.
    fn on_stopped(&mut self, reason: StopReason) -> Vec<Action> {
        self.may_have_run = true;
        let response = ClientResponse::stopped(reason, Outcome::Unknown);
        let mut actions = vec![Action::CloseUpstream];
        actions.extend(match self.response_started {
            true => self.finish(ClaimStatus::Unknown, Action::ResetClient(response.reason)),
            false => self.give_up(response),
        });
        actions
    }

    /// An attempt failed: the client's stream is reset if it has started, else the request is retried within the budget.
    fn on_attempt_failed(&mut self, not_executed: bool, cause: &str, budget: &mut RetryBudget) -> Vec<Action> {
        self.may_have_run |= !not_executed;
        let mut actions = vec![Action::CloseUpstream];
        if self.response_started {
            actions.extend(self.finish(ClaimStatus::Unknown, Action::ResetClient(cause.to_string())));
            return actions;
        }
        actions.push(Action::Explain(format!("{} failed: {cause}", self.replica)));
        self.attempted.push(self.replica.clone());
        if !self.at_most_once && self.attempted.len() < MAX_ATTEMPTS && budget.withdraw() {
            self.phase = Phase::Preparing;
            actions.extend([Action::Explain("tries again".into()), Action::Place]);
            return actions;
        }
        let response = ClientResponse::attempt_failed(&self.replica, cause, self.outcome(), self.retry_after);
        actions.extend(self.give_up(response));
        actions
    }

    /// Ends the request with a response, its claim completed by what is known of its execution.
    fn give_up(&mut self, response: ClientResponse) -> Vec<Action> {
        self.respond(self.outcome().claim_status(), response)
    }

    fn respond(&mut self, ran: ClaimStatus, response: ClientResponse) -> Vec<Action> {
        self.finish(ran, Action::Respond(response))
    }

    /// Ends the request: completes its claim, if it has one, and then does the last action.
    fn finish(&mut self, ran: ClaimStatus, last: Action) -> Vec<Action> {
        self.phase = Phase::Over;
        let completion = std::mem::take(&mut self.claimed).then_some(Action::CompleteClaim(ran));
        completion.into_iter().chain([last]).collect()
    }
}
