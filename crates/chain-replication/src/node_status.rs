//! What a replica knows of the nodes that pull from it, and from when on all of them use a version: it is then in force.
use crate::timing::NODE_LEASE_MARGIN;
use control_state::command::NodeInfo;
use fleet_common::rpc::{NODE_LEASE, Pull, VersionVector};
use std::collections::BTreeMap;
use std::time::Duration;

/// A pull that waits for an update.
#[derive(Clone)]
pub struct WaitingPull {
    /// Whom to answer.
    pub token: u64,
    /// What was asked.
    pub pull: Pull,
    /// When it came.
    pub since: Duration,
    /// It is answered then, whether or not there is an update.
    pub until: Duration,
}

/// What the tail knows of a node from its pulls.
#[derive(Clone)]
pub struct NodeStatus {
    /// When it pulled last.
    pub last_pull: Duration,
    /// The node's process.
    pub incarnation: u64,
    /// The versions that the node says are in use.
    pub confirmed: VersionVector,
    /// Whether the node may hold a lease.
    pub holds_lease: bool,
    /// When this replica last gave it one.
    pub lease_granted: Option<Duration>,
    /// When the head was last asked to admit it.
    pub join_requested: Option<Duration>,
}

/// The version of a source, and since when this replica, as tail, has had it.
#[derive(Clone, Copy)]
struct VersionSince {
    version: u64,
    since: Duration,
}

/// The nodes that pull from this replica.
#[derive(Clone)]
pub struct NodeStatuses {
    /// The pulls that are not yet answered, oldest first.
    pub waiting: Vec<WaitingPull>,
    /// What is known of each node, by name.
    pub seen: BTreeMap<String, NodeStatus>,
    /// By source.
    versions: BTreeMap<usize, VersionSince>,
    /// When leases of nodes were expired here, by name.
    expired: BTreeMap<String, Duration>,
    /// Since when all such are known: none are taken from a snapshot.
    expiries_known_since: Duration,
    /// When expired leases were last looked for.
    pub last_expiry_check: Duration,
}

/// What else decides whether a version is in force.
pub struct ControlView<'a> {
    /// By this replica's clock.
    pub now: Duration,
    /// Since when the present view holds here.
    pub view_since: Duration,
    /// The nodes that the control state lists.
    pub nodes: &'a BTreeMap<String, NodeInfo>,
    /// The versions that hold.
    pub versions: VersionVector,
}

impl NodeStatuses {
    /// Nothing is known yet.
    pub fn new(now: Duration) -> Self {
        NodeStatuses {
            waiting: Vec::new(),
            seen: BTreeMap::new(),
            versions: BTreeMap::new(),
            expired: BTreeMap::new(),
            expiries_known_since: now,
            last_expiry_check: now,
        }
    }

    /// A node's lease was expired. The command may have been on its way for long, and the node may have been given
    /// another lease meanwhile.
    pub fn note_expiry(&mut self, now: Duration, node: &str) {
        self.expired.insert(node.to_string(), now);
    }

    /// The state was taken from a snapshot: which leases were expired lately is not known from before.
    pub fn forget_expiries(&mut self, now: Duration) {
        self.expiries_known_since = now;
    }

    /// This replica, as tail, has this version now.
    pub fn note_version(&mut self, now: Duration, source: usize, version: u64) {
        if self.versions.get(&source).is_none_or(|known| known.version != version) {
            self.versions.insert(source, VersionSince { version, since: now });
        }
    }

    /// How long a node has not pulled; a new tail counts from when its view began.
    pub fn silence(&self, now: Duration, view_since: Duration, name: &str, incarnation: u64) -> Duration {
        let status = self.seen.get(name).filter(|status| status.incarnation == incarnation);
        let last_pull = status.map_or(view_since, |status| status.last_pull.max(view_since));
        now.saturating_sub(last_pull)
    }

    /// Whether every node that holds a lease uses at least this version of a source. Any lease that was given before the
    /// version was there has run out after the length of a lease and a margin.
    pub fn is_in_force(&self, control: &ControlView<'_>, source: usize, version: u64) -> bool {
        let Some(known) = self.versions.get(&source) else {
            return false;
        };
        if control.versions[source] < version || known.version < version {
            return false;
        }
        let since = known.since.max(control.view_since);
        let all_older_leases_ended = control.now.saturating_sub(since) > NODE_LEASE + NODE_LEASE_MARGIN;
        all_older_leases_ended || (!self.may_unlisted_hold_lease(control) && self.all_use(control, source, version))
    }

    /// A node whose lease was expired while it still held one is no longer listed, but may go on until the lease ends.
    fn may_unlisted_hold_lease(&self, control: &ControlView<'_>) -> bool {
        let may_last = |since: Duration| control.now < since + NODE_LEASE + NODE_LEASE_MARGIN;
        if may_last(self.expiries_known_since) {
            return true;
        }
        self.expired.iter().filter(|(_, at)| may_last(**at)).any(|(name, _)| {
            let granted_at = self.seen.get(name).and_then(|status| status.lease_granted);
            let may_hold = may_last(control.view_since) || granted_at.is_some_and(may_last);
            !control.nodes.contains_key(name) && may_hold
        })
    }

    fn all_use(&self, control: &ControlView<'_>, source: usize, version: u64) -> bool {
        control.nodes.iter().all(|(name, node)| {
            self.seen.get(name).is_some_and(|status| {
                status.last_pull >= control.view_since
                    && status.incarnation == node.incarnation
                    && (status.confirmed[source] >= version || !status.holds_lease)
            })
        })
    }
}
