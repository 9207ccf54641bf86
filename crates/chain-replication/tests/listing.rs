//! Following the platform's list of replicas, alone.
use chain_replication::listing::{ListingChange, ListingError, ListingFollower, check_rows};
use control_state::command::ReplicaInfo;
use std::time::Duration;

fn row(id: &str) -> ReplicaInfo {
    ReplicaInfo {
        id: id.into(),
        at: "127.0.0.1:1".into(),
        model: "m".into(),
        zone: "a".into(),
        ..ReplicaInfo::default()
    }
}

#[test]
fn a_replica_that_is_listed_twice_is_an_error() {
    let rows = vec![row("r1"), row("r2")];
    assert_eq!(check_rows(rows.clone()), Ok(rows));
    let error = check_rows(vec![row("r1"), row("r1")]).unwrap_err();
    assert_eq!(error, ListingError::Duplicate { id: "r1".into() });
    assert!(error.to_string().contains("r1"));
}

#[test]
fn there_is_one_poll_at_a_time() {
    let mut follower = ListingFollower::default();
    assert_eq!(follower.poll_due(Duration::ZERO, 7), Some(1));
    assert_eq!(follower.poll_due(Duration::from_millis(10), 7), None, "one at a time");
}

#[test]
fn a_result_that_comes_after_the_replica_stopped_being_head_is_nobodys() {
    let mut follower = ListingFollower::default();
    let number = follower.poll_due(Duration::ZERO, 0).unwrap();
    follower.forget();
    assert!(follower.take(Duration::ZERO, number, Ok(vec![]), &[], 0).is_none());
}

#[test]
fn a_list_as_it_is_held_changes_nothing() {
    let mut follower = ListingFollower::default();
    let number = follower.poll_due(Duration::ZERO, 4).unwrap();
    let change = follower.take(Duration::ZERO, number, Ok(vec![]), &[], 4);
    assert_eq!(change, Some(ListingChange::Unchanged));
    assert_eq!(follower.status().held_back, 0);
}

/// Guards against review/6: a list that takes longer than the time after which it is polled again was never taken.
#[test]
fn a_list_that_comes_later_than_the_next_poll_is_taken() {
    const LISTING_TIME: Duration = Duration::from_millis(1800);
    const TICK: Duration = Duration::from_millis(20);
    let (mut follower, mut now) = (ListingFollower::default(), Duration::ZERO);
    // One poll at a time is carried out, and the newest of those that wait comes next.
    let (mut running, mut waiting) = (None::<(u64, Duration)>, None);
    let taken = std::iter::repeat_with(|| {
        now += TICK;
        waiting = follower.poll_due(now, 0).or(waiting);
        let done = running.take_if(|(_, begun)| now - *begun >= LISTING_TIME);
        running = running.or_else(|| waiting.take().map(|number| (number, now)));
        done.and_then(|(number, _)| follower.take(now, number, Ok(vec![row("r1")]), &[], 0))
    });
    let change = taken.take(500).flatten().next();
    assert_eq!(change, Some(ListingChange::Replace { replicas: vec![row("r1")], over_version: 0 }));
}

#[test]
fn the_result_of_an_earlier_poll_is_not_taken_after_that_of_a_later_one() {
    let mut follower = ListingFollower::default();
    let late = Duration::from_secs(2);
    let (first, second) = (follower.poll_due(Duration::ZERO, 0).unwrap(), follower.poll_due(late, 0).unwrap());
    assert!(follower.take(late, second, Ok(vec![]), &[], 0).is_some());
    assert!(follower.take(late, first, Ok(vec![row("r1")]), &[], 0).is_none());
}

#[test]
fn an_error_of_a_later_poll_leaves_the_earlier_one_its_chance() {
    let mut follower = ListingFollower::default();
    let late = Duration::from_secs(2);
    let (first, second) = (follower.poll_due(Duration::ZERO, 0).unwrap(), follower.poll_due(late, 0).unwrap());
    let down = Err(ListingError::Unavailable { reason: "down".into() });
    assert!(matches!(follower.take(late, second, down, &[], 0), Some(ListingChange::Rejected { .. })));
    assert!(follower.take(late, first, Ok(vec![row("r1")]), &[], 0).is_some());
}
