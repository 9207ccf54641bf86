//! A simulated edge's router: the router's own decisions, driven without threads.
use crate::admission::claim_result;
use crate::clients::Request;
use crate::control_calls::ControlCall;
use crate::cores::edges::{Edge, Off as EdgeOff};
use crate::cores::ms;
use crate::shape::{DisabledGuard, EDGES};
use crate::wire::{Endpoint, Message};
use crate::world::World;
use control_state::command::CommandRequest;
use fleet_common::rpc::{self, Response, audit};
use prefix_table::filter::FilterCopy;
use routing::admission::InFlightRequests;
use routing::claim_completion::ClaimCompletions;
use routing::link_costs::{LearntCosts, TransferSample};
use routing::placement::Placement;
use routing::replica_table::{self, EjectedUntil, ReplicaReports};
use routing::request_machine::{Event, RequestMachine, StopReason, check_allowed};
use routing::retry_budget::RetryBudget;
use routing::transfer_source::FilterCopies;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a router waits for what comes of a claim.
const CLAIM_WAIT: Duration = Duration::from_secs(5);

/// A request on its way.
pub(crate) struct ActiveRequest {
    pub request: Request,
    pub id: String,
    pub key_digest: String,
    pub tenant: String,
    pub wall: String,
    pub deadline: Duration,
    pub kind_budget_ms: u64,
    pub machine: RequestMachine,
    pub placement: Option<Placement>,
    pub attempts: u64,
    pub started_at: Duration,
    pub last_event_at: Duration,
    /// The run and number of the piece just heard.
    pub last_chunk: ((u64, u64), u64, bool),
    /// Pieces of an answer that is wanted whole.
    pub buffered_chunks: Vec<((u64, u64), u64)>,
    pub claim: Option<(ControlCall, Duration)>,
}

/// A try whose source is being audited.
pub(crate) type AuditedTransfer = (String, TransferSample);

pub struct Router {
    pub at: usize,
    pub up: bool,
    pub edge: Edge,
    pub(crate) starts: u64,
    pub(crate) filter_copies: FilterCopies,
    pub(crate) replica_reports: ReplicaReports,
    pub(crate) ejected: EjectedUntil,
    pub(crate) learnt_costs: LearntCosts,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) in_flight: InFlightRequests,
    pub(crate) active_requests: BTreeMap<u64, ActiveRequest>,
    pub(crate) audited_transfers: Vec<AuditedTransfer>,
    pub(crate) claim_completions: ClaimCompletions,
    completions_in_flight: Vec<(u64, ControlCall)>,
    /// Claims that were given up but are still on their way.
    pub(crate) abandoned_claims: Vec<ControlCall>,
}

impl Router {
    pub(crate) fn new(at: usize, off: EdgeOff) -> Self {
        Router {
            at,
            up: true,
            edge: Edge::new(&format!("e{}", at + 1), off),
            starts: 1,
            filter_copies: FilterCopies::new(),
            replica_reports: ReplicaReports::new(),
            ejected: EjectedUntil::new(),
            learnt_costs: LearntCosts::default(),
            retry_budget: RetryBudget::starting_with(1, 10),
            in_flight: InFlightRequests::default(),
            active_requests: BTreeMap::new(),
            audited_transfers: Vec::new(),
            claim_completions: ClaimCompletions::default(),
            completions_in_flight: Vec::new(),
            abandoned_claims: Vec::new(),
        }
    }

    /// The process ends; with it all it carried.
    pub(crate) fn kill(&mut self) {
        self.up = false;
        self.active_requests.clear();
        self.abandoned_claims.clear();
        (self.claim_completions, self.completions_in_flight) = (ClaimCompletions::default(), Vec::new());
    }

    pub(crate) fn start(&mut self) {
        let edge = std::mem::replace(&mut self.edge, Edge::new("", EdgeOff::Nothing));
        *self = Router { starts: self.starts + 1, edge, ..Router::new(self.at, EdgeOff::Nothing) };
        self.edge.restart_router();
    }
}

impl World {
    /// Whether a request may go on now.
    pub(crate) fn check_request_allowed(&self, at: usize, call: u64) -> Result<(), StopReason> {
        let router = &self.routers[at];
        let Some(going) = router.active_requests.get(&call) else { return Ok(()) };
        if self.disabled_guard == DisabledGuard::KeyInStream && going.placement.is_some() {
            return Ok(());
        }
        let who = (going.key_digest.as_str(), going.tenant.as_str());
        check_allowed(&router.edge.fleet, router.edge.fresh(self.now()), who, self.now(), going.deadline)
    }

    pub(crate) fn router_step(&mut self, at: usize) {
        let now = self.now();
        let router = &mut self.routers[at];
        if !router.up {
            return;
        }
        router.edge.step(&mut self.cores);
        if now < router.edge.router_frozen {
            return;
        }
        let reached = now >= router.edge.cut_until && now >= router.edge.agent_frozen;
        for (number, command) in router.claim_completions.due(now) {
            let ask = CommandRequest::internal(command).to_request().expect("a command can be written");
            router.completions_in_flight.push((number, ControlCall::new(ask, now, now + CLAIM_WAIT)));
        }
        let settling = &mut router.claim_completions;
        router.completions_in_flight.retain_mut(|(number, call)| match call.step(&mut self.cores, reached) {
            None => true,
            Some(answer) => {
                settling.on_attempt_ended(now, *number, matches!(answer, Some(Response::Json(_))));
                false
            }
        });
        router.abandoned_claims.retain_mut(|stray| stray.step(&mut self.cores, reached).is_none());
        let mut heard: Vec<(u64, Event)> = Vec::new();
        for (call, going) in &mut router.active_requests {
            if let Some((claim, deadline)) = &mut going.claim {
                let outcome = match claim.step(&mut self.cores, reached) {
                    None if now < *deadline => continue,
                    // Given up, but still on its way.
                    None => None,
                    Some(answer) => answer,
                };
                heard.push((*call, Event::Claimed(claim_result(outcome.as_ref()))));
                if outcome.is_none() {
                    router.abandoned_claims.push(claim.clone());
                }
                going.claim = None;
            } else if going.machine.is_forwarding() {
                let stalled = now - going.last_event_at > ms(2000);
                let broken = Event::ConnectionFailed { sent: true, cause: "nothing came".into() };
                heard.push((*call, if stalled { broken } else { Event::Idle }));
            }
        }
        for (call, heard) in heard {
            self.step_request(at, call, heard);
        }
    }

    pub(crate) fn router_receives(&mut self, at: usize, message: Message) {
        match message {
            Message::Request(request) => self.admit_request(at, request),
            Message::Refused(stream, status, after) => {
                self.on_stream_event(
                    at,
                    stream,
                    Event::ResponseHead { status, not_executed: true, retry_after: after },
                );
            }
            Message::Chunk(stream, number, last) => {
                if let Some(going) =
                    self.routers[at].active_requests.get_mut(&stream.0).filter(|g| g.attempts == stream.1)
                {
                    going.last_chunk = (stream, number, last);
                }
                self.on_stream_event(at, stream, Event::Chunk { last });
            }
            Message::StreamEnded(stream) => self.on_stream_event(at, stream, Event::StreamEnded),
            Message::ConnectionFailed(stream, left) => {
                let until = self.now() + ms(1500);
                let router = &mut self.routers[at];
                let place = router
                    .active_requests
                    .get(&stream.0)
                    .and_then(|g| g.placement.as_ref())
                    .map(|f| f.replica.id.clone());
                if let (false, Some(place)) = (left, place) {
                    router.ejected.insert(place, until);
                }
                self.on_stream_event(at, stream, Event::ConnectionFailed { sent: left, cause: "broken".into() });
            }
            Message::Announce(rpc::Request::ReplicaReports(seats)) => {
                let now = self.now();
                replica_table::merge(&mut self.routers[at].replica_reports, now, seats.into_items());
            }
            Message::Announce(rpc::Request::FilterPush(filter)) => self.accept_filter(at, filter),
            Message::Answered { answer: Response::Filter(filter), .. } => self.accept_filter(at, filter),
            Message::Answered { replica, answer: Response::Audit(verdict) } => {
                self.on_audit_verdict(at, &replica, verdict)
            }
            _ => {}
        }
    }

    fn on_stream_event(&mut self, at: usize, stream: (u64, u64), heard: Event) {
        let now = self.now();
        let known = self.routers[at].active_requests.get_mut(&stream.0).filter(|going| going.attempts == stream.1);
        if let Some(going) = known {
            going.last_event_at = now;
            self.step_request(at, stream.0, heard);
        }
    }

    fn accept_filter(&mut self, at: usize, filter: fleet_common::rpc::Filter) {
        let router = &mut self.routers[at];
        let fence = router.edge.fleet.assignments.get(filter.replica.as_str()).map_or(0, |duty| duty.fencing_token);
        let Some(mirror) = FilterCopy::from_filter(filter).filter(|mirror| mirror.fencing_token >= fence) else {
            return;
        };
        if router.filter_copies.get(&mirror.replica).is_none_or(|held| held.older_than(&mirror)) {
            router.filter_copies.insert(mirror.replica.clone(), Arc::new(mirror));
        }
    }

    fn on_audit_verdict(&mut self, at: usize, replica: &str, verdict: u8) {
        let now = self.now();
        let router = &mut self.routers[at];
        let Some(place) = router.audited_transfers.iter().position(|(source, _)| source == replica) else { return };
        let (_, seen) = router.audited_transfers.remove(place);
        if verdict == audit::CACHED
            && let Some(blueprint) = &router.edge.fleet.fleet_config
        {
            router.learnt_costs.record_transfer(now, &blueprint.links, &seen);
        }
        let false_hit = [audit::COLLISION, audit::STALE].contains(&verdict);
        let mirror = router.filter_copies.get_mut(replica).filter(|_| false_hit);
        if mirror.is_some_and(|mirror| Arc::make_mut(mirror).count_false_hit(5)) {
            self.ask_index(at, replica, rpc::Request::FilterPull(replica.into()));
        }
    }

    /// Asks whoever holds a replica's duty.
    pub(crate) fn ask_index(&mut self, at: usize, replica: &str, ask: rpc::Request) {
        let holder =
            self.routers[at].edge.fleet.owner_address(replica).and_then(|at| at.strip_prefix('i')?.parse().ok());
        if let Some(index) = holder.filter(|n: &usize| (1..=EDGES).contains(n)) {
            let message = Message::Query { by: at, ask, replica: replica.into() };
            self.send(Endpoint::Router(at), Endpoint::Index(index - 1), message);
        }
    }

    pub(crate) fn claim_wait(&self) -> Duration {
        self.now() + CLAIM_WAIT
    }
}
