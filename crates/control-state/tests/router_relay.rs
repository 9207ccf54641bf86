//! What an agent keeps for its router, alone.
use control_state::relay::{RouterRelay, wait_within};
use fleet_common::rpc::PullResponse;
use std::time::Duration;

const NOTHING: [u64; 8] = [0; 8];

#[test]
fn an_agent_starts_beside_a_router_that_may_hold_a_lease() {
    let relay = RouterRelay::starting(Duration::from_secs(9));
    assert!(relay.router_may_hold_lease(Duration::from_secs(12)));
}

#[test]
fn a_relay_without_pulls_has_nothing_to_pass_on() {
    let mut relay = RouterRelay::default();
    assert_eq!((relay.versions(), relay.confirmed()), (NOTHING, NOTHING));
    assert_eq!((relay.control_addresses(), relay.age(Duration::ZERO)), (None, None));
    assert!(!relay.router_may_hold_lease(Duration::ZERO) && !relay.has_newer_than(NOTHING));
    assert!(!relay.plan(Duration::ZERO).holding);
    assert_eq!(relay.pull_response(Duration::ZERO, Duration::ZERO, NOTHING).lease_confirmed, 0);
}

#[test]
fn a_pull_that_said_the_router_holds_no_lease_extends_none() {
    let mut relay = RouterRelay::default();
    let pulled = PullResponse {
        lease_confirmed: 1,
        age_ms: 0,
        updates: vec![].into(),
        release_ages: Default::default(),
        parked_ms: 0,
    };
    relay.on_pull_response(Duration::ZERO, false, pulled);
    assert_eq!(relay.age(Duration::ZERO), None);
}

#[test]
fn a_router_that_pulled_may_hold_a_lease() {
    let mut relay = RouterRelay::default();
    relay.on_router_pull(Duration::ZERO, NOTHING);
    assert!(relay.router_may_hold_lease(Duration::ZERO));
}

#[test]
fn a_former_incarnation_of_the_router_speaks_for_itself_alone() {
    let mut relay = RouterRelay::default();
    relay.set_router_incarnation(2);
    relay.on_router_pull(Duration::ZERO, NOTHING);
    relay.on_router_shutdown(1);
    assert!(relay.router_may_hold_lease(Duration::ZERO), "a former incarnation speaks for itself alone");
}

#[test]
fn a_router_that_shut_down_holds_no_lease() {
    let mut relay = RouterRelay::default();
    assert!(!relay.has_shut_down(1));
    relay.set_router_incarnation(1);
    relay.on_router_pull(Duration::ZERO, NOTHING);
    relay.on_router_shutdown(1);
    assert!(!relay.router_may_hold_lease(Duration::ZERO) && relay.has_shut_down(1));
}

/// The longest that a router lets its agent delay an answer.
const ROUTER_WAIT: Duration = Duration::from_millis(400);

/// Guards against routers that serve nothing for most of the time, as their leases end before they are renewed.
#[test]
fn a_short_lease_is_renewed_before_it_ends() {
    for lease_ms in [100, 300, 500, 1000, 1500, 3000] {
        let lease = Duration::from_millis(lease_ms);
        let mut relay = RouterRelay::starting(Duration::ZERO).with_lease(lease);
        let agent_wait = Duration::from_millis(relay.plan(Duration::ZERO).wait_ms.into());
        let oldest = agent_wait * 2 + wait_within(lease, ROUTER_WAIT);
        assert!(oldest * 3 <= lease * 2, "a lease of {lease:?} is confirmed by pulls {oldest:?} ago");
    }
}
