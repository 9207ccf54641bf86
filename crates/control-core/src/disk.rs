//! The disk: `sled` with one tree, each ticket one atomic batch. sled's flush only asks for a file
//! range to be written and leaves metadata and drive caches alone (seen with strace), so the file is
//! synced here as well, and a small mark beside it says how far: sled cuts a damaged end away without
//! a word, and the mark is how that shows.
use control_chain::core::{Found, Record};
use control_chain::view::{CoreAt, Meta, View};
use deku::{DekuContainerRead, DekuContainerWrite};
use fleet_common::hash;
use std::fs::File;
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

/// Below this much free space nothing more is written: sled must never meet a full disk midway.
const SPARE_BYTES: u64 = 24 << 20;

const LOCK_TRIES: usize = 40;
const LOCK_WAIT: std::time::Duration = std::time::Duration::from_millis(50);

/// Where records go. The driver knows nothing else of disks.
pub trait Store: Send {
    fn keep(&mut self, records: &[Record]) -> io::Result<()>;
    fn sync(&mut self) -> io::Result<()>;
}

pub struct SledStore {
    db: sled::Db,
    files: Vec<File>,
    mark: File,
    upto: u64,
    folder: PathBuf,
    pub spare_bytes: u64,
}

fn fault(e: impl std::fmt::Display) -> String {
    format!("disk: {e}")
}

fn entry_key(seq: u64) -> Vec<u8> {
    [b"e".as_slice(), &seq.to_be_bytes()].concat()
}

fn write_mark(mark: &mut File, upto: u64) -> io::Result<()> {
    let sum = hash::mix(upto ^ 0x6d61_726b);
    mark.rewind()?;
    mark.write_all(&[upto.to_le_bytes(), sum.to_le_bytes()].concat())?;
    mark.sync_data()
}

fn read_mark(mark: &mut File) -> Option<u64> {
    let mut bytes = [0u8; 16];
    mark.read_exact(&mut bytes).ok()?;
    let upto = u64::from_le_bytes(bytes[..8].try_into().ok()?);
    (hash::mix(upto ^ 0x6d61_726b).to_le_bytes() == bytes[8..]).then_some(upto)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Syncs the files into which sled puts large values.
/// ```
/// control_core::disk::sync_blobs(std::path::Path::new("/nonexistent")).unwrap();
/// ```
pub fn sync_blobs(folder: &Path) -> io::Result<()> {
    let blobs = std::fs::read_dir(folder).into_iter().flatten().flatten();
    for blob in blobs {
        match File::open(blob.path()) {
            Ok(file) => file.sync_all()?,
            // sled removes blobs that a later capture replaced, also while we look.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Opens sled; its lock may still be held for a moment by one that is just ending.
fn open_sled(path: &Path) -> Result<sled::Db, String> {
    for _ in 0..LOCK_TRIES {
        match sled::Config::new().path(path).flush_every_ms(None).cache_capacity(8 << 20).open() {
            Ok(db) => return Ok(db),
            Err(sled::Error::Io(e)) if e.to_string().contains("could not acquire lock") => {
                std::thread::sleep(LOCK_WAIT)
            }
            Err(e) => return Err(format!("the state on disk is damaged: {e}")),
        }
    }
    Err("another process uses this data folder".into())
}

/// Whether a core's state was ever kept in this folder.
/// ```
/// assert!(!control_core::disk::used(std::path::Path::new("/nonexistent")));
/// ```
pub fn used(folder: &Path) -> bool {
    folder.join("mark").exists()
}

/// Opens the state in a folder, formatting an empty one. A fleet is founded to bear the loss of so many.
/// ```
/// let path = std::env::temp_dir().join(format!("coursebend-open-{}", std::process::id()));
/// let (_store, found) = control_core::disk::open(&path, Some(1), &[]).unwrap();
/// assert_eq!(found.meta.unwrap().incarnation, 1);
/// assert!(control_core::disk::used(&path));
/// # std::fs::remove_dir_all(path).unwrap();
/// ```
pub fn open(folder: &Path, found_fleet: Option<u32>, cores: &[CoreAt]) -> Result<(SledStore, Found), String> {
    std::fs::create_dir_all(folder).map_err(fault)?;
    let mark_path = folder.join("mark");
    let used = used(folder);
    if used && found_fleet.is_some() {
        return Err("this disk has held a core before: --found is only for an empty one".into());
    }
    if !used && folder.join("state").exists() {
        // Formatting was cut short before the mark was there: nothing was ever promised from here.
        std::fs::remove_dir_all(folder.join("state")).map_err(fault)?;
    }
    let db = open_sled(&folder.join("state"))?;
    let files =
        vec![File::open(folder.join("state/db")).map_err(fault)?, File::open(folder.join("state")).map_err(fault)?];
    let options = || std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&mark_path);
    let mark = if used { Some(options().map_err(fault)?) } else { None };
    if let Some(mut mark) = mark {
        let upto = read_mark(&mut mark).ok_or("the state on disk is damaged: its mark cannot be read")?;
        let store = SledStore { db, files, mark, upto, folder: folder.into(), spare_bytes: SPARE_BYTES };
        let found = store.load()?;
        return Ok((store, found));
    }
    let (incarnation, view) = match found_fleet {
        Some(tolerance) => (1, View::founding(cores.to_vec(), tolerance)),
        None => (hash::unique(), View::outside(cores.to_vec())),
    };
    let meta = Meta { incarnation, view, promised: 0, accepted: vec![].into(), full: found_fleet.is_some().into() };
    db.insert("m", meta.to_bytes().map_err(fault)?).map_err(fault)?;
    db.flush().map_err(fault)?;
    files.iter().try_for_each(|f| f.sync_all()).map_err(fault)?;
    let mut mark = options().map_err(fault)?;
    write_mark(&mut mark, 0).map_err(fault)?;
    sync_folder(folder).map_err(fault)?;
    let store = SledStore { db, files, mark, upto: 0, folder: folder.into(), spare_bytes: SPARE_BYTES };
    Ok((store, Found { meta: Some(meta), ..Found::default() }))
}

impl SledStore {
    fn load(&self) -> Result<Found, String> {
        let get = |key: &[u8]| self.db.get(key).map_err(|e| format!("the state on disk is damaged: {e}"));
        let meta = get(b"m")?.ok_or("the state on disk is damaged: no meta record")?;
        let ((rest, _), meta) = Meta::from_bytes((&meta, 0)).map_err(|e| format!("the meta record is damaged: {e}"))?;
        if !rest.is_empty() {
            return Err("the meta record is damaged: bytes left over".into());
        }
        let capture = match get(b"c")? {
            Some(value) if value.len() >= 8 => {
                Some((u64::from_be_bytes(value[..8].try_into().unwrap_or_default()), value[8..].to_vec()))
            }
            Some(_) => return Err("the capture on disk is damaged".into()),
            None => None,
        };
        let mut entries = Vec::new();
        for pair in self.db.scan_prefix(b"e") {
            let (key, value) = pair.map_err(|e| format!("the state on disk is damaged: {e}"))?;
            let seq = key[1..].try_into().map(u64::from_be_bytes).map_err(|_| "an entry's key is damaged")?;
            entries.push((seq, value.to_vec().into()));
        }
        let last = entries.last().map(|(seq, _)| *seq).max(capture.as_ref().map(|(seq, _)| *seq)).unwrap_or(0);
        if last < self.upto {
            return Err(format!("the state on disk is damaged: it ends at {last}, synced was {}", self.upto));
        }
        Ok(Found { meta: Some(meta), capture, entries })
    }

    fn free_bytes(&self) -> u64 {
        use std::os::unix::ffi::OsStrExt;
        let Ok(path) = std::ffi::CString::new(self.folder.as_os_str().as_bytes()) else {
            return 0;
        };
        let mut facts: libc::statvfs = unsafe { std::mem::zeroed() };
        if unsafe { libc::statvfs(path.as_ptr(), &mut facts) } != 0 {
            return 0;
        }
        facts.f_bavail as u64 * facts.f_frsize as u64
    }
}

impl Store for SledStore {
    fn keep(&mut self, records: &[Record]) -> io::Result<()> {
        if self.free_bytes() < self.spare_bytes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut batch = sled::Batch::default();
        for record in records {
            match record {
                Record::Meta(meta) => batch.insert(b"m", meta.to_bytes().map_err(io::Error::other)?),
                Record::Entry(seq, bytes) => {
                    batch.insert(entry_key(*seq), bytes.as_slice());
                    self.upto = self.upto.max(*seq);
                }
                Record::Capture(seq, bytes) => {
                    batch.insert(b"c", [&seq.to_be_bytes(), bytes.as_slice()].concat());
                    for key in self.db.range(entry_key(0)..=entry_key(*seq)).keys() {
                        batch.remove(key?);
                    }
                    self.upto = self.upto.max(*seq);
                }
                Record::Wipe => {
                    batch.remove(b"c");
                    for key in self.db.scan_prefix(b"e").keys() {
                        batch.remove(key?);
                    }
                    self.upto = 0;
                    // The mark goes first: a wipe cut short must not look like damage.
                    write_mark(&mut self.mark, 0)?;
                }
            }
        }
        self.db.apply_batch(batch)?;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.db.flush()?;
        for file in &self.files {
            file.sync_all()?;
        }
        sync_blobs(&self.folder.join("state/blobs"))?;
        write_mark(&mut self.mark, self.upto)
    }
}
