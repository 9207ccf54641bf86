//! A signal that is given once; any number of threads may wait for it together with their sockets.
use fleet_common::ring;
use std::io::{PipeReader, PipeWriter, pipe};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// A latch: a pipe whose reading end reports a hang-up once the latch is released. Where no pipe was available, the
/// latch can still be asked whether it is released, but wakes nobody.
pub struct Latch {
    released: AtomicBool,
    reader: Option<PipeReader>,
    writer: Mutex<Option<PipeWriter>>,
}

impl Default for Latch {
    fn default() -> Self {
        let pipe = pipe().inspect_err(|error| ring::info(&format!("no pipe for a latch: {error}"))).ok();
        let (reader, writer) = pipe.unzip();
        Latch { released: false.into(), reader, writer: Mutex::new(writer) }
    }
}

impl Latch {
    /// Releases the latch, and wakes all who wait for it.
    /// ```
    /// let latch = http_streams::latch::Latch::default();
    /// latch.release();
    /// assert!(latch.is_released());
    /// ```
    pub fn release(&self) {
        self.released.store(true, Ordering::Release);
        *self.writer.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Whether it is released.
    /// ```
    /// assert!(!http_streams::latch::Latch::default().is_released());
    /// ```
    pub fn is_released(&self) -> bool {
        self.released.load(Ordering::Acquire)
    }

    /// The descriptor that reports a hang-up once the latch is released.
    pub(crate) fn descriptor(&self) -> Option<BorrowedFd<'_>> {
        self.reader.as_ref().map(|reader| reader.as_fd())
    }
}
