//! What a simulated router does when its trip says so.
use crate::control_calls::ControlCall;
use crate::cores::ms;
use crate::shape::{DisabledGuard, STORE};
use crate::wire::{Endpoint, Message, ReplicaRequest};
use crate::world::World;
use control_state::command::{ClaimStatus, Command, CommandRequest};
use fleet_common::rpc::{self, TransferReport};
use routing::link_costs::TransferSample;
use routing::placement::{self, FleetView, SUPERSEDED_WEIGHTS_BOUND, find_placement_among};
use routing::replica_table;
use routing::request_machine::Outcome;
use routing::request_machine::{Action, ClaimResult, Event, RequestMachine};
use routing::retry_budget::RetryBudget;
use std::time::Duration;

const CLAIM_TIMEOUT: Duration = Duration::from_secs(60);

impl World {
    /// Tells a trip what was heard and does what it says.
    pub(crate) fn step_request(&mut self, at: usize, call: u64, heard: Event) {
        let may = self.check_request_allowed(at, call);
        if self.disabled_guard == DisabledGuard::RetryBudget {
            self.routers[at].retry_budget = RetryBudget::new(1000);
        }
        let router = &mut self.routers[at];
        let Some(going) = router.active_requests.get_mut(&call) else { return };
        let todo = going.machine.step(may, heard, &mut router.retry_budget);
        for act in todo {
            self.perform(at, call, act);
        }
        let over = self.routers[at].active_requests.get(&call).is_some_and(|going| going.machine.is_over());
        if over && let Some(going) = self.routers[at].active_requests.remove(&call) {
            self.routers[at].in_flight.release(&going.tenant);
        }
    }

    fn perform(&mut self, at: usize, call: u64, act: Action) {
        let me = Endpoint::Router(at);
        match act {
            Action::Claim if self.disabled_guard == DisabledGuard::Claim => {
                self.step_request(at, call, Event::Claimed(ClaimResult::Granted))
            }
            Action::Claim => self.claim(at, call),
            Action::Place => {
                let place_request = self.place(at, call);
                self.step_request(at, call, Event::Placed(place_request));
            }
            Action::Send => self.send_attempt(at, call),
            Action::FirstChunk => self.on_first_chunk(at, call),
            Action::ForwardChunk => {
                let Some(going) = self.routers[at].active_requests.get_mut(&call) else { return };
                let (of, number, last) = going.last_chunk;
                if !going.request.stream && !last {
                    // An answer that is wanted whole is gathered, and gathered anew in each try.
                    going.buffered_chunks.push((of, number));
                } else if !last {
                    self.send(me, Endpoint::Client, Message::ClientChunk { call, of, number });
                }
            }
            Action::CompleteResponse => {
                let gathered =
                    self.routers[at].active_requests.get_mut(&call).map(|g| std::mem::take(&mut g.buffered_chunks));
                for (of, number) in gathered.unwrap_or_default() {
                    self.send(me, Endpoint::Client, Message::ClientChunk { call, of, number });
                }
                self.send(me, Endpoint::Client, Message::ClientStreamEnded { call, whole: true });
            }
            Action::ResetClient(_) if self.disabled_guard == DisabledGuard::Splice => {
                let stream = true;
                if let Some(going) = self.routers[at].active_requests.get_mut(&call) {
                    going.machine = RequestMachine::new(false, stream);
                }
                self.step_request(at, call, Event::Start);
            }
            Action::ResetClient(_) => {
                let whole = self.disabled_guard == DisabledGuard::StreamReset;
                self.send(me, Endpoint::Client, Message::ClientStreamEnded { call, whole });
            }
            Action::ForwardRejection(outcome) => {
                self.send(
                    me,
                    Endpoint::Client,
                    Message::ClientResponse { call, status: 422, outcome, retry_after: None },
                );
            }
            Action::Respond(told) => {
                let outcome = if self.disabled_guard == DisabledGuard::UnknownOutcome {
                    Outcome::NotExecuted
                } else {
                    told.outcome
                };
                let (status, retry_after) = (told.status, told.retry_after);
                self.send(me, Endpoint::Client, Message::ClientResponse { call, status, outcome, retry_after });
            }
            Action::CloseUpstream => self.close_upstream(at, call),
            Action::CompleteClaim(ran) => self.complete_claim(at, call, ran),
            Action::Explain(_) => {}
        }
    }

    fn claim(&mut self, at: usize, call: u64) {
        let (now, deadline) = (self.now(), self.claim_wait());
        let late = if self.late_claims && self.rng.next(4) == 0 { self.rng.next(9000) } else { 0 };
        let router = &mut self.routers[at];
        let edge = router.edge.name.clone();
        let Some(going) = router.active_requests.get_mut(&call) else { return };
        let Some(key) = going.request.at_most_once_key.clone() else { return };
        let command = Command::Claim { tenant: going.tenant.clone(), key, edge, request: going.id.clone() };
        let ask = CommandRequest::internal(command).to_request().expect("a command can be written");
        let claim = ControlCall::new(ask, now, now + CLAIM_TIMEOUT).held_until(now + ms(late));
        going.claim = Some((claim, deadline));
    }

    fn complete_claim(&mut self, at: usize, call: u64, ran: ClaimStatus) {
        let now = self.now();
        let router = &mut self.routers[at];
        let Some(going) = router.active_requests.get(&call) else { return };
        let Some(key) = going.request.at_most_once_key.clone() else { return };
        let ran = if self.disabled_guard == DisabledGuard::UnknownOutcome { ClaimStatus::NotExecuted } else { ran };
        let command =
            Command::CompleteClaim { tenant: going.tenant.clone(), key, request: going.id.clone(), status: ran };
        router.claim_completions.add(now, command);
    }

    fn place(&mut self, at: usize, call: u64) -> Option<String> {
        let (now, off) = (self.now(), self.disabled_guard);
        let router = &mut self.routers[at];
        let going = router.active_requests.get_mut(&call)?;
        let mut seats =
            replica_table::replica_statuses(&router.edge.fleet, &router.replica_reports, &router.ejected, now);
        if off == DisabledGuard::Draining {
            seats.iter_mut().for_each(|seat| seat.draining = false);
        }
        let older_weights_bound =
            if off == DisabledGuard::SupersededWeightsBound { Duration::MAX } else { SUPERSEDED_WEIGHTS_BOUND };
        let asked = placement::PlacementRequest {
            wall: if off == DisabledGuard::Wall { "" } else { &going.wall },
            model: "m",
            prompt: going.request.prompt.as_bytes(),
            session: &going.request.session,
            affinity: None,
            attempted: &going.machine.attempted,
        };
        let known = FleetView {
            fleet: &router.edge.fleet,
            replica_reports: &router.replica_reports,
            ejected: &router.ejected,
            filter_copies: &router.filter_copies,
            learnt_costs: &router.learnt_costs,
            now,
        };
        going.placement = find_placement_among(&seats, older_weights_bound, &known, &asked);
        going.placement.as_ref().map(|found| found.replica.id.clone())
    }

    fn send_attempt(&mut self, at: usize, call: u64) {
        let now = self.now();
        let router = &mut self.routers[at];
        let Some(going) = router.active_requests.get_mut(&call) else { return };
        let Some(found) = &going.placement else { return };
        going.attempts += 1;
        going.buffered_chunks.clear();
        (going.started_at, going.last_event_at) = (now, now);
        let to: usize = found.replica.address.parse().unwrap_or(STORE);
        let asked = ReplicaRequest {
            stream: (call, going.attempts),
            router: at,
            at_most_once_key: going.request.at_most_once_key.as_ref().map(|key| format!("{}/{key}", going.tenant)),
            key_digest: going.key_digest.clone(),
            wall: going.wall.clone(),
            weights: found.replica.weights.clone(),
            blocks: found.blocks.clone(),
            tokens: going.request.tokens,
            budget: going.deadline.saturating_sub(now),
            kind_budget_ms: going.kind_budget_ms,
            source: found.source.as_ref().and_then(|source| source.address.parse().ok()),
        };
        let (me, replica) = (Endpoint::Router(at), Endpoint::Replica(to));
        if !self.passes(me, replica) || !self.passes(replica, me) {
            // No connection comes about: nothing has left.
            let stream = asked.stream;
            return self.put(now + ms(800), Endpoint::Router(at), Message::ConnectionFailed(stream, false));
        }
        self.send(Endpoint::Router(at), Endpoint::Replica(to), Message::Forward(asked));
    }

    fn close_upstream(&mut self, at: usize, call: u64) {
        let Some(going) = self.routers[at].active_requests.get_mut(&call) else { return };
        let Some(to) = going.placement.as_ref().and_then(|found| found.replica.address.parse().ok()) else { return };
        let stream = (call, going.attempts);
        // Nothing of that stream is heard any more.
        going.attempts += 1;
        self.send(Endpoint::Router(at), Endpoint::Replica(to), Message::CloseStream(stream));
    }

    fn on_first_chunk(&mut self, at: usize, call: u64) {
        let now = self.now();
        let router = &mut self.routers[at];
        let Some(going) = router.active_requests.get(&call) else { return };
        let Some(found) = &going.placement else { return };
        let first_us = (now - going.started_at).as_micros() as u64;
        let Some(source) = &found.source else {
            return router.learnt_costs.record_without_transfer(
                (found.blocks.len() - found.cached_blocks) as u64,
                4000,
                first_us,
            );
        };
        let seconds = TransferSample {
            link: source.link.clone(),
            transferred_blocks: (source.blocks - source.cached_blocks) as u64,
            recomputed_blocks: (found.blocks.len() - source.blocks) as u64,
            prefill_us_per_block: 4000,
            first_token_us: first_us,
        };
        let ask = rpc::Request::TransferReport(TransferReport {
            request: going.id.as_str().into(),
            router: router.edge.name.as_str().into(),
            source: source.replica.as_str().into(),
            block: found.blocks[source.blocks - 1],
            filter_version: source.filter_version,
            expected_ms: 0,
            first_chunk_ms: first_us / 1000,
        });
        let replica = source.replica.clone();
        router.audited_transfers.push((replica.clone(), seconds));
        if router.audited_transfers.len() > 64 {
            router.audited_transfers.remove(0);
        }
        self.ask_index(at, &replica, ask);
    }
}
