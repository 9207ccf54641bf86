//! What the head does unasked: it follows the platform's list of replicas, and counts the minutes after which old
//! once-claims are forgotten. Both by its monotonic clock alone.
use super::relayed_polls::RELAYED_POLLS;
use super::{BackgroundWork, ControlReplica};
use crate::listing::{ListingChange, ListingResult};
use crate::listing_pollers::{Poller, PollerChoice};
use crate::message::Message;
use crate::step::Output;
use crate::timing::MINUTE;
use control_state::command::{Command, CommandRequest};
use fleet_common::rpc::REPLICAS;

impl BackgroundWork {
    /// What was begun as head counts no more.
    fn stop(&mut self) {
        self.listing.forget();
        self.pollers = PollerChoice::default();
        self.minute_started = None;
    }
}

impl ControlReplica {
    /// Another view holds: what this replica had begun as head of the last one is over.
    pub(super) fn stop_background_work(&mut self) {
        self.background.stop();
    }

    pub(super) fn background_tick(&mut self) {
        if !self.is_head() || self.health.disk_failed {
            return self.stop_background_work();
        }
        self.poll_replicas();
        self.count_minute();
    }

    fn poll_replicas(&mut self) {
        let version = self.replicator.state.versions[REPLICAS];
        let Some(poll) = self.background.listing.poll_due(self.now, version) else { return };
        let peers = self.reachable_members();
        match self.background.pollers.choose(poll, &peers) {
            Poller::Own => self.outputs.push(Output::PollReplicas { poll }),
            Poller::Peer(id) => self.send(id, Message::PollReplicas(poll)),
        }
    }

    /// Minutes count only while there are claims to forget.
    fn count_minute(&mut self) {
        let started = *self.background.minute_started.get_or_insert(self.now);
        if self.now.saturating_sub(started) < MINUTE {
            return;
        }
        self.background.minute_started = Some(self.now);
        if !self.replicator.state.claims.is_empty() {
            self.take_command(None, &CommandRequest::internal(Command::MinutePassed));
        }
    }

    pub(super) fn on_replicas_listed(&mut self, poll: u64, result: ListingResult) {
        match poll.checked_sub(RELAYED_POLLS) {
            Some(_) => self.relay_listing(poll, result),
            None => self.take_listing(poll, Poller::Own, result),
        }
    }

    /// Takes what a poller brought, while this replica is head.
    pub(super) fn take_listing(&mut self, poll: u64, poller: Poller, result: ListingResult) {
        if !self.is_head() || self.health.disk_failed {
            return;
        }
        if result.is_ok() {
            self.background.pollers.record_success(poll, poller);
        }
        let state = &self.replicator.state;
        let version = state.versions[REPLICAS];
        match self.background.listing.take(self.now, poll, result, &state.replicas, version) {
            Some(ListingChange::Replace { replicas, over_version }) => {
                let command = Command::ReplaceReplicas { replicas };
                let request = CommandRequest { id: String::new(), expected_version: Some(over_version), command };
                self.take_command(None, &request);
            }
            Some(ListingChange::Rejected { error, is_new: true }) => {
                self.log_line(format!("the platform's list of replicas is not used: {error}"));
            }
            Some(ListingChange::Rejected { is_new: false, .. } | ListingChange::Unchanged) | None => {}
        }
    }
}
