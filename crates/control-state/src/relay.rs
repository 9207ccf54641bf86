//! What an agent keeps for the router beside it: complete versions, and when the last confirmed pull was sent. The router's
//! lease is the agent's to pass on, never to lengthen.
use crate::release_clock::ReleaseClock;
use fleet_common::rpc::{CONTROL_MEMBERS, NODE_LEASE, PullResponse, SOURCES, SourceUpdate, VersionVector};
use std::time::Duration;

/// A router that is silent certainly holds no lease so long after the length of one.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// How long a pull may wait for an update.
const WAIT: Duration = Duration::from_millis(500);
/// The pulls that wait one after the other until a router knows of a confirmation: the agent's, the router's and the agent's
/// next one. Twice as many fit into a lease, so that it is renewed before it ends.
const WAITS_PER_LEASE: u32 = 6;
/// The same where the router is about to confirm what it has: the control replicas are told soon.
const WAIT_FOR_CONFIRMATION_MS: u32 = 15;
/// The same where the router holds no lease.
const WAIT_WITHOUT_LEASE_MS: u32 = 100;

/// How long a pull may wait where leases have this length, and it would wait for `longest` otherwise.
/// ```
/// use control_state::relay::wait_within;
/// use std::time::Duration;
/// assert_eq!(wait_within(Duration::from_secs(3), Duration::from_millis(400)), Duration::from_millis(400));
/// assert_eq!(wait_within(Duration::from_millis(300), Duration::from_millis(400)), Duration::from_millis(50));
/// ```
pub fn wait_within(lease: Duration, longest: Duration) -> Duration {
    longest.min(lease / WAITS_PER_LEASE)
}

/// How the next pull is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullPlan {
    /// The versions that are kept here.
    pub have: VersionVector,
    /// What the router says it uses.
    pub confirmed: VersionVector,
    /// Whether the router may hold a lease.
    pub holding: bool,
    /// How long the pull may wait for an update, in milliseconds.
    pub wait_ms: u32,
}

/// The agent's side of a router's lease.
#[derive(Clone, Debug, Default)]
pub struct RouterRelay {
    /// How long the router's lease lasts, where that is shorter than other nodes' leases.
    short_lease: Option<Duration>,
    sources: [Option<SourceUpdate>; SOURCES.len()],
    /// When the pull was sent that the control replicas last confirmed.
    confirmed_at: Option<Duration>,
    router_has: VersionVector,
    /// When the router was last given, or may have been given, a lease.
    lease_given_at: Option<Duration>,
    releases: ReleaseClock,
    /// The incarnation of the router that asked last, and the one that shut down.
    router: Option<u64>,
    shut_down_router: Option<u64>,
}

impl RouterRelay {
    /// Starts beside a router that may still hold a lease which an agent before this one passed on.
    pub fn starting(now: Duration) -> Self {
        RouterRelay { lease_given_at: Some(now), ..RouterRelay::default() }
    }

    /// The same beside a router whose lease ends sooner than those of other nodes.
    pub fn with_lease(self, lease: Duration) -> Self {
        RouterRelay { short_lease: Some(lease), ..self }
    }

    /// The versions that are kept here.
    pub fn versions(&self) -> VersionVector {
        std::array::from_fn(|source| self.sources[source].as_ref().map_or(0, |kept| kept.version))
    }

    /// What the router said it uses.
    pub fn confirmed(&self) -> VersionVector {
        self.router_has
    }

    /// The addresses of the control machines as JSON, once known.
    pub fn control_addresses(&self) -> Option<Vec<u8>> {
        self.sources[CONTROL_MEMBERS].as_ref().map(|kept| kept.value.as_slice().to_vec())
    }

    /// How old the last confirmed pull is, if its lease may be passed on.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the router may still be working under a lease passed on from here.
    pub fn router_may_hold_lease(&self, now: Duration) -> bool {
        self.lease_given_at.is_some_and(|at| now.saturating_sub(at) < NODE_LEASE + LEASE_MARGIN)
    }

    /// Plans the next pull. One that says that the router holds no lease takes back what could be passed on: the control
    /// replicas may count on it from then.
    pub fn plan(&mut self, now: Duration) -> PullPlan {
        let holding = self.router_may_hold_lease(now);
        if !holding {
            self.confirmed_at = None;
        }
        let (have, confirmed) = (self.versions(), self.router_has);
        let wait_ms = match (holding, confirmed == have) {
            (true, true) => wait_within(self.short_lease.unwrap_or(NODE_LEASE), WAIT).as_millis() as u32,
            (true, false) => WAIT_FOR_CONFIRMATION_MS,
            (false, _) => WAIT_WITHOUT_LEASE_MS,
        };
        PullPlan { have, confirmed, holding, wait_ms }
    }

    /// Takes the response to a pull that was sent at `sent`: complete versions only, and never an older one. Only a pull
    /// that said that the router holds a lease may extend it.
    pub fn on_pull_response(&mut self, sent: Duration, holding: bool, pulled: PullResponse) {
        if pulled.lease_confirmed == 0 {
            return;
        }
        self.releases.merge(sent + Duration::from_millis(pulled.parked_ms), &pulled.release_ages);
        for update in pulled.updates.into_items() {
            if let Some(slot) = self.sources.get_mut(update.source as usize)
                && slot.as_ref().is_none_or(|kept| kept.version < update.version)
            {
                *slot = Some(update);
            }
        }
        if holding {
            self.confirmed_at = self.confirmed_at.max(Some(sent));
        }
    }

    /// The router pulls: from now on it may hold a lease.
    pub fn on_router_pull(&mut self, now: Duration, have: VersionVector) {
        self.router_has = have;
        self.lease_given_at = Some(now);
    }

    /// Which incarnation of the router pulls from now on.
    pub fn set_router_incarnation(&mut self, router: u64) {
        self.router = Some(router);
    }

    /// An incarnation of the router shut down: it sends nothing any more, so it holds no lease and is given none. A former
    /// incarnation speaks for itself alone.
    pub fn on_router_shutdown(&mut self, router: u64) {
        self.shut_down_router = Some(router);
        if self.router == Some(router) {
            self.lease_given_at = None;
        }
    }

    /// Whether an incarnation of the router shut down.
    pub fn has_shut_down(&self, router: u64) -> bool {
        self.shut_down_router == Some(router)
    }

    /// Whether something newer than `have` is kept here.
    pub fn has_newer_than(&self, have: VersionVector) -> bool {
        let versions = self.versions();
        (0..SOURCES.len()).any(|source| have[source] < versions[source])
    }

    /// The response to the router, which asked at `asked`: what it lacks, and how old the confirmation is that comes with
    /// it.
    pub fn pull_response(&mut self, asked: Duration, now: Duration, have: VersionVector) -> PullResponse {
        let newer = self.sources.iter().flatten().filter(|kept| have[kept.source as usize] < kept.version);
        let updates: Vec<SourceUpdate> = newer.cloned().collect();
        let held = now.saturating_sub(asked).as_millis();
        let without_lease = PullResponse {
            lease_confirmed: 0,
            age_ms: 0,
            updates: updates.into(),
            release_ages: self.releases.ages(now),
            parked_ms: u64::try_from(held).unwrap_or(u64::MAX),
        };
        let Some(age) = self.age(now) else { return without_lease };
        self.lease_given_at = Some(now);
        // Rounded up, so that the router's lease does not come out longer than the agent's.
        PullResponse { lease_confirmed: 1, age_ms: age.as_millis() as u64 + 1, ..without_lease }
    }
}
