//! Writes that the disk has not yet synced, in order, and what follows from each once it is durable. A promise, a vote
//! or an acknowledgement leaves a replica only from here: what it says it must still know after a loss of power.
use crate::ballot::Ballot;
use crate::log::{Position, Snapshot};
use crate::message::Message;
use crate::timing::DISK_STALL_TIMEOUT;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Names a write. Later writes of one process have greater ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

/// What follows once a write is durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AfterSync {
    /// Entries up to this position count as synced.
    Entries(Position),
    /// The log may be compacted to this snapshot.
    Snapshot(Snapshot),
    /// That this replica holds all entries in this view counts.
    HoldsAll {
        /// The number of the view.
        view: u64,
    },
    /// The ballot is this replica's own from here on: the voters may be asked.
    Prepare {
        /// The number of the view that is proposed.
        view_number: u64,
        /// The ballot of the proposal.
        ballot: Ballot,
    },
    /// A message that relies on what was written is sent.
    Send {
        /// The receiver's id.
        to: u32,
        /// The message.
        message: Message,
    },
    /// Nothing waits for it.
    Nothing,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    id: WriteId,
    issued_at: Duration,
    after: AfterSync,
}

/// The writes that are not yet synced, oldest first.
#[derive(Clone, Debug, Default)]
pub struct WriteQueue {
    pending: VecDeque<PendingWrite>,
    issued: u64,
}

impl WriteQueue {
    /// Issues the id of a write that starts at `now`.
    pub fn push(&mut self, now: Duration, after: AfterSync) -> WriteId {
        self.issued += 1;
        let id = WriteId(self.issued);
        self.pending.push_back(PendingWrite { id, issued_at: now, after });
        id
    }

    /// Takes the oldest write that is synced when all up to `up_to` are.
    pub fn pop_synced(&mut self, up_to: WriteId) -> Option<AfterSync> {
        if self.pending.front()?.id > up_to {
            return None;
        }
        self.pending.pop_front().map(|write| write.after)
    }

    /// Whether a ballot of this replica, `me`, or its vote on a proposal of its own is not yet synced.
    pub fn holds_vote_of(&self, me: u32) -> bool {
        self.pending.iter().any(|write| match &write.after {
            AfterSync::Prepare { .. } => true,
            AfterSync::Send { to, .. } => *to == me,
            _ => false,
        })
    }

    /// Whether the oldest write has waited for longer than a healthy disk takes.
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.pending.front().is_some_and(|write| now.saturating_sub(write.issued_at) > DISK_STALL_TIMEOUT)
    }

    /// Feeds what decides later steps to `hasher`. Ids count from the newest one, times from `now`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        for write in &self.pending {
            let waited = crate::fingerprint::age(now, write.issued_at, DISK_STALL_TIMEOUT);
            (self.issued - write.id.0, waited, &write.after).hash(hasher);
        }
    }
}
