//! Which view is wanted by what is known, without replicas round it.
use chain_replication::discovery::Discovery;
use chain_replication::failure_detector::FailureDetector;
use chain_replication::link_reports::LinkReports;
use chain_replication::log::Position;
use chain_replication::membership::Observations;
use chain_replication::message::{Condition, Heartbeat};
use chain_replication::snapshot_transfer::SnapshotProgress;
use chain_replication::timing::FAILURE_TIMEOUT;
use chain_replication::view::{Member, MemberAddress, View};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);

fn address(id: u32) -> MemberAddress {
    MemberAddress { id, peers: "".into(), nodes: "".into(), operators: "".into() }
}

fn member(id: u32) -> Member {
    Member { id, incarnation: 1 }
}

/// A view of three in the chain and one spare.
fn view() -> View {
    View::founding((1..=4).map(address).collect(), 1)
}

fn heartbeat(condition: Condition) -> Heartbeat {
    Heartbeat {
        view: 1,
        synced: Position { view: 1, seq: 5 },
        committed: 5,
        holds_all: true,
        condition,
        snapshot_at: Position::START,
        receiving_snapshot: SnapshotProgress::NONE,
    }
}

/// Replica 1 hears these others, each in its condition.
fn desired_view(others: &[(u32, Condition)]) -> Option<View> {
    let mut peers = FailureDetector::default();
    for (id, condition) in others {
        peers.record(NOW, *id, 1, heartbeat(condition.clone()));
    }
    let (me, view, discovery) = (member(1), view(), Discovery::new(vec![]));
    let observations = Observations {
        now: NOW,
        me: &me,
        view: &view,
        view_since: Duration::ZERO,
        own_condition: Condition::Healthy,
        holds_all: true,
        holds_acknowledged: false,
        synced: 5,
        peers: &peers,
        listening_since: NOW,
        links: &LinkReports::default(),
        discovery: &discovery,
        requested_addresses: None,
    };
    observations.desired_view()
}

fn ids(members: &[Member]) -> Vec<u32> {
    members.iter().map(|member| member.id).collect()
}

#[test]
fn while_all_are_well_no_other_view_is_wanted() {
    let all = [(2, Condition::Healthy), (3, Condition::Healthy), (4, Condition::Healthy)];
    assert_eq!(desired_view(&all), None);
}

#[test]
fn a_spare_that_has_caught_up_takes_the_place_of_a_lost_member() {
    let wanted = desired_view(&[(3, Condition::Healthy), (4, Condition::Healthy)]).expect("another view");
    assert_eq!((wanted.number, ids(wanted.chain.items())), (2, vec![1, 3, 4]));
    assert_eq!(ids(wanted.voters.items()), [1, 3, 4]);
}

#[test]
fn a_member_with_a_faulty_disk_counts_as_lost() {
    let others = [(2, Condition::DiskFault), (3, Condition::Healthy), (4, Condition::Healthy)];
    assert_eq!(ids(desired_view(&others).expect("another view").chain.items()), [1, 3, 4]);
}

#[test]
fn a_member_that_leaves_gives_way_to_a_spare() {
    let others = [(2, Condition::Leaving), (3, Condition::Healthy), (4, Condition::Healthy)];
    assert_eq!(ids(desired_view(&others).expect("another view").chain.items()), [1, 3, 4]);
}

#[test]
fn a_chain_that_would_be_too_short_is_not_wanted() {
    assert_eq!(desired_view(&[]), None, "what it acknowledged could be lost with one disk");
}

#[test]
fn a_lost_voter_keeps_its_vote_where_it_makes_the_majority_no_larger() {
    let wanted = desired_view(&[(2, Condition::Healthy)]).expect("another view");
    assert_eq!(ids(wanted.chain.items()), [1, 2]);
    assert_eq!(ids(wanted.voters.items()), [1, 2, 3]);
}

#[test]
fn a_majority_is_heard_while_heartbeats_are_recent() {
    let mut peers = FailureDetector::default();
    peers.record(NOW, 2, 1, heartbeat(Condition::Healthy));
    let just_before = NOW + FAILURE_TIMEOUT - Duration::from_millis(1);
    assert!(peers.hears_majority(just_before, &view(), &member(1)));
    assert!(!peers.hears_majority(NOW + FAILURE_TIMEOUT, &view(), &member(1)));
    assert!(peers.recent_status(NOW, &Member { id: 2, incarnation: 7 }).is_none(), "that is another member");
    assert!(peers.hears_id(NOW, 2));
}
