//! The disk's thread: syncs many writes at once, and opens the disk again after it failed.
use crate::handle::Event;
use crate::log_store::{OpenError, RecordStore};
use chain_replication::step::{Record, RecoveredDisk};
use chain_replication::write_queue::WriteId;
use crossbeam::channel::{Receiver, Sender};
use fleet_common::threads::{self, STACK};
use fleet_common::{PeerError, Step, ring};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

const RETRY_DELAY: Duration = Duration::from_millis(300);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);
/// A disk that worked for so long after a failure counts as healthy: its backoff starts again.
const HEALTHY_AFTER: Duration = Duration::from_secs(30);

/// Records to make durable, of the replica that was started from this opening of the disk.
pub(crate) struct WriteRequest {
    pub opening: u64,
    pub write_id: WriteId,
    pub records: Vec<Record>,
}

/// What the disk's thread is asked for.
pub(crate) enum DiskRequest {
    /// Make records durable.
    Write(WriteRequest),
    /// Read all from the disk again: the replica of this opening cannot go on.
    Reopen {
        /// The number of the opening.
        opening: u64,
    },
}

type OpenResult = Result<(Box<dyn RecordStore>, RecoveredDisk), OpenError>;

/// A log that can be opened again after its disk failed.
pub struct ReopeningStore {
    open: Box<dyn FnMut() -> OpenResult + Send>,
    first: Option<(Box<dyn RecordStore>, RecoveredDisk)>,
}

/// What to do where a log cannot be opened for a reason that time alone does not mend: it is damaged, or not ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnusableLog {
    /// The program is to end, and says why.
    Fail,
    /// The control replica stays out until somebody has repaired or replaced the disk.
    WaitForRepair,
}

impl ReopeningStore {
    /// Opens the log. An I/O error is retried later; other errors as `unusable` says.
    /// ```
    /// use control_server::{log_store::OpenError, disk_thread::{ReopeningStore, UnusableLog}};
    /// let damaged = || Err(OpenError::Damaged("its mark cannot be read".into()));
    /// assert!(ReopeningStore::open(UnusableLog::Fail, Box::new(damaged)).is_err());
    /// assert!(ReopeningStore::open(UnusableLog::WaitForRepair, Box::new(damaged)).is_ok());
    /// let full = || Err(OpenError::Io(std::io::ErrorKind::StorageFull.into()));
    /// assert!(ReopeningStore::open(UnusableLog::Fail, Box::new(full)).is_ok());
    /// ```
    pub fn open(unusable: UnusableLog, mut open: Box<dyn FnMut() -> OpenResult + Send>) -> Result<Self, OpenError> {
        let first = match without_panic(&mut *open) {
            Ok(first) => Some(first),
            Err(fault) if unusable == UnusableLog::WaitForRepair || matches!(fault, OpenError::Io(_)) => {
                ring::error(&PeerError::at(Step::Disk, "own disk", fault));
                None
            }
            Err(fault) => return Err(fault),
        };
        Ok(ReopeningStore { open, first })
    }

    /// What was recovered, if the disk could be opened at once.
    /// ```
    /// use control_server::{log_store::OpenError, disk_thread::{ReopeningStore, UnusableLog}};
    /// let full = || Err(OpenError::Io(std::io::ErrorKind::StorageFull.into()));
    /// assert!(ReopeningStore::open(UnusableLog::Fail, Box::new(full)).unwrap().recovered().is_none());
    /// ```
    pub fn recovered(&self) -> Option<&RecoveredDisk> {
        self.first.as_ref().map(|(_, found)| found)
    }

    pub(crate) fn spawn(mut self, jobs: Receiver<DiskRequest>, inbox: Sender<Event>) {
        let first = self.first.take().map(|(store, found)| {
            let _ = inbox.send(Event::Opened(1, found));
            store
        });
        threads::start("disk", STACK, move || {
            if first.is_some_and(|store| !write_batches(store, 1, &jobs, &inbox)) {
                return;
            }
            let (mut wait, mut opened) = (RETRY_DELAY / 2, Instant::now());
            for opening in 2.. {
                // Backoff: a member whose disk fails again and again stays out for longer each time.
                wait = if opened.elapsed() > HEALTHY_AFTER { RETRY_DELAY } else { (wait * 2).min(RETRY_DELAY_MAX) };
                std::thread::sleep(wait);
                let (store, found) = self.reopen(&jobs);
                opened = Instant::now();
                if inbox.send(Event::Opened(opening, found)).is_err() || !write_batches(store, opening, &jobs, &inbox) {
                    return;
                }
            }
        });
    }

    /// Opens the log as soon as it can be read and written. A fault is logged where it differs from the one before.
    fn reopen(&mut self, jobs: &Receiver<DiskRequest>) -> (Box<dyn RecordStore>, RecoveredDisk) {
        let mut logged = String::new();
        loop {
            let opened = without_panic(&mut || {
                let (mut store, found) = (self.open)()?;
                store.check_writable()?;
                Ok((store, found))
            });
            match opened {
                Ok(opened) => return opened,
                Err(fault) if fault.to_string() != logged => {
                    logged = fault.to_string();
                    ring::error(&PeerError::at(Step::Disk, "own disk", fault));
                }
                Err(_) => {}
            }
            // Writes of the former replica are dropped: nobody waits for them.
            while jobs.try_recv().is_ok() {}
            std::thread::sleep(RETRY_DELAY);
        }
    }
}

/// Opens the log; a panic on the way is a fault of what was read, and no end of the process or of the disk's thread.
fn without_panic(open: &mut dyn FnMut() -> OpenResult) -> OpenResult {
    let panicked = |_| Err(OpenError::Damaged("reading it panicked".into()));
    catch_unwind(AssertUnwindSafe(open)).unwrap_or_else(panicked)
}

/// As [`write_until_failure`]; a panic counts as a failure of the disk.
fn write_batches(
    store: Box<dyn RecordStore>,
    opening: u64,
    jobs: &Receiver<DiskRequest>,
    inbox: &Sender<Event>,
) -> bool {
    catch_unwind(AssertUnwindSafe(|| write_until_failure(store, opening, jobs, inbox))).unwrap_or(true)
}

/// Makes writes durable until the disk fails; `false` when nobody sends any more.
fn write_until_failure(
    mut store: Box<dyn RecordStore>,
    opening: u64,
    jobs: &Receiver<DiskRequest>,
    inbox: &Sender<Event>,
) -> bool {
    while let Ok(first) = jobs.recv() {
        let (mut last, mut kept) = (None, Ok(()));
        let mut next = Some(first);
        while let (Some(job), Ok(())) = (&next, &kept) {
            match job {
                DiskRequest::Write(write) if write.opening == opening => {
                    kept = store.append(&write.records);
                    last = Some(write.write_id);
                }
                DiskRequest::Reopen { opening: of } if *of == opening => return true,
                DiskRequest::Write(_) | DiskRequest::Reopen { .. } => {}
            }
            next = jobs.try_recv().ok();
        }
        let Some(up_to) = last else { continue };
        let synced = kept.and_then(|_| store.sync());
        if let Err(e) = &synced {
            ring::error(&PeerError::at(Step::Disk, "own disk", e));
        }
        if inbox.send(Event::Synced(opening, up_to, synced.is_ok())).is_err() {
            return false;
        }
        if synced.is_err() {
            return true;
        }
    }
    false
}
