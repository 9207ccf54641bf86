//! Messages between control replicas. Each belongs to a view; those of other views are ignored, except that a replica
//! that is behind is told the newer view.
use crate::ballot::Ballot;
use crate::log::{Entry, Position};
use crate::snapshot_transfer::{SnapshotPart, SnapshotProgress};
use crate::view::{AcceptedView, MemberAddress, View};
use fleet_common::rpc::ReleaseAges;
use fleet_common::{Bytes, List, Text};

fleet_common::messages! {
    /// Whether a replica can do its part in the chain.
    pub enum Condition {
        /// It does its part.
        0 = Healthy,
        /// It was told to stop, and stays until others hold all that it holds.
        1 = Leaving,
        /// Its disk fails or stalls.
        2 = DiskFault,
        /// It hears no majority of the voters, though others may hear it.
        3 = Isolated,
    }

    /// A sign of life with how far its sender is; it doubles as an acknowledgement.
    pub struct Heartbeat {
        /// The number of the view that the sender is in.
        pub view: u64,
        /// The last entry that is durable there.
        pub synced: Position,
        /// The number of the last entry that the sender knows to be committed.
        pub committed: u64,
        /// Whether it holds all that its predecessor in the chain held when they last compared.
        pub holds_all: bool,
        /// Whether it can do its part.
        pub condition: Condition,
        /// Its newest snapshot, which covers nothing but what is committed.
        pub snapshot_at: Position,
        /// How much of a snapshot it has received.
        pub receiving_snapshot: SnapshotProgress,
    }

    /// Phase 1a of Paxos on the view of this number, which follows the one before it.
    pub struct Prepare {
        /// The number of the view that is decided on.
        pub view_number: u64,
        /// The ballot of the proposal.
        pub ballot: Ballot,
    }

    /// Phase 1b: nothing is accepted under lower ballots any more. What was accepted is told, a list of at most one.
    pub struct Promise {
        /// The number of the view that is decided on.
        pub view_number: u64,
        /// The ballot of the proposal.
        pub ballot: Ballot,
        /// What this voter accepted last.
        pub accepted: List<AcceptedView>,
    }

    /// Phase 2a: the voters are asked to accept a view.
    pub struct Accept {
        /// The number of the view that is decided on.
        pub view_number: u64,
        /// The ballot of the proposal.
        pub ballot: Ballot,
        /// What to accept.
        pub view: View,
    }

    /// Phase 2b: a voter has accepted it.
    pub struct Accepted {
        /// The number of the view that is decided on.
        pub view_number: u64,
        /// The ballot of the proposal.
        pub ballot: Ballot,
    }

    /// Entries that follow `previous`: ignored where that position is not in the receiver's log.
    pub struct Append {
        /// The number of the sender's view.
        pub view: u64,
        /// The position before the first of them.
        pub previous: Position,
        /// In the order of the log, without gaps.
        pub entries: List<Entry>,
    }

    /// All entries up to this number are durable on every disk from the sender to the tail.
    pub struct Ack {
        /// The number of the sender's view.
        pub view: u64,
        /// The number of the last entry.
        pub seq: u64,
    }

    /// A lease of the tail, named by when it was asked for by the clock of the asking process, in microseconds. What
    /// was granted to an earlier process of the same replica counts for nothing.
    pub struct Lease {
        /// The number of the view whose tail asks.
        pub view: u64,
        /// The process that asks.
        pub process: u64,
        /// When it asked, by its clock.
        pub sent_us: u64,
    }

    /// How long ago weights were released, and when this process of the sender started.
    pub struct ProcessReleaseAges {
        /// The sender's process.
        pub process: u64,
        /// The ages when it was sent; that of the restart is the sender's own.
        pub ages: ReleaseAges,
    }

    /// Another replica as the sender of a report received its heartbeats, without others between.
    pub struct ReachablePeer {
        /// The id of that replica.
        pub id: u32,
        /// Its incarnation.
        pub incarnation: u64,
        /// How long before the report its last heartbeat came, in milliseconds.
        pub age_ms: u64,
        /// For how long, up to the report, its heartbeats have come without a pause, in milliseconds.
        pub received_ms: u64,
        /// Its last heartbeat.
        pub heartbeat: Heartbeat,
    }

    /// Whose heartbeats the sender receives without others between. It is sent beside heartbeats while no heartbeat of a
    /// member of the view reaches somebody: so replicas learn which links fail, and that a member to which their own link fails is alive.
    pub struct LinkReport {
        /// For how long the sender has received heartbeats without a pause, in milliseconds.
        pub listening_ms: u64,
        /// All from which it ever received a heartbeat.
        pub reachable: List<ReachablePeer>,
    }

    /// What came of a poll that the sender carried out for the head.
    pub struct RelayedListing {
        /// The head's number of the poll.
        pub poll: u64,
        /// The list, as JSON; empty where there is none.
        pub replicas: Bytes,
        /// Why there is none; empty where there is one.
        pub error: Text,
    }

    /// Everything that control replicas tell each other.
    pub enum Message {
        /// A sign of life.
        1 = Heartbeat(Heartbeat),
        /// The view that holds, for a replica that is behind.
        2 = NewView(View),
        /// Phase 1a of a decision on a view.
        3 = Prepare(Prepare),
        /// Phase 1b.
        4 = Promise(Promise),
        /// Phase 2a.
        5 = Accept(Accept),
        /// Phase 2b.
        6 = Accepted(Accepted),
        /// Entries down the chain.
        7 = Append(Append),
        /// Part of a snapshot, in place of entries that are gone.
        8 = SnapshotPart(SnapshotPart),
        /// What is committed, up the chain.
        9 = Ack(Ack),
        /// The tail asks the voters for its lease.
        10 = LeaseRequest(Lease),
        /// A voter grants it.
        11 = LeaseGrant(Lease),
        /// A command for the head, encoded.
        12 = Command(Bytes),
        /// A replica that the view does not list, or that hears no majority, says where it is reached.
        13 = Announce(MemberAddress),
        /// The tail gives its lease back: voters need not wait for its end.
        14 = LeaseEnd(Lease),
        /// When weights were released.
        15 = ReleaseAges(ProcessReleaseAges),
        /// Whose heartbeats the sender receives.
        16 = LinkReport(LinkReport),
        /// The head, which has no list of replicas from the platform, asks for a poll of this number.
        17 = PollReplicas(u64),
        /// What came of it.
        18 = ReplicasListed(RelayedListing),
    }

    /// A message with its sender's id and incarnation.
    pub struct PeerMessage {
        /// The sender's id.
        pub from: u32,
        /// The sender's incarnation.
        pub incarnation: u64,
        /// The message.
        pub message: Message,
    }
}

impl Message {
    /// About how many bytes this takes on the wire, for limits on what waits to be sent.
    pub fn approximate_bytes(&self) -> usize {
        const SMALL_MESSAGE: usize = 512;
        const ENTRY_HEADER: usize = 20;
        let content = match self {
            Message::Append(append) => {
                append.entries.items().iter().map(|entry| entry.command.as_slice().len() + ENTRY_HEADER).sum()
            }
            Message::SnapshotPart(part) => part.bytes.as_slice().len(),
            Message::Command(bytes) => bytes.as_slice().len(),
            Message::ReplicasListed(listing) => listing.replicas.as_slice().len(),
            _ => 0,
        };
        SMALL_MESSAGE + content
    }
}
