//! A router's state before anything is known of the fleet, and what changes it.
#[allow(dead_code)]
#[path = "golden/replica.rs"]
mod replica;
#[allow(dead_code)]
#[path = "golden/router.rs"]
mod router;

use http_streams::inbound::{Inbound, Limits, LimitsSource, ReadOutcome};
use routing::session_placement::ReplicaStatus;
use routing::shutdown::Admission;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;
use stream_router::peer_requests::record_false_hit;
use stream_router::placement::{PlacementOutcome, place};
use stream_router::request_context::RequestContext;
use stream_router::state::RouterState;

fn statuses(router: &RouterState) -> Vec<ReplicaStatus> {
    router.replica_statuses("", &router.fleet.read(), &router.load_reports.read())
}

fn context() -> RequestContext {
    RequestContext::new(Default::default(), Vec::new())
}

#[test]
fn a_new_router_knows_nothing_and_holds_no_lease() {
    let (router, _) = router::unconfigured();
    assert!(!router.holds_lease() && !router.is_ready());
    assert!(context().check_allowed(&router).is_err());
    assert!(!router.recent_prompts().is_expected(router.now(), 1, 7));
    assert!(router.in_flight().queue_time(router.now(), 7).is_zero());
    assert!(router.local_loads().is_empty() && statuses(&router).is_empty());
    assert!(router.cost_model().prefill_us_per_token > 0.0);
    assert!(router.limits().header_bytes > 0);
    assert!(!router.retry_budget().try_spend(), "the number of routers is not known");
}

#[test]
fn a_configured_router_under_a_lease_is_ready() {
    let router = router::configured(&[]);
    assert!(router.holds_lease() && router.is_ready() && router.retry_budget().try_spend());
    let mut context = context();
    assert!(context.check_allowed(&router).is_ok());
    assert!(!context.closes_connection(&router.shutdown));
    assert!(matches!(place(&router, &context), PlacementOutcome::NoReplica));
}

#[test]
fn connections_are_open_until_they_are_dropped() {
    let router = router::configured(&[]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    drop(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    let mut inbound = Inbound::new(listener.accept().unwrap().0);
    assert_eq!(router.shutdown.open_connections(), 0);
    let mut connection = router.shutdown.track_connection();
    assert_eq!(router.shutdown.open_connections(), 1);
    assert_eq!(connection.next_request(&mut inbound, &Limits::default()), ReadOutcome::Ended);
    drop(connection);
    assert_eq!(router.shutdown.open_connections(), 0);
}

#[test]
fn a_router_that_is_not_draining_accepts_whatever_comes() {
    let router = router::configured(&[]);
    router.shutdown.record_run_time(1, Duration::from_millis(800));
    router.shutdown.record_not_ready_answer();
    assert!(!router.shutdown.is_draining());
    assert!(matches!(router.shutdown.admit(1, Duration::from_secs(8)), Admission::Admit));
}

#[test]
fn a_replica_runs_the_weights_that_it_reported() {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let router = router::configured(&[address]);
    assert_eq!(statuses(&router)[0].weights, "");
    router.record_weights("r0", "m1", "2");
    assert_eq!(statuses(&router)[0].weights, "2");
}

#[test]
fn false_hits_are_counted() {
    let router = router::configured(&[]);
    record_false_hit(&router, "r1");
    assert_eq!(router.counters.false_hits.load(Ordering::Relaxed), 1);
    assert_eq!(router.counters.filter_pulls.load(Ordering::Relaxed), 0, "there is no copy to be stale");
}
