//! A router's client of the agent on its machine: it pulls changed sources, which also renews the router's lease.
//!
//! Both routers use it: the one of the product's own interface and the one of routes behind a dialect.
use control_state::fleet::Fleet;
use fleet_common::frame::Client;
use fleet_common::rpc::{Pull, PullResponse, Request, Response};
use fleet_common::{PeerError, Rcu, ring};
use routing::lease::Lease;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How a router registers with the control replicas.
const ROUTER_KIND: &str = "edge";
/// How long an answer to a pull may take; the agent delays it where nothing has changed.
const PULL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The agent is on the same machine; without its answer the router's lease expires by itself.
const GOODBYE_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay after a pull that did not renew the lease.
const NOT_RENEWED_DELAY: Duration = Duration::from_millis(30);
/// Delay after a pull that failed.
const ERROR_DELAY: Duration = Duration::from_millis(60);

/// How often the state of unlisted replicas is dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Who pulls, and from which agent.
#[derive(Clone, Debug)]
pub struct PullIdentity<'a> {
    /// The name of the machine, unique in the fleet.
    pub name: &'a str,
    /// The zone that the machine is in.
    pub zone: &'a str,
    /// A number that tells this start of the process from others.
    pub incarnation: u64,
    /// Where the agent listens.
    pub agent: SocketAddr,
    /// How long the agent may delay an answer while nothing has changed, in milliseconds.
    pub max_wait_ms: u32,
}

/// A router that takes its view of the fleet and its lease from the agent.
pub trait AgentFollower {
    /// How it introduces itself to the agent.
    fn identity(&self) -> PullIdentity<'_>;

    /// The router's view of the fleet.
    fn fleet(&self) -> &Rcu<Fleet>;

    /// The router's lease.
    fn lease(&self) -> &Lease;

    /// The time since this router started, by the monotonic clock.
    fn now(&self) -> Duration;

    /// Called when a pull brought changed sources, before the lease is renewed.
    fn fleet_changed(&self) {}

    /// Drops what belongs to replicas that are not listed any more; called every few seconds.
    fn prune(&self) {}
}

/// What came of a pull.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PullOutcome {
    /// All changes are in use, and the control replicas confirmed the lease.
    Renewed,
    NotRenewed,
}

/// A pull of this incarnation; one that holds no lease any more is its goodbye.
fn pull_request(router: &impl AgentFollower, holds_lease: bool) -> Request {
    let identity = router.identity();
    let versions = router.fleet().read().versions.to_vec();
    Request::Pull(Pull {
        node: identity.name.into(),
        kind: ROUTER_KIND.into(),
        incarnation: identity.incarnation,
        address: "".into(),
        zone: identity.zone.into(),
        known_versions: versions.clone().into(),
        applied_versions: versions.into(),
        has_lease: holds_lease.into(),
        wait_ms: identity.max_wait_ms,
    })
}

fn pull(router: &impl AgentFollower, agent: &mut Client) -> Result<PullOutcome, PeerError> {
    let request = pull_request(router, true);
    let sent = Instant::now();
    let Response::Pull(pulled) = agent.call(&request)? else { return Ok(PullOutcome::NotRenewed) };
    let taken = take_changes(router, sent, &pulled);
    if pulled.lease_confirmed == 0 || !taken {
        return Ok(PullOutcome::NotRenewed);
    }
    // The changes that came with the confirmation are in use by now, so it may count.
    router.lease().renew(sent, Duration::from_millis(pulled.age_ms));
    Ok(PullOutcome::Renewed)
}

/// Puts what a pull brought to use; whether all of it could be.
fn take_changes(router: &impl AgentFollower, sent: Instant, pulled: &PullResponse) -> bool {
    let sent_at = router.now().saturating_sub(sent.elapsed());
    let learns = router.fleet().read().would_change(sent_at, pulled);
    let taken = !learns || router.fleet().update(|fleet| fleet.apply_pull(sent_at, pulled));
    if !pulled.updates.items().is_empty() {
        router.fleet_changed();
    }
    taken
}

/// Tells the agent that this incarnation sends nothing any more, so that nobody waits for its lease to expire.
pub fn say_goodbye(router: &impl AgentFollower) {
    let mut agent = Client::new(router.identity().agent, GOODBYE_TIMEOUT);
    if let Err(error) = agent.call::<Request, Response>(&pull_request(router, false)) {
        ring::info(&error.to_string());
    }
}

/// Pulls from the agent for ever.
/// ```no_run
/// # fn show(state: &stream_router::state::RouterState) {
/// stream_router::agent_client::follow(state);
/// # }
/// ```
pub fn follow(router: &impl AgentFollower) -> ! {
    let mut agent = Client::new(router.identity().agent, PULL_TIMEOUT);
    let mut last_pruned = Instant::now();
    loop {
        match pull(router, &mut agent) {
            Ok(PullOutcome::Renewed) => {}
            Ok(PullOutcome::NotRenewed) => std::thread::sleep(NOT_RENEWED_DELAY),
            Err(error) => {
                ring::info(&error.to_string());
                std::thread::sleep(ERROR_DELAY);
            }
        }
        if last_pruned.elapsed() > PRUNE_INTERVAL {
            last_pruned = Instant::now();
            router.prune();
        }
    }
}
