//! The operations that the log needs of a directory, behind a trait so that tests can replace the disk.
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A directory of files. Written data is durable once the file is synced, a removal once the directory is.
pub trait LogDirectory: Send {
    /// The names of all files.
    fn file_names(&self) -> io::Result<Vec<String>>;
    /// A file's content.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Writes at an offset in bytes; creates the file where there is none.
    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file's data and length.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs creations and removals of files.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Free space on the file system, in bytes.
    fn free_bytes(&self) -> u64;
}

/// A directory of the local file system, locked against other processes until this value is dropped.
pub struct LocalDirectory {
    path: PathBuf,
    open_files: HashMap<String, File>,
    _lock: File,
}

const LOCK_ATTEMPTS: usize = 40;
const LOCK_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

impl LocalDirectory {
    /// Opens a directory, creating it where there is none. A process that is just ending may still hold its
    /// lock, so locking is attempted for two seconds.
    /// ```
    /// use control_server::directory::{LocalDirectory, LogDirectory};
    /// let path = std::env::temp_dir().join(format!("coursebend-folder-{}", std::process::id()));
    /// let mut directory = LocalDirectory::open(&path).unwrap();
    /// directory.write("a", 0, b"x").unwrap();
    /// directory.sync("a").unwrap();
    /// assert_eq!(directory.read("a").unwrap(), b"x");
    /// # std::fs::remove_dir_all(path).unwrap();
    /// ```
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path.join("lock"))?;
        for _ in 0..LOCK_ATTEMPTS {
            match lock.try_lock() {
                Err(std::fs::TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY_DELAY),
                // Where there are no locks, nothing is gained by refusing to run.
                _ => return Ok(LocalDirectory { path: path.into(), open_files: HashMap::new(), _lock: lock }),
            }
        }
        Err(io::Error::new(io::ErrorKind::ResourceBusy, "another process uses this data folder"))
    }

    fn open_file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open_files.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
            self.open_files.insert(name.into(), file);
        }
        self.open_files.get(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl LogDirectory for LocalDirectory {
    fn file_names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.open_file(name)?.write_all_at(bytes, at)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    /// Unknown free space counts as enough: a write to a full disk fails, and its torn frame is ignored.
    fn free_bytes(&self) -> u64 {
        let Ok(path) = std::ffi::CString::new(self.path.as_os_str().as_bytes()) else {
            return u64::MAX;
        };
        let mut facts: libc::statvfs = unsafe { std::mem::zeroed() };
        if unsafe { libc::statvfs(path.as_ptr(), &mut facts) } != 0 {
            return u64::MAX;
        }
        facts.f_bavail as u64 * facts.f_frsize as u64
    }
}
