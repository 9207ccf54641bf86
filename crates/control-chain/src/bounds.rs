//! What keeps memory, disk and messages small whatever the size of entries.
use crate::core::Core;

/// One that is behind is sent so many messages at a time.
const MESSAGES_AT_A_TIME: usize = 6;
/// A capture is due when the entries since the last have so many bytes.
const CAPTURE_BYTES: usize = 4 << 20;
/// The head takes no more commands while so many bytes of them are not acknowledged.
const OPEN_BYTES: usize = 8 << 20;

impl Core {
    pub(crate) fn capture_due(&self) -> bool {
        let due = self.log.len() >= self.capture_every || self.log_bytes(0) >= CAPTURE_BYTES;
        due && !self.capturing && self.state.seq > self.capture.0
    }

    /// How many bytes the entries beyond this one have.
    fn log_bytes(&self, beyond: u64) -> usize {
        let entries = self.log.iter().rev().take_while(|(seq, _)| *seq > beyond);
        entries.map(|(_, entry)| entry.as_slice().len()).sum()
    }

    /// Whether the head must take no more for now: its disk stalls, or too much waits to be acknowledged.
    pub(crate) fn overfull(&self) -> bool {
        self.stalled() || self.log_bytes(self.committed) > OPEN_BYTES
    }

    /// Sends one that is behind what it lacks, as much as is sent at a time.
    pub(crate) fn send_lacked(&mut self, to: u32, mut first: u64) {
        for _ in 0..MESSAGES_AT_A_TIME {
            if first <= self.synced {
                first = self.send_from(to, first) + 1;
            }
        }
    }
}
