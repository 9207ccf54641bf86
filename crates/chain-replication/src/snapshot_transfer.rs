//! Snapshots on their way from one replica to another: in parts, checked by a digest, resumed where they were
//! interrupted, and bounded at both ends.
use crate::log::{Position, Snapshot};
use crate::timing::SNAPSHOT_RETENTION;
use fleet_common::Bytes;
use sha2::{Digest, Sha256};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The most bytes of a snapshot that one message carries.
pub const PART_BYTES: usize = 256 << 10;
/// So many parts are sent at a time.
const PARTS_PER_BURST: usize = 8;
/// A snapshot of more bytes is not received.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

fleet_common::messages! {
    /// A part of a snapshot, with what is needed to put it together and to check it.
    pub struct SnapshotPart {
        /// The sender's view.
        pub view: u64,
        /// The position of the snapshot.
        pub at: Position,
        /// The size of the whole snapshot.
        pub total_bytes: u64,
        /// The digest of the whole snapshot.
        pub sha256: Bytes,
        /// Where in the snapshot the part begins.
        pub offset: u64,
        /// The part itself.
        pub bytes: Bytes,
    }

    /// How much of a snapshot a replica has received; its heartbeats tell. Number 0 stands for none.
    pub struct SnapshotProgress {
        /// The number of the last entry that the snapshot covers.
        pub seq: u64,
        /// So many bytes from its beginning.
        pub received_bytes: u64,
    }
}

impl SnapshotProgress {
    /// Nothing is being received.
    pub const NONE: SnapshotProgress = SnapshotProgress { seq: 0, received_bytes: 0 };
}

/// The sending side: one snapshot at a time, the same for all followers until none of them asks any more.
#[derive(Clone, Debug, Default)]
pub struct SnapshotSender {
    outgoing: Option<Outgoing>,
}

#[derive(Clone, Debug)]
struct Outgoing {
    snapshot: Snapshot,
    sha256: Bytes,
    last_asked: Duration,
}

impl SnapshotSender {
    /// The next parts for a follower that has received so much. A snapshot that is being sent is sent on, so that a
    /// newer one does not make every follower start over; otherwise `newest` is begun.
    pub fn parts(
        &mut self,
        now: Duration,
        view: u64,
        newest: &Snapshot,
        progress: &SnapshotProgress,
    ) -> Vec<SnapshotPart> {
        if self.position_in_use(now).is_none() {
            let sha256 = Sha256::digest(newest.state.as_slice()).to_vec().into();
            self.outgoing = Some(Outgoing { snapshot: newest.clone(), sha256, last_asked: now });
        }
        let Some(outgoing) = self.outgoing.as_mut() else { return Vec::new() };
        outgoing.last_asked = now;
        outgoing.parts_from(view, progress)
    }

    /// The position of the snapshot that a follower is still receiving: entries after it are wanted.
    pub fn position_in_use(&self, now: Duration) -> Option<&Position> {
        let outgoing = self.outgoing.as_ref().filter(|outgoing| outgoing.is_in_use(now));
        outgoing.map(|outgoing| &outgoing.snapshot.at)
    }

    /// Gives up what is being sent.
    pub fn stop(&mut self) {
        self.outgoing = None;
    }

    /// Feeds what decides the next parts to `hasher`. Times count relative to `now`.
    pub(crate) fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        let outgoing = self.outgoing.as_ref().filter(|outgoing| outgoing.is_in_use(now));
        outgoing.map(|outgoing| (&outgoing.snapshot, now - outgoing.last_asked)).hash(hasher);
    }
}

impl Outgoing {
    fn is_in_use(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_asked) < SNAPSHOT_RETENTION
    }

    fn parts_from(&self, view: u64, progress: &SnapshotProgress) -> Vec<SnapshotPart> {
        let state = self.snapshot.state.as_slice();
        let is_resumed = progress.seq == self.snapshot.at.seq;
        let first = if is_resumed { (progress.received_bytes as usize).min(state.len()) } else { 0 };
        let part = |offset: usize| SnapshotPart {
            view,
            at: self.snapshot.at.clone(),
            total_bytes: state.len() as u64,
            sha256: self.sha256.clone(),
            offset: offset as u64,
            bytes: state[offset..(offset + PART_BYTES).min(state.len())].to_vec().into(),
        };
        (first..state.len()).step_by(PART_BYTES).take(PARTS_PER_BURST).map(part).collect()
    }
}

/// Why parts could not be put together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The sender announces more bytes than a snapshot may have.
    #[error("a snapshot of {total_bytes} bytes is too large")]
    TooLarge {
        /// What the sender announces.
        total_bytes: u64,
    },
    /// The received bytes do not have the digest that came with them.
    #[error("the snapshot at {seq} does not have its digest")]
    Damaged {
        /// The number of the last entry that it covers.
        seq: u64,
    },
}

/// The receiving side.
#[derive(Clone, Debug, Default, Hash)]
pub struct SnapshotReceiver {
    incoming: Option<Incoming>,
}

#[derive(Clone, Debug, Hash)]
struct Incoming {
    at: Position,
    total_bytes: u64,
    sha256: Bytes,
    received: Vec<u8>,
}

impl SnapshotReceiver {
    /// Takes a part: gives the snapshot once it is complete and has its digest. A part that does not follow what was
    /// received is ignored; it comes again from where [`SnapshotReceiver::progress`] says.
    pub fn take(&mut self, part: SnapshotPart) -> Result<Option<Snapshot>, SnapshotError> {
        if part.total_bytes > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLarge { total_bytes: part.total_bytes });
        }
        let is_same = |incoming: &Incoming| incoming.at == part.at && incoming.sha256 == part.sha256;
        if !self.incoming.as_ref().is_some_and(is_same) {
            let (at, total_bytes, sha256) = (part.at.clone(), part.total_bytes, part.sha256.clone());
            self.incoming = Some(Incoming { at, total_bytes, sha256, received: Vec::new() });
        }
        let Some(incoming) = self.incoming.as_mut() else { return Ok(None) };
        if part.offset != incoming.received.len() as u64 {
            return Ok(None);
        }
        incoming.received.extend_from_slice(part.bytes.as_slice());
        if (incoming.received.len() as u64) < incoming.total_bytes {
            return Ok(None);
        }
        self.finish()
    }

    fn finish(&mut self) -> Result<Option<Snapshot>, SnapshotError> {
        let Some(complete) = self.incoming.take() else { return Ok(None) };
        let sha256 = Sha256::digest(&complete.received);
        if complete.received.len() as u64 != complete.total_bytes || sha256[..] != *complete.sha256.as_slice() {
            return Err(SnapshotError::Damaged { seq: complete.at.seq });
        }
        Ok(Some(Snapshot { at: complete.at, state: complete.received.into() }))
    }

    /// How much was received.
    pub fn progress(&self) -> SnapshotProgress {
        self.incoming.as_ref().map_or(SnapshotProgress::NONE, |incoming| SnapshotProgress {
            seq: incoming.at.seq,
            received_bytes: incoming.received.len() as u64,
        })
    }
}
