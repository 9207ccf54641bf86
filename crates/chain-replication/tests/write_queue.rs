//! Writes that wait for the disk.
use chain_replication::ballot::Ballot;
use chain_replication::log::Position;
use chain_replication::message::{Accepted, Message};
use chain_replication::timing::DISK_STALL_TIMEOUT;
use chain_replication::write_queue::{AfterSync, WriteId, WriteQueue};
use std::time::Duration;

fn entries(seq: u64) -> AfterSync {
    AfterSync::Entries(Position { view: 1, seq })
}

#[test]
fn writes_follow_up_in_their_order_and_no_sooner_than_synced() {
    let mut writes = WriteQueue::default();
    let first = writes.push(Duration::ZERO, entries(1));
    let second = writes.push(Duration::ZERO, entries(2));
    let third = writes.push(Duration::ZERO, entries(3));
    assert!(first < second && second < third);
    assert_eq!(writes.pop_synced(WriteId(0)), None);
    assert_eq!(writes.pop_synced(second), Some(entries(1)));
    assert_eq!(writes.pop_synced(second), Some(entries(2)));
    assert_eq!(writes.pop_synced(second), None);
    assert_eq!(writes.pop_synced(third), Some(entries(3)));
}

#[test]
fn a_disk_stalls_when_its_oldest_write_waits_too_long() {
    let mut writes = WriteQueue::default();
    assert!(!writes.is_stalled(DISK_STALL_TIMEOUT * 2));
    let first = writes.push(Duration::ZERO, AfterSync::Nothing);
    writes.push(DISK_STALL_TIMEOUT, AfterSync::Nothing);
    assert!(!writes.is_stalled(DISK_STALL_TIMEOUT));
    assert!(writes.is_stalled(DISK_STALL_TIMEOUT + Duration::from_millis(1)));
    writes.pop_synced(first);
    assert!(!writes.is_stalled(DISK_STALL_TIMEOUT + Duration::from_millis(1)));
}

#[test]
fn own_ballots_and_votes_are_known_until_they_are_synced() {
    const ME: u32 = 2;
    let accepted = Message::Accepted(Accepted { view_number: 3, ballot: Ballot::new(1, ME) });
    let mut writes = WriteQueue::default();
    writes.push(Duration::ZERO, entries(1));
    let others = writes.push(Duration::ZERO, AfterSync::Send { to: ME + 1, message: accepted.clone() });
    assert!(!writes.holds_vote_of(ME), "a vote on the proposal of another");
    let ballot = writes.push(Duration::ZERO, AfterSync::Prepare { view_number: 3, ballot: Ballot::new(1, ME) });
    assert!(writes.holds_vote_of(ME));
    while writes.pop_synced(ballot).is_some() {}
    assert!(others < ballot && !writes.holds_vote_of(ME));
    writes.push(Duration::ZERO, AfterSync::Send { to: ME, message: accepted });
    assert!(writes.holds_vote_of(ME));
}
