//! Deciding on the next view: when this replica proposes one, and its votes on the proposals of others.
use super::ControlReplica;
use crate::ballot::Ballot;
use crate::message::{Accept, Accepted, Message, Prepare, Promise};
use crate::paxos::ProposalTurn;
use crate::view::{Member, View};
use crate::write_queue::AfterSync;
use std::collections::BTreeSet;

impl ControlReplica {
    pub(super) fn is_voter(&self) -> bool {
        self.hard_state.view.is_voter(&self.me)
    }

    pub(super) fn view_change_tick(&mut self) {
        if !self.granted_lease.holds(self.now)
            && let Some(delayed) = self.acceptor.take_delayed()
        {
            self.promise(delayed.from, delayed.prepare);
        }
        if self.is_tail() {
            self.renew_lease();
        }
        let Some(desired) = self.view_to_propose() else {
            return self.proposer.stop();
        };
        // A higher ballot would only wait for the disk behind the own votes under this one.
        if self.writes.holds_vote_of(self.me.id) {
            return;
        }
        let turn = self.proposal_turn();
        if self.proposer.is_due(self.now, turn, self.started_at) {
            self.propose(desired);
        }
    }

    /// The next view that this replica as a voter would propose now. Where all is well but it has promised a next view,
    /// a decision may be half done: it proposes the present members again, so that the decision comes to an end and the
    /// tail's lease can be extended.
    fn view_to_propose(&self) -> Option<View> {
        if !self.is_voter() {
            return None;
        }
        let observations = self.observations();
        if let Some(desired) = observations.desired_view() {
            return Some(desired);
        }
        let view = &self.hard_state.view;
        let is_complete = view.chain.items().iter().all(|member| observations.is_complete(member));
        let is_half_done = self.hard_state.has_promised() && is_complete;
        is_half_done.then(|| View { number: view.number + 1, ..view.clone() })
    }

    fn proposal_turn(&self) -> ProposalTurn {
        let observations = self.observations();
        let voters = self.hard_state.view.voters.items();
        let ahead = voters.iter().take_while(|voter| **voter != self.me);
        let alive_ahead = ahead.filter(|voter| observations.is_alive(voter)).count() as u32;
        let position = voters.iter().position(|voter| *voter == self.me).unwrap_or(0) as u32;
        ProposalTurn { alive_ahead, position }
    }

    fn propose(&mut self, desired: View) {
        let summary = desired.summary();
        let highest_used = self.hard_state.promised_ballot.max(self.hard_state.proposed_ballot);
        let view_number = desired.number;
        let ballot = self.proposer.start(self.now, self.me.id, desired, highest_used);
        self.log_line(format!("proposes {summary} under ballot {ballot}"));
        // No later process of this replica may use the ballot for another view: it is written before it is used.
        self.hard_state.proposed_ballot = ballot;
        self.write_hard_state(AfterSync::Prepare { view_number, ballot });
    }

    pub(super) fn send_prepare(&mut self, view_number: u64, ballot: Ballot) {
        if self.proposer.is_current(view_number, ballot) {
            self.send_to_voters(Message::Prepare(Prepare { view_number, ballot }));
        }
    }

    fn send_to_voters(&mut self, message: Message) {
        for voter in self.hard_state.view.voters.clone().into_items() {
            self.send(voter.id, message.clone());
        }
    }

    /// Whether this replica votes on the view of this number. Who asks for an older one is told the view that holds.
    fn votes_on(&mut self, from: u32, view_number: u64) -> bool {
        let view = &self.hard_state.view;
        let is_next = view_number == view.number + 1;
        if view_number <= view.number {
            self.send(from, Message::NewView(view.clone()));
        }
        is_next && self.is_voter() && !self.health.disk_failed
    }

    /// Phase 1a: another voter, or this one, asks for a promise. It is given once the lease of the tail has ended.
    pub(super) fn on_prepare(&mut self, from: u32, incarnation: u64, prepare: Prepare) {
        self.proposer.observe(prepare.ballot);
        if !self.votes_on(from, prepare.view_number) {
            return;
        }
        if !self.hard_state.view.is_voter(&Member { id: from, incarnation }) {
            return;
        }
        if prepare.ballot <= self.hard_state.promised_ballot {
            return;
        }
        self.proposer.note_prepare(self.now);
        if self.granted_lease.holds(self.now) {
            self.acceptor.delay(from, prepare);
        } else {
            self.promise(from, prepare);
        }
    }

    /// Phase 1b.
    fn promise(&mut self, from: u32, prepare: Prepare) {
        if !self.hard_state.can_promise(&prepare) {
            return;
        }
        self.end_lease();
        let promise = self.hard_state.promise(&prepare);
        self.write_hard_state(AfterSync::Send { to: from, message: Message::Promise(promise) });
    }

    pub(super) fn on_promise(&mut self, from: u32, incarnation: u64, promise: Promise) {
        let view = &self.hard_state.view;
        if !view.is_voter(&Member { id: from, incarnation }) {
            return;
        }
        if let Some(accept) = self.proposer.on_promise(self.now, from, promise, view.majority()) {
            self.send_to_voters(Message::Accept(accept));
        }
    }

    /// Phase 2a and 2b: a proposer asks to accept a view.
    pub(super) fn on_accept(&mut self, from: u32, accept: Accept) {
        self.proposer.observe(accept.ballot);
        if !self.votes_on(from, accept.view_number) || accept.ballot < self.hard_state.promised_ballot {
            return;
        }
        self.end_lease();
        let accepted = self.hard_state.accept(accept);
        self.write_hard_state(AfterSync::Send { to: from, message: Message::Accepted(accepted) });
    }

    /// A voter accepted: once a majority has, the view is chosen, and everyone in it or in the one before is told.
    pub(super) fn on_accepted(&mut self, from: u32, incarnation: u64, accepted: Accepted) {
        let present = &self.hard_state.view;
        if !present.is_voter(&Member { id: from, incarnation }) {
            return;
        }
        let Some(view) = self.proposer.on_accepted(self.now, from, &accepted, present.majority()) else {
            return;
        };
        let listed = present.addresses.items().iter().chain(view.addresses.items());
        let ids: BTreeSet<u32> = listed.map(|address| address.id).collect();
        self.install(view.clone());
        for id in ids {
            if id != self.me.id {
                self.send(id, Message::NewView(view.clone()));
            }
        }
    }
}
