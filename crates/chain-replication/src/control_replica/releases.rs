//! Telling the other replicas and the nodes when weights were released.
use super::ControlReplica;
use crate::message::{Message, ProcessReleaseAges};
use fleet_common::rpc::ReleaseAges;

impl ControlReplica {
    /// Records what the state holds as released. What the disk held at the start may have been released at any time: here
    /// it counts from now, until another replica tells of an earlier instant.
    pub(super) fn record_releases(&mut self) {
        self.releases.record(self.now, &self.replicator.state);
    }

    /// What nodes are told with each pull.
    pub(super) fn release_ages(&self) -> ReleaseAges {
        self.releases.ages_for_nodes(self.now, self.replicator.committed)
    }

    /// Tells the other replicas how long ago weights were released and this process started.
    pub(super) fn announce_release_ages(&mut self) {
        let Some(ages) = self.releases.announcement_due(self.now, self.replicator.committed) else { return };
        let announced = ProcessReleaseAges { process: self.held_lease.process, ages };
        for to in self.known_peers() {
            self.send(to, Message::ReleaseAges(announced.clone()));
        }
    }

    pub(super) fn on_release_ages(&mut self, from: u32, announced: &ProcessReleaseAges) {
        self.releases.on_announcement(self.now, from, announced.process, &announced.ages);
    }
}
