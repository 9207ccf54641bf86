//! A placement looks at one version of the fleet, however often the fleet changes meanwhile.
#[allow(dead_code)]
#[path = "golden/replica.rs"]
mod replica;
#[allow(dead_code)]
#[path = "golden/router.rs"]
mod router;

use fleet_common::rpc::{self, SourceUpdate};
use std::sync::atomic::{AtomicBool, Ordering};
use stream_router::placement::{PlacementOutcome, place};
use stream_router::request_context::RequestContext;
use stream_router::state::RouterState;

const PLACEMENTS: usize = 20_000;
const SERVICE: &str = "s1";
const OTHER_SERVICE: &str = "s2";
/// Replicas that are always listed; their services alternate, so that neighbours are never of one service.
const LASTING_REPLICAS: usize = 8;

fn row(id: &str, service: &str) -> String {
    format!(r#"{{"id":"{id}","at":"127.0.0.1:1","model":"m1","district":"z1","leaving":false,"service":"{service}"}}"#)
}

fn service_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) { SERVICE } else { OTHER_SERVICE }
}

/// Version `version` of the list: every other version has one replica more, before all others.
fn list_replicas(router: &RouterState, version: u64) {
    let newcomer = (version % 2 == 1).then(|| row("a-newcomer", OTHER_SERVICE));
    let lasting = (0..LASTING_REPLICAS).map(|number| row(&format!("r{number}"), service_of(number)));
    let rows: Vec<String> = newcomer.into_iter().chain(lasting).collect();
    let value = format!("[{}]", rows.join(",")).into_bytes().into();
    let update = SourceUpdate { source: rpc::REPLICAS as u8, version, value };
    assert!(router.fleet.update(|fleet| fleet.apply_all(&[update])));
}

fn service_of_replica(id: &str) -> &'static str {
    let number = id.strip_prefix('r').and_then(|number| number.parse().ok());
    number.map_or(OTHER_SERVICE, service_of)
}

/// Guards against requests that are sent to a replica of a service that their route does not name (review/1): rows of one
/// version of the list were judged by the services of another, in which their neighbours stood at their positions.
#[test]
fn a_request_is_never_placed_at_another_service_while_replicas_come_and_go() {
    let router = router::configured(&[]);
    // The list of `configured` is version 1.
    list_replicas(&router, 2);
    let mut context = RequestContext::new(Default::default(), Vec::new());
    context.service = SERVICE.into();
    let is_done = AtomicBool::new(false);
    let wrong: Vec<String> = std::thread::scope(|scope| {
        scope.spawn(|| (3..).take_while(|_| !is_done.load(Ordering::Acquire)).for_each(|n| list_replicas(&router, n)));
        let placements = (0..PLACEMENTS).map(|_| match place(&router, &context) {
            PlacementOutcome::Placed(placement) => placement.replica,
            PlacementOutcome::NoReplica => "none".into(),
        });
        let wrong = placements.filter(|replica| service_of_replica(replica) != SERVICE).collect();
        is_done.store(true, Ordering::Release);
        wrong
    });
    assert!(wrong.is_empty(), "{} of {PLACEMENTS} at another service: {:?}", wrong.len(), wrong.first());
}
