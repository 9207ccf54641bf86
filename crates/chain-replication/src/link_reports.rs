//! What other replicas say of whose heartbeats they receive. A link may fail while both its ends are alive: then each of them learns here
//! that the other is alive, and everyone learns that the link is not to be used.
//!
//! Reports decide nothing that must hold for certain: leases, votes and majorities rely on what a replica receives itself.
use crate::failure_detector::{FailureDetector, PeerStatus, is_recent};
use crate::message::{LinkReport, ReachablePeer};
use crate::timing::FAILURE_TIMEOUT;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The last report of another replica, in this replica's time.
#[derive(Clone)]
struct ReceivedReport {
    received_at: Duration,
    listening_since: Duration,
    peers: FailureDetector,
}

/// The last report of each other replica.
#[derive(Clone, Default)]
pub struct LinkReports {
    reports: BTreeMap<u32, ReceivedReport>,
}

/// The report of a replica that has received heartbeats without a pause since `listening_since`.
pub fn report(now: Duration, listening_since: Duration, peers: &FailureDetector) -> LinkReport {
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    let reachable = peers.all().map(|(id, peer)| ReachablePeer {
        id,
        incarnation: peer.incarnation,
        age_ms: age_ms(peer.last_received_at),
        received_ms: age_ms(peer.received_since),
        heartbeat: peer.heartbeat.clone(),
    });
    LinkReport { listening_ms: age_ms(listening_since), reachable: reachable.collect::<Vec<_>>().into() }
}

impl LinkReports {
    /// A report came.
    pub fn record(&mut self, now: Duration, from: u32, report: LinkReport) {
        let before = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let mut peers = FailureDetector::default();
        for peer in report.reachable.into_items() {
            let ReachablePeer { id, incarnation, age_ms, received_ms, heartbeat } = peer;
            let (last_received_at, received_since) = (before(age_ms), before(received_ms));
            peers.insert(id, PeerStatus { last_received_at, received_since, incarnation, heartbeat });
        }
        let listening_since = before(report.listening_ms);
        self.reports.insert(from, ReceivedReport { received_at: now, listening_since, peers });
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = (u32, &ReceivedReport)> {
        let is_recent = move |report: &ReceivedReport| now.saturating_sub(report.received_at) < FAILURE_TIMEOUT;
        self.reports.iter().filter(move |(_, report)| is_recent(report)).map(|(id, report)| (*id, report))
    }

    /// The last heartbeat that another replica received of the one with this id. One that stood still takes what waited for it as if it came
    /// now: what it received counts only once it has listened for longer than that can matter.
    pub fn relayed_status(&self, now: Duration, id: u32) -> Option<&PeerStatus> {
        let is_settled = |report: &ReceivedReport| report.received_at >= report.listening_since + FAILURE_TIMEOUT;
        let settled = self.recent(now).filter(|(_, report)| is_settled(report));
        settled.filter_map(|(_, report)| report.peers.status(id)).max_by_key(|peer| peer.last_received_at)
    }

    /// Whether no recent report of any replica is here: then no link is known to fail.
    pub fn is_empty(&self, now: Duration) -> bool {
        self.recent(now).next().is_none()
    }

    fn recent_of(&self, now: Duration, sender: u32) -> Option<&ReceivedReport> {
        self.recent(now).find(|(id, _)| *id == sender).map(|(_, report)| report)
    }

    /// Whose heartbeats another replica receives, where a recent report of it is here.
    pub fn peers_of(&self, now: Duration, receiver: u32) -> Option<&FailureDetector> {
        self.recent_of(now, receiver).map(|report| &report.peers)
    }

    /// Since when replicas other than `receiver` have received heartbeats of `sender` without a pause, each as its recent report says.
    pub fn received_since(&self, now: Duration, receiver: u32, sender: u32) -> impl Iterator<Item = Duration> {
        let others = self.recent(now).filter(move |(id, _)| *id != receiver);
        let statuses = others.filter_map(move |(_, report)| report.peers.status(sender));
        statuses.filter(move |peer| is_recent(now, peer)).map(|peer| peer.received_since)
    }

    /// Since when another replica has received heartbeats without a pause, where a recent report of it is here.
    pub fn listening_since(&self, now: Duration, id: u32) -> Option<Duration> {
        self.recent_of(now, id).map(|report| report.listening_since)
    }

    /// Whether a recent report says that its sender receives no heartbeats of this replica.
    pub fn is_missed(&self, now: Duration, id: u32) -> bool {
        self.recent(now).any(|(sender, report)| sender != id && !report.peers.hears_id(now, id))
    }

    /// Feeds what decides later steps to `hasher`; ages beyond `limit` make no difference.
    pub fn fingerprint(&self, now: Duration, limit: Duration, hasher: &mut impl Hasher) {
        for (id, report) in self.recent(now) {
            let received = crate::fingerprint::age(now, report.received_at, FAILURE_TIMEOUT);
            (id, received, crate::fingerprint::age(now, report.listening_since, limit)).hash(hasher);
            report.peers.fingerprint(now, limit, hasher);
        }
    }
}
