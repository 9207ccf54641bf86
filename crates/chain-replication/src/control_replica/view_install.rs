//! Taking on a view: a replica's position changes, its log stays.
use super::ControlReplica;
use crate::pending::PendingMembers;
use crate::view::{Member, View};
use crate::write_queue::AfterSync;

impl ControlReplica {
    /// Takes on a newer view. What is in the log stays, whatever became of this replica's position: what differs from the
    /// predecessor's log goes when its entries come, and no sooner.
    ///
    /// A member of the chain that held all in the view before holds every acknowledged entry: the earlier ones it had, and
    /// one of this view is acknowledged only once each member of the chain, this one included, has synced it. That stays so
    /// from view to view while it is in the chain and drops nothing from its log, and it may then lead a next view, also where
    /// it cannot count as holding all because its new predecessor's log may be the shorter one. As head it needs no predecessor.
    pub(super) fn install(&mut self, view: View) {
        if view.number <= self.hard_state.view.number {
            return;
        }
        let former = std::mem::replace(&mut self.hard_state.view, view);
        let held_acknowledged = self.holds_all() || self.holds_acknowledged;
        self.holds_acknowledged = held_acknowledged && self.stays_in_chain(&former);
        let may_lead = self.holds_acknowledged && self.position() == Some(0);
        let holds_all = may_lead || (self.holds_all() && self.log_is_prefix_of_predecessors(&former));
        self.hard_state.holds_all = holds_all;
        self.holds_all_is_synced = holds_all;
        self.hard_state.forget_votes();
        self.granted_lease.on_new_view();
        self.log_line(format!("installs {}", self.hard_state.view.summary()));
        self.write_hard_state(AfterSync::Nothing);
        self.begin_view();
    }

    /// Whether this replica is in the chain of the present view, which follows right on one whose chain it was in.
    fn stays_in_chain(&self, former: &View) -> bool {
        let is_next = self.hard_state.view.number == former.number + 1;
        is_next && self.position().is_some() && former.position(&self.me).is_some()
    }

    /// Whether this replica's log is a prefix of its predecessor's in the present view because it was in the view before.
    /// One that now follows whom it led may hold entries that its new predecessor never had.
    fn log_is_prefix_of_predecessors(&self, former: &View) -> bool {
        let view = &self.hard_state.view;
        let (Some(former_position), Some(position)) = (former.position(&self.me), view.position(&self.me)) else {
            return false;
        };
        let was_behind = |member: &Member| former.position(member).is_some_and(|place| place > former_position);
        view.number == former.number + 1 && !view.chain.items()[..position].iter().any(was_behind)
    }

    /// What belonged to the former view ends, and the new position is taken up.
    fn begin_view(&mut self) {
        self.stop_background_work();
        self.discovery.forget_listed(&self.hard_state.view);
        self.proposer.forget();
        self.acceptor.take_delayed();
        self.held_lease.forget();
        self.view_since = self.now;
        self.replicator.forget_followers();
        self.answer_member_change();
        if !self.is_head() {
            self.give_up_pending_commands();
        } else {
            // A new head applies what it holds, synced or not, before it takes commands.
            self.apply_up_to(u64::MAX);
        }
        self.redirect_waiting_pulls();
        self.advance_commit();
        self.send_heartbeats();
    }

    /// Whoever asked for a list of control machines learns whether the new view has it.
    fn answer_member_change(&mut self) {
        let Some(PendingMembers { token, addresses }) = self.pending_members.take() else { return };
        if addresses == self.hard_state.view.addresses.items() {
            self.respond_members_set(token, "list replaced");
        } else if self.is_head() {
            self.pending_members = Some(PendingMembers { token, addresses });
        } else {
            self.respond_unknown(token);
        }
    }
}
