//! Who is alive, by heartbeats. A replica that is not heard for [`FAILURE_TIMEOUT`] counts as failed; it may as well be
//! cut off, so nothing that must hold for certain relies on this.
use crate::message::Heartbeat;
use crate::timing::{FAILURE_TIMEOUT, LINK_FAULT_TIMEOUT};
use crate::view::{Member, View};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The last heartbeat of another replica.
#[derive(Clone)]
pub struct PeerStatus {
    /// When it came, by this replica's clock.
    pub last_received_at: Duration,
    /// Since when heartbeats have come without a pause that counts as a failure.
    pub received_since: Duration,
    /// The sender's.
    pub incarnation: u64,
    /// What it said.
    pub heartbeat: Heartbeat,
}

/// The last heartbeat of each other replica.
#[derive(Clone, Default)]
pub struct FailureDetector {
    peers: BTreeMap<u32, PeerStatus>,
}

impl FailureDetector {
    /// A heartbeat came.
    pub fn record(&mut self, now: Duration, from: u32, incarnation: u64, heartbeat: Heartbeat) {
        let former = self.peers.get(&from).filter(|peer| peer.incarnation == incarnation && is_recent(now, peer));
        let received_since = former.map_or(now, |peer| peer.received_since);
        self.insert(from, PeerStatus { last_received_at: now, received_since, incarnation, heartbeat });
    }

    /// The last heartbeat of a replica, as another received it.
    pub fn insert(&mut self, from: u32, status: PeerStatus) {
        self.peers.insert(from, status);
    }

    /// The last heartbeat of the replica with this id, however old, of whichever incarnation.
    pub fn status(&self, id: u32) -> Option<&PeerStatus> {
        self.peers.get(&id)
    }

    /// The last heartbeat of each replica that was ever heard, with its id.
    pub fn all(&self) -> impl Iterator<Item = (u32, &PeerStatus)> {
        self.peers.iter().map(|(id, peer)| (*id, peer))
    }

    /// The last heartbeat of this very member, if it is not too old.
    pub fn recent_status(&self, now: Duration, member: &Member) -> Option<&PeerStatus> {
        self.peers.get(&member.id).filter(|peer| peer.incarnation == member.incarnation && is_recent(now, peer))
    }

    /// Whether the replica with this id was heard lately, of whichever incarnation.
    pub fn hears_id(&self, now: Duration, id: u32) -> bool {
        self.peers.get(&id).is_some_and(|peer| is_recent(now, peer))
    }

    /// Since when the replica with this id has been heard without a pause, if it was heard lately.
    pub fn recent_since(&self, now: Duration, id: u32) -> Option<Duration> {
        self.peers.get(&id).filter(|peer| is_recent(now, peer)).map(|peer| peer.received_since)
    }

    /// Whether any other replica was heard lately.
    pub fn hears_anyone(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| is_recent(now, peer))
    }

    /// Whether a majority of a view's voters was heard lately, `me` included. A replica that hears none may have been
    /// left behind by a newer view: what it knows may no longer hold.
    pub fn hears_majority(&self, now: Duration, view: &View, me: &Member) -> bool {
        let is_reachable = |voter: &&Member| *voter == me || self.recent_status(now, voter).is_some();
        view.voters.items().iter().filter(is_reachable).count() >= view.majority()
    }

    /// Feeds what decides later steps to `hasher`; silences beyond `limit` make no difference.
    pub fn fingerprint(&self, now: Duration, limit: Duration, hasher: &mut impl Hasher) {
        for (id, peer) in &self.peers {
            let since_last = crate::fingerprint::age(now, peer.last_received_at, limit);
            let received_for = crate::fingerprint::age(now, peer.received_since, LINK_FAULT_TIMEOUT);
            (id, since_last, received_for, peer.incarnation, &peer.heartbeat).hash(hasher);
        }
    }
}

/// Whether a heartbeat is not too old.
pub fn is_recent(now: Duration, peer: &PeerStatus) -> bool {
    now.saturating_sub(peer.last_received_at) < FAILURE_TIMEOUT
}
