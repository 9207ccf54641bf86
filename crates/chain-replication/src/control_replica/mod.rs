//! A control replica as a state machine without I/O: a time and an input give outputs. Threads or a simulator drive it.
//!
//! This file says what a replica consists of and where each input goes. What it does then:
//!
//! | module | what |
//! | --- | --- |
//! | `heartbeats` | ticks, heartbeats, and how this replica is |
//! | `links` | telling whom this replica hears, and which links fail |
//! | `replication` | commands at the head, entries down the chain, commit |
//! | `snapshots` | making snapshots, and taking one in place of the log |
//! | `tail_lease` | asking for the tail's lease, granting it |
//! | `view_change` | deciding on the next view |
//! | `view_install` | taking on a view |
//! | `requests`, `pulls`, `queries` | answers to operators and nodes |
//! | `background` | what the head does unasked |
//! | `relayed_polls` | polls of the platform that one replica carries out for another |
//! | `releases` | telling when weights were released |
//! | `fingerprint` | telling states apart in an exhaustive search |
mod background;
mod fingerprint;
mod heartbeats;
mod links;
mod pulls;
mod queries;
mod relayed_polls;
mod releases;
mod replication;
mod requests;
mod snapshots;
mod tail_lease;
mod view_change;
mod view_install;

use crate::discovery::Discovery;
use crate::failure_detector::FailureDetector;
use crate::hard_state::HardState;
use crate::lease::{GrantedLease, HeldLease};
use crate::link_reports::LinkReports;
use crate::listing::ListingFollower;
use crate::listing_pollers::PollerChoice;
use crate::log::ReplicationLog;
use crate::membership::{FaultyLink, Observations};
use crate::message::{Message, PeerMessage};
use crate::node_status::NodeStatuses;
use crate::paxos::{Acceptor, Proposer};
use crate::pending::{PendingCommands, PendingMembers};
use crate::recovery::{self, StartError};
use crate::releases::ReleaseRecord;
use crate::replicator::Replicator;
use crate::step::{Input, Output, Record, RecoveredDisk};
use crate::view::{Member, MemberAddress, View};
use crate::write_queue::{AfterSync, WriteQueue};
use control_state::state::State;
use fleet_common::rpc::{CONTROL_MEMBERS, VersionVector};
use std::time::Duration;

/// How this replica and its disk are.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct Health {
    /// A write failed, or what should be readable is not. Only a restart from the disk ends this.
    disk_failed: bool,
    /// The machine is to stop.
    is_leaving: bool,
    /// That the disk stalls was logged.
    stall_logged: bool,
}

/// What the head does unasked.
#[derive(Clone, Default)]
struct BackgroundWork {
    listing: ListingFollower,
    pollers: PollerChoice,
    /// The poll that this replica carries out for a head.
    relayed_poll: Option<RelayedPoll>,
    minute_started: Option<Duration>,
}

/// A poll that another replica, the head, asked for.
#[derive(Clone, Copy)]
struct RelayedPoll {
    head: u32,
    /// The head's number of it.
    poll: u64,
}

/// One control replica.
#[derive(Clone)]
pub struct ControlReplica {
    me: Member,
    /// The time of the last step, by the clock of the process.
    now: Duration,
    started_at: Duration,
    hard_state: HardState,
    /// Whether the disk says what `hard_state.holds_all` does.
    holds_all_is_synced: bool,
    /// Whether this replica holds every acknowledged entry though it may not hold all: see [`Self::install`].
    holds_acknowledged: bool,
    /// Since when the present view holds here.
    view_since: Duration,
    replicator: Replicator,
    writes: WriteQueue,
    health: Health,
    peers: FailureDetector,
    /// Since when this replica has received heartbeats without a pause: what did not come before says nothing of a link.
    listening_since: Duration,
    links: LinkReports,
    /// The links that were logged as faulty last.
    logged_faulty_links: Vec<FaultyLink>,
    discovery: Discovery,
    last_heartbeat: Option<Duration>,
    held_lease: HeldLease,
    granted_lease: GrantedLease,
    acceptor: Acceptor,
    proposer: Proposer,
    pending_commands: PendingCommands,
    pending_members: Option<PendingMembers>,
    nodes: NodeStatuses,
    background: BackgroundWork,
    releases: ReleaseRecord,
    outputs: Vec<Output>,
}

impl ControlReplica {
    /// Starts from what the disk held. `seeds` are the replicas known beforehand. Without a hard state the replica is
    /// outside every view and waits to be let in.
    ///
    /// # Errors
    /// What cannot be read is damage, not emptiness: the replica does not start.
    pub fn start(
        now: Duration,
        me: Member,
        seeds: Vec<MemberAddress>,
        disk: RecoveredDisk,
    ) -> Result<Self, StartError> {
        let (log, state) = recovery::restore(disk.snapshot, disk.entries)?;
        let outside = || HardState::new(me.incarnation, View::outside(seeds.clone()), false);
        let hard_state = disk.hard_state.unwrap_or_else(outside);
        let mut replica = ControlReplica {
            me,
            now,
            started_at: now,
            holds_all_is_synced: hard_state.holds_all,
            hard_state,
            holds_acknowledged: false,
            view_since: now,
            replicator: Replicator::new(log, state),
            writes: WriteQueue::default(),
            health: Health::default(),
            peers: FailureDetector::default(),
            listening_since: now,
            links: LinkReports::default(),
            logged_faulty_links: Vec::new(),
            discovery: Discovery::new(seeds),
            last_heartbeat: None,
            held_lease: HeldLease::default(),
            granted_lease: GrantedLease::after_restart(now),
            acceptor: Acceptor::default(),
            proposer: Proposer::default(),
            pending_commands: PendingCommands::default(),
            pending_members: None,
            nodes: NodeStatuses::new(now),
            background: BackgroundWork::default(),
            releases: ReleaseRecord::default(),
            outputs: Vec::new(),
        };
        replica.record_releases();
        Ok(replica)
    }

    /// As this process of the replica: a number that no other process of it has.
    pub fn with_process_id(mut self, process: u64) -> Self {
        self.held_lease.process = process;
        self
    }

    /// With another number of entries between snapshots.
    pub fn with_snapshot_interval(mut self, entries: usize) -> Self {
        self.replicator.set_snapshot_interval(entries);
        self
    }

    /// Announces itself at this address, and lets in others that announce themselves.
    pub fn with_announced_address(mut self, own: MemberAddress) -> Self {
        self.discovery.enable(own);
        self
    }

    /// As a replica that starts over in the process of `former`, whose disk was opened again: what that one knew of
    /// releases is still known.
    pub fn restarted_from(mut self, former: &ControlReplica) -> Self {
        self.releases.restore(self.now, &former.releases, former.replicator.committed);
        self
    }

    /// The view that this replica is in; number 0 while it is outside every view.
    pub fn view(&self) -> &View {
        &self.hard_state.view
    }

    /// Who this replica is in views.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// The replicated state as this replica has it: at the head with entries that are not committed yet.
    pub fn state(&self) -> &State {
        &self.replicator.state
    }

    /// The number of the last entry that this replica knows to be durable in the whole chain.
    pub fn committed(&self) -> u64 {
        self.replicator.committed
    }

    /// The replication log as this replica has it.
    pub fn log(&self) -> &ReplicationLog {
        &self.replicator.log
    }

    /// The versions of all sources as this replica has them.
    pub fn versions(&self) -> VersionVector {
        let mut versions = self.replicator.state.versions;
        versions[CONTROL_MEMBERS] = self.hard_state.view.number;
        versions
    }

    /// Whether this replica has all that its position asks for: a member of the chain holds all entries, a spare is in
    /// the view.
    pub fn is_up_to_date(&self) -> bool {
        match self.position() {
            Some(_) => self.holds_all(),
            None => self.hard_state.view.contains(&self.me),
        }
    }

    /// Where another replica is reached, if this one knows.
    pub fn address(&self, id: u32) -> Option<&MemberAddress> {
        self.discovery.address(&self.hard_state.view, id)
    }

    /// A message as it goes out, with this replica's id and incarnation.
    pub fn signed(&self, message: Message) -> PeerMessage {
        PeerMessage { from: self.me.id, incarnation: self.me.incarnation, message }
    }

    /// One step: takes an input at a time of the process's clock, which never goes back, and gives what is to be done,
    /// in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.note_isolation();
        match input {
            Input::Tick => self.on_tick(),
            Input::Message(message) => self.on_message(message),
            Input::Synced { up_to } => self.on_synced(up_to),
            Input::DiskFailed => self.on_disk_failed(),
            Input::Shutdown => self.on_shutdown(),
            Input::ReplicasListed { poll, result } => self.on_replicas_listed(poll, result),
            Input::Request { token, request } => self.on_request(token, request),
        }
        std::mem::take(&mut self.outputs)
    }

    fn on_message(&mut self, message: PeerMessage) {
        let PeerMessage { from, incarnation, message } = message;
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, incarnation, heartbeat),
            Message::Announce(address) => self.on_announce(from, address),
            Message::NewView(view) => self.install(view),
            Message::Prepare(prepare) => self.on_prepare(from, incarnation, prepare),
            Message::Promise(promise) => self.on_promise(from, incarnation, promise),
            Message::Accept(accept) => self.on_accept(from, accept),
            Message::Accepted(accepted) => self.on_accepted(from, incarnation, accepted),
            Message::Append(append) => self.on_append(from, append),
            Message::SnapshotPart(part) => self.on_snapshot_part(from, part),
            Message::Ack(ack) => self.on_ack(from, ack),
            Message::LeaseRequest(lease) => self.on_lease_request(from, lease),
            Message::LeaseGrant(lease) => self.on_lease_grant(from, incarnation, lease),
            Message::LeaseEnd(lease) => self.on_lease_end(from, lease),
            Message::ReleaseAges(announced) => self.on_release_ages(from, &announced),
            Message::LinkReport(report) => self.links.record(self.now, from, report),
            Message::Command(bytes) => self.on_forwarded_command(bytes.as_slice()),
            Message::PollReplicas(poll) => self.on_poll_request(from, poll),
            Message::ReplicasListed(listing) => self.on_relayed_listing(from, listing),
        }
    }

    /// What is known now of the other replicas and of this one.
    fn observations(&self) -> Observations<'_> {
        Observations {
            now: self.now,
            me: &self.me,
            view: &self.hard_state.view,
            view_since: self.view_since,
            own_condition: self.condition(),
            holds_all: self.holds_all(),
            holds_acknowledged: self.holds_acknowledged,
            synced: self.replicator.synced.seq,
            peers: &self.peers,
            listening_since: self.listening_since,
            links: &self.links,
            discovery: &self.discovery,
            requested_addresses: self.pending_members.as_ref().map(|pending| pending.addresses.as_slice()),
        }
    }

    /// Sends a message to a replica; one to itself is taken at once.
    fn send(&mut self, to: u32, message: Message) {
        if to == self.me.id {
            self.on_message(self.signed(message));
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    /// Writes records to the disk. What follows waits until they are durable.
    fn write(&mut self, records: Vec<Record>, after: AfterSync) {
        let id = self.writes.push(self.now, after);
        self.outputs.push(Output::Write { id, records });
    }

    /// Writes the hard state as it is now.
    fn write_hard_state(&mut self, after: AfterSync) {
        self.write(vec![Record::HardState(self.hard_state.clone())], after);
    }

    fn log_line(&mut self, line: String) {
        self.outputs.push(Output::Log(line));
    }
}
