//! Every duration and limit in time on which the protocol relies, in one place, as their relations matter: a lease must
//! end before voters choose a view without its holder, and a peer must be missed for longer than one lost heartbeat.
use std::time::Duration;

/// A heartbeat is sent this often.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// A control replica from which no heartbeat came for so long counts as failed.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(900);
/// A link on which no heartbeat came for so long counts as faulty where its ends are alive: longer than a failure takes to
/// be seen by all, so that a replica that fails is dropped and never put elsewhere first.
pub const LINK_FAULT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The tail's lease, counted by the tail from when it asked for it: for so long the voters choose no next view.
pub const TAIL_LEASE: Duration = Duration::from_millis(1000);
/// A disk on which a write has waited for so long counts as stalled.
pub const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// A replica that has just started proposes no view for so long: all may have stopped at once, and the others are
/// given time to be heard first.
pub const STARTUP_GRACE: Duration = Duration::from_millis(1200);

/// A voter's clock and the tail's differ by no more than this while a lease lasts.
pub(crate) const LEASE_CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// What a voter granted before it restarted, and has forgotten, counts for this much longer than a lease lasts.
pub(crate) const LEASE_RESTART_MARGIN: Duration = Duration::from_millis(100);
/// The tail renews its lease each time that this part of it has passed.
pub(crate) const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Each replica ahead in the list of voters is given so long to propose first.
pub const PROPOSAL_STAGGER: Duration = Duration::from_millis(250);
/// After a view was installed its members have not yet been heard in it: no other is proposed for so long.
pub(crate) const VIEW_SETTLE_TIME: Duration = Duration::from_millis(250);
/// A prepare may be delayed for a whole lease of the tail: nobody starts another proposal before that is over.
pub const PROPOSAL_RETRY: Duration = Duration::from_millis(1500);

/// A replica that is neither in the chain nor a voter stays listed for so long without being heard.
pub const UNLIST_TIMEOUT: Duration = Duration::from_secs(10);

/// The other replicas are told the ages of releases this often while one is recent.
pub(crate) const RELEASE_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(600);
/// A release is recent for so long.
pub(crate) const RECENT_RELEASE: Duration = Duration::from_secs(120);
/// The interval once no release is recent: for a replica that was away for longer.
pub(crate) const RARE_RELEASE_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// A node's lease counts as expired only this much after its length.
pub const NODE_LEASE_MARGIN: Duration = Duration::from_millis(400);
/// A pull waits for an update for so long at the most.
pub(crate) const MAX_PULL_WAIT: Duration = Duration::from_millis(1000);
/// The head is asked again for a node's admission after so long.
pub(crate) const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The tail looks for expired node leases this often.
pub(crate) const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Each `MinutePassed` command stands for at least so much time.
pub const MINUTE: Duration = Duration::from_secs(60);

/// How often the platform is polled for its list of replicas.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Where a poll has no result after so long, the next one is made.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(1500);
/// A list that lost most of its replicas must stay so for this long before they are dropped.
pub const SHRINK_CONFIRMATION: Duration = Duration::from_secs(10);
/// An outgoing snapshot is kept for so long after a follower last asked for it.
pub(crate) const SNAPSHOT_RETENTION: Duration = Duration::from_secs(2);
