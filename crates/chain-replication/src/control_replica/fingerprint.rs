//! A fingerprint of a replica's whole protocol state, by which an exhaustive search tells states that it has seen.
use super::ControlReplica;
use crate::fingerprint::age;
use crate::timing::{FAILURE_TIMEOUT, HEARTBEAT_INTERVAL, LINK_FAULT_TIMEOUT, STARTUP_GRACE, UNLIST_TIMEOUT};
use std::hash::{Hash, Hasher};
use std::time::Duration;

impl ControlReplica {
    /// Feeds everything that decides this replica's further steps to `hasher`. Times count relative to `now`, and no
    /// further back than the replica itself looks, so that two replicas which will behave alike have the same fingerprint
    /// whenever they got there. Left out is what only serves pulls of nodes, the polling of the platform's list, the
    /// ages of releases, and since when versions are in force.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        self.fingerprint_storage(now, hasher);
        self.fingerprint_peers(now, hasher);
        self.fingerprint_view_change(now, hasher);
    }

    fn fingerprint_storage(&self, now: Duration, hasher: &mut impl Hasher) {
        (&self.me, &self.hard_state, self.holds_all_is_synced, self.holds_acknowledged, self.health).hash(hasher);
        age(now, self.view_since, FAILURE_TIMEOUT).hash(hasher);
        self.replicator.fingerprint(now, hasher);
        self.writes.fingerprint(now, hasher);
        (&self.pending_commands, &self.pending_members).hash(hasher);
    }

    fn fingerprint_peers(&self, now: Duration, hasher: &mut impl Hasher) {
        self.last_heartbeat.map(|at| age(now, at, HEARTBEAT_INTERVAL)).hash(hasher);
        let silence_that_counts = if self.discovery.is_enabled() { UNLIST_TIMEOUT } else { LINK_FAULT_TIMEOUT };
        self.peers.fingerprint(now, silence_that_counts, hasher);
        age(now, self.listening_since, LINK_FAULT_TIMEOUT).hash(hasher);
        self.links.fingerprint(now, silence_that_counts, hasher);
        self.discovery.fingerprint(now, hasher);
        if self.discovery.is_enabled() {
            age(now, self.view_since, UNLIST_TIMEOUT).hash(hasher);
        }
    }

    fn fingerprint_view_change(&self, now: Duration, hasher: &mut impl Hasher) {
        age(now, self.started_at, STARTUP_GRACE).hash(hasher);
        self.held_lease.fingerprint(now, hasher);
        self.granted_lease.fingerprint(now, hasher);
        self.acceptor.hash(hasher);
        self.proposer.fingerprint(now, hasher);
    }
}
