//! The durable log: checksummed frames in one segment file, synced once for all writes of a batch. A snapshot starts a
//! new segment with all records that are still needed, and the old one is removed once the new one is durable. A
//! watermark file beside it records how far the log was synced, so that damage is never taken for a torn end.
use crate::directory::{LocalDirectory, LogDirectory};
use crate::segment::{LogContents, Replay, append_frame, is_of_former_release, replay};
pub use crate::store::{OpenError, RecordStore};
use crate::watermark::{SLOT_OFFSETS, WATERMARK_FILE, decode_slot, encode_slot};
use chain_replication::ballot::Ballot;
use chain_replication::step::{Record, RecoveredDisk};
use chain_replication::view::MemberAddress;
use std::io;
use std::path::Path;

/// Below this much free space, in bytes, records are rejected, so that a new segment can still be written.
const RESERVED_BYTES: u64 = 8 << 20;
/// A segment that grew beyond this many bytes is rewritten without waiting for a snapshot.
const SEGMENT_BYTES_MAX: u64 = 24 << 20;
const PROBE_FILE: &str = "probe";
const PROBE_CHUNK_BYTES: usize = 1 << 20;
const PROBE_CHUNKS: u64 = 6;
/// The log in a directory.
pub struct LogStore {
    files: Box<dyn LogDirectory>,
    contents: LogContents,
    segment: u64,
    synced_bytes: u64,
    checksum: u64,
    /// Which of the first two watermark slots names this segment.
    valid_slot: Option<usize>,
    pending: Vec<u8>,
    needs_rewrite: bool,
    /// Below this much free space, in bytes, records are rejected.
    pub reserved_bytes: u64,
}

fn segment_name(segment: u64) -> String {
    format!("segment-{segment}")
}

fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix("segment-")?.parse().ok()
}

/// Whether a control replica ever kept its state in this directory.
/// ```
/// assert!(!control_server::log_store::is_initialized(std::path::Path::new("/nonexistent")));
/// ```
pub fn is_initialized(folder: &Path) -> bool {
    folder.join(WATERMARK_FILE).exists()
}

/// Opens the log in a directory, formatting an empty one. With `found_fleet` a new cluster is founded that tolerates the
/// loss of so many members.
/// ```
/// let path = std::env::temp_dir().join(format!("coursebend-open-{}", std::process::id()));
/// let (_store, found) = control_server::log_store::open(&path, Some(1), &[]).unwrap();
/// assert_eq!(found.hard_state.unwrap().incarnation, 1);
/// assert!(control_server::log_store::is_initialized(&path));
/// # std::fs::remove_dir_all(path).unwrap();
/// ```
pub fn open(
    folder: &Path,
    found_fleet: Option<u32>,
    cores: &[MemberAddress],
) -> Result<(LogStore, RecoveredDisk), OpenError> {
    LogStore::open(Box::new(LocalDirectory::open(folder)?), found_fleet, cores)
}

impl LogStore {
    /// Opens the log in any kind of directory.
    /// ```
    /// use control_server::{log_store::LogStore, directory::LocalDirectory};
    /// let path = std::env::temp_dir().join(format!("coursebend-log-{}", std::process::id()));
    /// let (store, _) = LogStore::open(Box::new(LocalDirectory::open(&path).unwrap()), Some(1), &[]).unwrap();
    /// assert!(store.contents().meta.is_some());
    /// # std::fs::remove_dir_all(path).unwrap();
    /// ```
    pub fn open(
        files: Box<dyn LogDirectory>,
        found_fleet: Option<u32>,
        cores: &[MemberAddress],
    ) -> Result<(Self, RecoveredDisk), OpenError> {
        let names = files.file_names()?;
        let used = names.iter().any(|name| name == WATERMARK_FILE);
        if used && found_fleet.is_some() {
            return Err(OpenError::AlreadyUsed);
        }
        let segments: Vec<u64> = names.iter().filter_map(|name| segment_number(name)).collect();
        let (held, kept, marked) = match used {
            true if files.free_bytes() < RESERVED_BYTES => {
                return Err(OpenError::Io(io::ErrorKind::StorageFull.into()));
            }
            true => newest_complete_segment(files.as_ref(), segments.clone())?,
            // Formatting was interrupted before the watermark was written: this member never promised anything.
            false => (LogContents::initial(found_fleet, cores), 0, None),
        };
        let last = segments.iter().copied().max().unwrap_or(0);
        let found = held.found();
        let spare_bytes = RESERVED_BYTES;
        let mut store = LogStore {
            files,
            contents: held,
            segment: last,
            synced_bytes: 0,
            checksum: 0,
            valid_slot: marked,
            pending: vec![],
            needs_rewrite: true,
            reserved_bytes: spare_bytes,
        };
        if names.iter().any(|name| name == PROBE_FILE) {
            store.files.remove(PROBE_FILE)?;
        }
        // What was read need not be durable yet, as the process that wrote it may have been killed before its sync, nor ever
        // become so after a sync that failed. So the log is rewritten, and all that it could be read from instead stays
        // until that is durable. Newer segments could not be read, and take room.
        let (former, unreadable): (Vec<u64>, Vec<u64>) =
            segments.into_iter().filter(|segment| *segment != kept).partition(|segment| *segment < kept);
        store.remove_segments(&unreadable)?;
        store.rewrite_watermark()?;
        store.rewrite(kept)?;
        store.remove_segments(&former)?;
        Ok((store, found))
    }

    fn remove_segments(&mut self, segments: &[u64]) -> io::Result<()> {
        segments.iter().try_for_each(|segment| self.files.remove(&segment_name(*segment)))
    }

    /// Makes the valid slot of the watermark durable, before the other one is written.
    fn rewrite_watermark(&mut self) -> io::Result<()> {
        let Some(slot) = self.valid_slot else { return Ok(()) };
        let mark = self.files.read(WATERMARK_FILE)?;
        let Some((segment, length)) = decode_slot(&mark, SLOT_OFFSETS[slot]) else { return Ok(()) };
        self.files.write(WATERMARK_FILE, SLOT_OFFSETS[slot], &encode_slot(segment, length))?;
        self.files.sync(WATERMARK_FILE)
    }

    /// The records of the log, folded together, synced or not.
    /// ```no_run
    /// # fn example(store: control_server::log_store::LogStore) {
    /// println!("{} entries", store.contents().entries.len());
    /// # }
    /// ```
    pub fn contents(&self) -> &LogContents {
        &self.contents
    }

    fn rewrite(&mut self, old: u64) -> io::Result<()> {
        let mut bytes = Vec::new();
        self.checksum = append_frame(&mut bytes, 0, &self.contents.records())?;
        self.segment += 1;
        let file = segment_name(self.segment);
        self.files.write(&file, 0, &bytes)?;
        self.files.sync(&file)?;
        self.files.sync_directory()?;
        self.synced_bytes = bytes.len() as u64;
        (self.needs_rewrite, self.pending) = (false, Vec::new());
        // The newest slot that is known to be valid stays untouched, should this write be torn.
        let places = self.valid_slot.map_or(0..2, |good| 1 - good..2 - good);
        for at in &SLOT_OFFSETS[places.clone()] {
            self.files.write(WATERMARK_FILE, *at, &encode_slot(self.segment, self.synced_bytes))?;
        }
        self.files.sync(WATERMARK_FILE)?;
        self.valid_slot = Some(places.start);
        match old {
            0 => self.files.sync_directory(),
            _ => self.files.remove(&segment_name(old)),
        }
    }
}

/// The newest complete segment, checked against the watermark; also gives its number and which of the two slots
/// names the newest.
fn newest_complete_segment(
    files: &dyn LogDirectory,
    mut segments: Vec<u64>,
) -> Result<(LogContents, u64, Option<usize>), OpenError> {
    let damaged = |what: String| OpenError::Damaged(what);
    let mark = files.read(WATERMARK_FILE)?;
    let synced = (0..2).filter_map(|at| Some((decode_slot(&mark, SLOT_OFFSETS[at])?, at))).max();
    let Some((synced, place)) = synced else {
        return match read_unmarked(files, &segments)? {
            Some((held, number)) => Ok((held, number, None)),
            None => Err(damaged("its mark cannot be read".into())),
        };
    };
    let (segment, length) = decode_slot(&mark, SLOT_OFFSETS[2]).map_or(synced, |last| last.max(synced));
    segments.sort();
    for number in segments.into_iter().rev() {
        let bytes = files.read(&segment_name(number))?;
        if is_of_former_release(&bytes) {
            return Err(OpenError::FormerRelease);
        }
        let Replay { contents: held, valid_bytes: whole, .. } = replay(&bytes);
        if held.meta.is_none() && number > segment {
            // Writing it was interrupted: the segment before it is complete.
            continue;
        }
        if number < segment || (number == segment && (whole as u64) < length) {
            return Err(damaged(format!("segment {number} is whole up to {whole}, synced was {segment}/{length}")));
        }
        return Ok((held, number, Some(place)));
    }
    Err(damaged(format!("segment {segment} is gone")))
}

/// A power loss while a directory was formatted may leave an empty watermark file; the member has promised nothing
/// then.
fn read_unmarked(files: &dyn LogDirectory, segments: &[u64]) -> io::Result<Option<(LogContents, u64)>> {
    let mut numbers = segments.to_vec();
    numbers.sort();
    for number in numbers.into_iter().rev() {
        let bytes = files.read(&segment_name(number))?;
        let Replay { contents: held, valid_bytes: whole, .. } = replay(&bytes);
        let Some(meta) = held.meta.clone() else { continue };
        let mut once = Vec::new();
        append_frame(&mut once, 0, &held.records())?;
        let fresh = meta.promised_ballot == Ballot::NONE && meta.accepted.items().is_empty() && meta.view.number <= 1;
        let bare = held.records().len() == 1 && once == bytes[..whole];
        return Ok(Some((held, number)).filter(|_| fresh && bare));
    }
    Ok(None)
}

impl RecordStore for LogStore {
    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let first = self.pending.is_empty() && !self.needs_rewrite;
        if first && self.files.free_bytes() < self.reserved_bytes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        for record in records {
            self.contents.apply(record);
            self.needs_rewrite |= matches!(record, Record::Snapshot(_) | Record::Truncate(_));
        }
        self.needs_rewrite |= self.synced_bytes + self.pending.len() as u64 > SEGMENT_BYTES_MAX;
        if !self.needs_rewrite && !records.is_empty() {
            self.checksum = append_frame(&mut self.pending, self.checksum, records)?;
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.needs_rewrite {
            return self.rewrite(self.segment);
        }
        let file = segment_name(self.segment);
        self.files.write(&file, self.synced_bytes, &self.pending)?;
        self.files.sync(&file)?;
        self.synced_bytes += self.pending.len() as u64;
        self.pending.clear();
        self.files.write(WATERMARK_FILE, SLOT_OFFSETS[2], &encode_slot(self.segment, self.synced_bytes))
    }

    fn check_writable(&mut self) -> io::Result<()> {
        let part = vec![0; PROBE_CHUNK_BYTES];
        let write = |at| self.files.write(PROBE_FILE, at * PROBE_CHUNK_BYTES as u64, &part);
        let written = (0..PROBE_CHUNKS).try_for_each(write).and_then(|_| self.files.sync(PROBE_FILE));
        self.files.remove(PROBE_FILE).and(written)
    }
}
