//! The binary form of every message, and of the records on disk that are not commands.
use crate::golden_file::{self, Codec, bytes_of_hex, hex};
use chain_replication::ballot::Ballot;
use chain_replication::hard_state::HardState;
use chain_replication::log::{Entry, Position, Snapshot};
use chain_replication::message::{
    Accept, Accepted, Ack, Append, Condition, Heartbeat, Lease, LinkReport, Message, PeerMessage, Prepare,
    ProcessReleaseAges, Promise, ReachablePeer, RelayedListing,
};
use chain_replication::snapshot_transfer::{SnapshotPart, SnapshotProgress};
use chain_replication::view::{AcceptedView, Member, MemberAddress, View};
use deku::{DekuContainerRead, DekuContainerWrite};
use fleet_common::rpc::{ReleaseAges, WeightsRelease};

fn address(id: u32) -> MemberAddress {
    MemberAddress {
        id,
        peers: format!("10.0.0.{id}:7100").into(),
        nodes: format!("10.0.0.{id}:7200").into(),
        operators: format!("10.0.0.{id}:7300").into(),
    }
}

fn member(id: u32) -> Member {
    Member { id, incarnation: 0x0102_0304_0506_0700 + u64::from(id) }
}

fn view() -> View {
    View {
        number: 7,
        target_length: 3,
        min_chain_length: 2,
        chain: vec![member(1), member(2), member(3)].into(),
        voters: vec![member(3), member(2), member(1)].into(),
        spares: vec![member(4)].into(),
        addresses: (1..=4).map(address).collect::<Vec<_>>().into(),
    }
}

fn position() -> Position {
    Position { view: 6, seq: 0x0a0b_0c0d }
}

fn beat(condition: Condition) -> Heartbeat {
    Heartbeat {
        view: 7,
        synced: position(),
        committed: 99,
        holds_all: true,
        condition,
        snapshot_at: Position { view: 5, seq: 50 },
        receiving_snapshot: SnapshotProgress { seq: 60, received_bytes: 262_144 },
    }
}

fn entry() -> Entry {
    Entry { at: position(), command: b"command".to_vec().into() }
}

fn snapshot_part() -> SnapshotPart {
    SnapshotPart {
        view: 7,
        at: position(),
        total_bytes: 300_000,
        sha256: vec![0xab; 32].into(),
        offset: 262_144,
        bytes: vec![1, 2, 3].into(),
    }
}

fn naming_ages() -> ProcessReleaseAges {
    let named = WeightsRelease { model: "m".into(), weights: "12".into(), seq: 5, age_ms: 1500 };
    ProcessReleaseAges { process: 77, ages: ReleaseAges { releases: vec![named].into(), control_restart_age_ms: 9000 } }
}

fn lease() -> Lease {
    Lease { view: 7, process: 77, sent_us: 123_456_789 }
}

fn link_report() -> LinkReport {
    let peer =
        ReachablePeer { id: 2, incarnation: 9, age_ms: 140, received_ms: 9_000, heartbeat: beat(Condition::Healthy) };
    LinkReport { listening_ms: 12_000, reachable: vec![peer].into() }
}

fn messages() -> Vec<(&'static str, Message)> {
    let accepted = AcceptedView { ballot: Ballot::new(5, 2), view: view() };
    vec![
        ("heartbeat_fit", Message::Heartbeat(beat(Condition::Healthy))),
        ("heartbeat_leaving", Message::Heartbeat(beat(Condition::Leaving))),
        ("heartbeat_disk_trouble", Message::Heartbeat(beat(Condition::DiskFault))),
        ("heartbeat_isolated", Message::Heartbeat(beat(Condition::Isolated))),
        ("new_view", Message::NewView(view())),
        ("prepare", Message::Prepare(Prepare { view_number: 8, ballot: Ballot::new(6, 1) })),
        (
            "promise_free",
            Message::Promise(Promise { view_number: 8, ballot: Ballot::new(6, 1), accepted: vec![].into() }),
        ),
        (
            "promise_bound",
            Message::Promise(Promise { view_number: 8, ballot: Ballot::new(6, 1), accepted: vec![accepted].into() }),
        ),
        ("accept", Message::Accept(Accept { view_number: 8, ballot: Ballot::new(6, 1), view: view() })),
        ("vote", Message::Accepted(Accepted { view_number: 8, ballot: Ballot::new(6, 1) })),
        ("append", Message::Append(Append { view: 7, previous: position(), entries: vec![entry()].into() })),
        ("snapshot_part", Message::SnapshotPart(snapshot_part())),
        ("ack", Message::Ack(Ack { view: 7, seq: 101 })),
        ("lease_request", Message::LeaseRequest(lease())),
        ("lease_grant", Message::LeaseGrant(lease())),
        ("command", Message::Command(b"{}".to_vec().into())),
        ("announce", Message::Announce(address(4))),
        ("lease_end", Message::LeaseEnd(lease())),
        ("naming_ages", Message::ReleaseAges(naming_ages())),
        ("link_report", Message::LinkReport(link_report())),
        ("poll_replicas", Message::PollReplicas(0x0102_0304)),
        ("replicas_listed", Message::ReplicasListed(relayed_listing("[]", ""))),
        ("replicas_not_listed", Message::ReplicasListed(relayed_listing("", "down"))),
    ]
}

fn relayed_listing(replicas: &str, error: &str) -> RelayedListing {
    RelayedListing { poll: 7, replicas: replicas.as_bytes().to_vec().into(), error: error.into() }
}

/// Every message is listed above; a new one does not compile until it is.
fn is_listed(message: &Message) -> bool {
    match message {
        Message::Heartbeat(_)
        | Message::NewView(_)
        | Message::Prepare(_)
        | Message::Promise(_)
        | Message::Accept(_) => true,
        Message::Accepted(_)
        | Message::Append(_)
        | Message::SnapshotPart(_)
        | Message::Ack(_)
        | Message::LeaseRequest(_) => true,
        Message::LeaseGrant(_) | Message::Command(_) | Message::Announce(_) | Message::LeaseEnd(_) => true,
        Message::ReleaseAges(_) | Message::LinkReport(_) => true,
        Message::PollReplicas(_) | Message::ReplicasListed(_) => true,
    }
}

macro_rules! binary {
    ($kind:ty) => {
        Codec::<$kind> {
            encode: |value| hex(&value.to_bytes().expect("it can be written")),
            decode: |digits| {
                let bytes = bytes_of_hex(digits);
                let ((rest, _), value) = <$kind>::from_bytes((&bytes, 0)).expect("it can be read");
                assert!(rest.is_empty(), "nothing is left over");
                value
            },
        }
    };
}

#[test]
fn messages_keep_their_binary_form() {
    let sent = |message| PeerMessage { from: 3, incarnation: 0x1122_3344_5566_7788, message };
    let messages: Vec<(String, PeerMessage)> =
        messages().into_iter().map(|(name, message)| (name.to_string(), sent(message))).collect();
    assert!(messages.iter().all(|(_, sent)| is_listed(&sent.message)));
    golden_file::check(&crate::path("messages.txt"), &messages, &binary!(PeerMessage));
}

fn meta(accepted: Vec<AcceptedView>) -> HardState {
    HardState {
        incarnation: 0x0102_0304_0506_0701,
        view: view(),
        promised_ballot: Ballot::new(6, 1),
        accepted: accepted.into(),
        holds_all: true,
        proposed_ballot: Ballot::new(4, 3),
    }
}

#[test]
fn the_meta_record_keeps_its_binary_form() {
    let accepted = AcceptedView { ballot: Ballot::new(5, 2), view: view() };
    let metas = [("nothing_accepted".to_string(), meta(vec![])), ("accepted".to_string(), meta(vec![accepted]))];
    golden_file::check(&crate::path("meta.txt"), &metas, &binary!(HardState));
}

#[test]
fn entries_and_snapshots_keep_their_binary_form() {
    let entries = [("entry".to_string(), entry())];
    golden_file::check(&crate::path("entry.txt"), &entries, &binary!(Entry));
    let snapshots = [("snapshot".to_string(), Snapshot { at: position(), state: b"state".to_vec().into() })];
    golden_file::check(&crate::path("snapshot.txt"), &snapshots, &binary!(Snapshot));
}

#[test]
fn views_are_shown_to_operators_as_before() {
    let texts = [("view".to_string(), view().summary())];
    golden_file::check(&crate::path("view-text.txt"), &texts, &golden_file::TEXT);
}

#[test]
fn addresses_are_read_from_settings_as_before() {
    let texts = [("address".to_string(), "4@10.0.0.4:7100/10.0.0.4:7200/10.0.0.4:7300".to_string())];
    golden_file::check(&crate::path("address-text.txt"), &texts, &golden_file::TEXT);
    assert_eq!(MemberAddress::parse(&texts[0].1), Some(address(4)));
}
