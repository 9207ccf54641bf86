//! Ticks and heartbeats: how this replica is, whom it tells, and what it concludes from what others tell.
use super::ControlReplica;
use crate::message::{Condition, Heartbeat, Message};
use crate::timing::HEARTBEAT_INTERVAL;
use crate::view::{Member, MemberAddress};
use std::collections::BTreeSet;

impl ControlReplica {
    pub(super) fn on_tick(&mut self) {
        self.log_stall();
        let is_due = |at| self.now.saturating_sub(at) >= HEARTBEAT_INTERVAL;
        if self.last_heartbeat.is_none_or(is_due) {
            self.last_heartbeat = Some(self.now);
            self.send_heartbeats();
            self.announce_release_ages();
            self.log_faulty_links();
        }
        if !self.pending_commands.is_empty() && !self.hears_majority() {
            self.give_up_pending_commands();
        }
        self.view_change_tick();
        self.pulls_tick();
        self.background_tick();
    }

    pub(super) fn on_shutdown(&mut self) {
        self.health.is_leaving = true;
        self.log_line("shutting down: leaving the chain".into());
        self.send_heartbeats();
    }

    pub(super) fn on_disk_failed(&mut self) {
        self.leave_for_fault("own disk failed");
    }

    /// What cannot be read is no state to go on with: this replica leaves the chain.
    pub(super) fn on_damage(&mut self, what: &str) {
        self.leave_for_fault(what);
    }

    fn leave_for_fault(&mut self, what: &str) {
        if !self.health.disk_failed {
            self.health.disk_failed = true;
            self.log_line(format!("{what}: leaving the chain"));
            self.give_up_pending_commands();
        }
    }

    fn log_stall(&mut self) {
        let is_stalled = self.writes.is_stalled(self.now);
        if is_stalled && !self.health.stall_logged && !self.health.disk_failed {
            self.log_line("own disk stalled: leaving the chain".into());
        }
        self.health.stall_logged = is_stalled;
    }

    pub(super) fn hears_majority(&self) -> bool {
        self.peers.hears_majority(self.now, &self.hard_state.view, &self.me)
    }

    pub(super) fn condition(&self) -> Condition {
        if self.health.disk_failed || self.writes.is_stalled(self.now) {
            Condition::DiskFault
        } else if !self.hears_majority() {
            Condition::Isolated
        } else if self.health.is_leaving {
            Condition::Leaving
        } else {
            Condition::Healthy
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            view: self.hard_state.view.number,
            synced: self.replicator.synced.clone(),
            committed: self.replicator.committed,
            holds_all: self.holds_all(),
            condition: self.condition(),
            snapshot_at: self.replicator.log.snapshot().at.clone(),
            receiving_snapshot: self.replicator.receiver.progress(),
        }
    }

    pub(super) fn known_peers(&self) -> BTreeSet<u32> {
        self.discovery.known_peers(&self.hard_state.view, self.me.id, self.hears_majority())
    }

    pub(super) fn send_heartbeats(&mut self) {
        let heartbeat = self.heartbeat();
        let known = self.known_peers();
        self.announce(&known);
        for to in &known {
            self.send(*to, Message::Heartbeat(heartbeat.clone()));
        }
        self.send_link_reports(&known);
    }

    /// Where replicas announce themselves: says where this one is reached if the others may not know, and tells the view
    /// to those that are not heard, as they may know nobody.
    fn announce(&mut self, known: &BTreeSet<u32>) {
        if !self.discovery.is_enabled() {
            return;
        }
        let tells_view = self.discovery.count_heartbeat_round();
        let (view, hears_majority) = (&self.hard_state.view, self.hears_majority());
        if let Some(own) = self.discovery.announcement(view, self.me.id, hears_majority).cloned() {
            for to in known {
                self.send(*to, Message::Announce(own.clone()));
            }
        }
        if tells_view && self.hard_state.view.number > 0 {
            let view = self.hard_state.view.clone();
            let unheard: Vec<u32> = known.iter().filter(|id| !self.peers.hears_id(self.now, **id)).copied().collect();
            for to in unheard {
                self.send(to, Message::NewView(view.clone()));
            }
        }
    }

    pub(super) fn on_announce(&mut self, from: u32, address: MemberAddress) {
        self.discovery.record_announcement(self.now, &self.hard_state.view, from, address);
    }

    pub(super) fn on_heartbeat(&mut self, from: u32, incarnation: u64, heartbeat: Heartbeat) {
        self.peers.record(self.now, from, incarnation, heartbeat.clone());
        let view = &self.hard_state.view;
        if heartbeat.view < view.number {
            return self.send(from, Message::NewView(view.clone()));
        }
        let is_newer = heartbeat.view > view.number;
        if is_newer && self.discovery.is_enabled() && view.address(from).is_none() {
            // An unlisted replica knows a newer view: this heartbeat makes it tell.
            return self.send(from, Message::Heartbeat(self.heartbeat()));
        }
        if is_newer || !view.contains(&Member { id: from, incarnation }) {
            return;
        }
        if self.predecessor() == Some(from) {
            self.on_predecessor_heartbeat(&heartbeat);
        }
        if self.followers().contains(&from) {
            self.on_follower_heartbeat(from, &heartbeat);
        }
    }
}
