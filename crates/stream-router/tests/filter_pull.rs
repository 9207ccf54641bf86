//! A filter that is pulled while its replica is assigned to another index node.
#[allow(dead_code)]
#[path = "golden/replica.rs"]
mod replica;
#[allow(dead_code)]
#[path = "golden/router.rs"]
mod router;

use control_state::state::Assignment;
use fleet_common::rpc::{self, Filter, Request, Response, SourceUpdate};
use fleet_common::{frame, json};
use std::collections::BTreeMap;
use std::net::TcpListener;
use stream_router::state::RouterState;

const REPLICA: &str = "r1";

fn filter(fencing_token: u64) -> Filter {
    Filter {
        replica: REPLICA.into(),
        index: "index-1".into(),
        fencing_token,
        version: 1,
        weights: "1".into(),
        bit_count: 8,
        hash_count: 1,
        items: 0,
        bits: vec![0].into(),
    }
}

/// Assigns the replica under a fencing token, which is the version of the source too.
fn assign(router: &RouterState, fencing_token: u64) {
    let assignment = Assignment {
        owner: "index-1".into(),
        incarnation: 1,
        fencing_token,
        after_expiry: false,
        last_owner: String::new(),
        moved: false,
    };
    let value = json::to_text(&BTreeMap::from([(REPLICA, assignment)])).into_bytes().into();
    let update = SourceUpdate { source: rpc::ASSIGNMENTS as u8, version: fencing_token, value };
    assert!(router.fleet.update(|fleet| fleet.apply_all(&[update])));
}

/// Guards against a filter of a former index node: the fencing token that it has to have was read before the wait for it.
#[test]
fn a_filter_of_a_former_index_node_is_not_taken() {
    for (assigned_meanwhile, is_taken) in [(1, true), (2, false)] {
        let router = router::configured(&[]);
        assign(&router, 1);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let index_node = listener.local_addr().unwrap();
        let of_index_node = router.clone();
        frame::serve(listener, move |_: Request| {
            assign(&of_index_node, assigned_meanwhile);
            Some(Response::Filter(filter(1)))
        });
        router.filter_copies.pull_from(index_node, &router.fleet, REPLICA);
        assert_eq!(router.filter_copies.read().contains_key(REPLICA), is_taken, "token {assigned_meanwhile} by then");
    }
}
