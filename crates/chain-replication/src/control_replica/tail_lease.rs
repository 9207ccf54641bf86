//! The tail's lease: the tail asks for it, voters grant it, and a tail that has promised a next view gives it back.
use super::ControlReplica;
use crate::message::{Lease, Message};
use crate::view::Member;

impl ControlReplica {
    /// Whether this replica is the tail and a majority has agreed to choose no view without it yet. Only then may it
    /// answer reads.
    pub(super) fn holds_lease(&self) -> bool {
        self.is_tail()
            && !self.hard_state.has_promised()
            && !self.health.disk_failed
            && self.held_lease.is_valid(self.now, &self.hard_state.view, &self.me)
    }

    /// The tail asks all voters again when a part of the lease is over, unless it promised a next view.
    pub(super) fn renew_lease(&mut self) {
        if !self.hard_state.has_promised() && self.held_lease.renew(self.now, self.me.id) {
            self.send_to_other_voters(Message::LeaseRequest(self.lease()));
        }
    }

    /// The tail promised a next view and answers nothing more: nobody has to wait for the end of its lease.
    pub(super) fn end_lease(&mut self) {
        if self.is_tail() {
            self.send_to_other_voters(Message::LeaseEnd(self.lease()));
        }
    }

    pub(super) fn on_lease_request(&mut self, from: u32, lease: Lease) {
        let may_grant = !self.hard_state.has_promised() && !self.acceptor.is_delaying() && !self.health.disk_failed;
        if self.is_of_the_tail(from, &lease) && self.is_voter() && may_grant {
            self.granted_lease.grant(self.now, &lease);
            self.send(from, Message::LeaseGrant(lease));
        }
    }

    pub(super) fn on_lease_grant(&mut self, from: u32, incarnation: u64, lease: Lease) {
        let view = &self.hard_state.view;
        let is_own = lease.view == view.number && lease.process == self.held_lease.process;
        if is_own && view.is_voter(&Member { id: from, incarnation }) {
            self.held_lease.on_grant(from, &lease);
        }
    }

    pub(super) fn on_lease_end(&mut self, from: u32, lease: Lease) {
        if self.is_of_the_tail(from, &lease) {
            self.granted_lease.on_end(&lease);
        }
    }

    fn lease(&self) -> Lease {
        self.held_lease.request(self.now, self.hard_state.view.number)
    }

    fn is_of_the_tail(&self, from: u32, lease: &Lease) -> bool {
        let view = &self.hard_state.view;
        lease.view == view.number && view.tail().is_some_and(|tail| tail.id == from)
    }

    fn send_to_other_voters(&mut self, message: Message) {
        for voter in self.hard_state.view.voters.clone().into_items() {
            if voter != self.me {
                self.send(voter.id, message.clone());
            }
        }
    }
}
