//! What one step of a control replica takes, and what it wants done. The replica itself does no I/O: threads or a
//! simulator carry outputs out, in their order, and give back what comes of them as inputs.
use crate::hard_state::HardState;
use crate::listing::ListingResult;
use crate::log::{Entry, Snapshot};
use crate::message::{Message, PeerMessage};
use crate::write_queue::WriteId;
use fleet_common::rpc::{Request, Response};

/// A record for the disk. Records become durable in the order in which they are written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// The replica's view, votes and incarnation, in place of the record before.
    HardState(HardState),
    /// The next entry of the log.
    Entry(Entry),
    /// A snapshot in place of the one before and of the entries that it covers.
    Snapshot(Snapshot),
    /// The entries after this number were never committed and are dropped.
    Truncate(u64),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Expected every few milliseconds.
    Tick,
    /// A message of another control replica arrived.
    Message(PeerMessage),
    /// The records of all writes up to this one are durable.
    Synced {
        /// The newest of them.
        up_to: WriteId,
    },
    /// A write or a sync failed: nothing that was not reported as synced may be relied on.
    DiskFailed,
    /// This machine is to stop: the replica leaves the chain first, once others hold all that it holds.
    Shutdown,
    /// The platform answered the poll of this number.
    ReplicasListed {
        /// The number of the poll.
        poll: u64,
        /// The list, or why there is none.
        result: ListingResult,
    },
    /// A node or an operator asks; the token names whom to answer.
    Request {
        /// Whom to answer.
        token: u64,
        /// What is asked.
        request: Request,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another control replica, by its id. It may be lost, but overtakes no other.
    Send {
        /// The receiver's id.
        to: u32,
        /// What to send.
        message: Message,
    },
    /// Write these records and sync them, then report `Input::Synced`.
    Write {
        /// Names the write when it is reported as synced.
        id: WriteId,
        /// What to write, in this order.
        records: Vec<Record>,
    },
    /// Response the request of this token.
    Respond {
        /// Whom to answer.
        token: u64,
        /// The answer.
        response: Response,
    },
    /// Request the platform for its list of replicas, then report `Input::ReplicasListed` with this number.
    PollReplicas {
        /// The number of the poll.
        poll: u64,
    },
    /// A line for the log.
    Log(String),
}

/// What was found on the disk at the start.
#[derive(Clone, Debug, Default)]
pub struct RecoveredDisk {
    /// None on a disk that never held any: the replica then starts outside every view.
    pub hard_state: Option<HardState>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, and perhaps some before, in order.
    pub entries: Vec<Entry>,
}
