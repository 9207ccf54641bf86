//! Where the log is written: standard error, without ever waiting for whoever reads it. A pipe that nobody reads, or a
//! terminal that was stopped, costs lines of the log and not the thread that has something to say.
use std::ffi::CString;
use std::os::fd::RawFd;
use std::sync::{Mutex, OnceLock, PoisonError};

/// Longest line, in bytes: a pipe with any room takes so much whole.
const MAX_LINE_BYTES: usize = 4096;
/// Standard error, opened once more: not waiting must not become a property of whoever shares it.
const OWN_STANDARD_ERROR: &str = "/proc/self/fd/2";

/// A descriptor to which lines are written as long as it takes them at once.
pub struct LogOutput {
    descriptor: RawFd,
    /// Lines that were not written since the last one that was.
    dropped: Mutex<u64>,
}

impl LogOutput {
    /// Writes to an open descriptor, which has to stay open.
    /// ```
    /// assert!(fleet_common::log_output::LogOutput::new(2).write_line("test", "starts"));
    /// ```
    pub const fn new(descriptor: RawFd) -> LogOutput {
        LogOutput { descriptor, dropped: Mutex::new(0) }
    }

    /// Writes a line of a program; `false` where it was dropped, as nobody takes it now. The next line that is written comes
    /// behind one that counts those that are missing.
    pub fn write_line(&self, program: &str, line: &str) -> bool {
        let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        let missing = format!("{program} {dropped} lines of the log are missing: nobody read it");
        if *dropped > 0 && !self.write(&missing) {
            *dropped += 1;
            return false;
        }
        *dropped = 0;
        let is_written = self.write(&format!("{program} {line}"));
        *dropped += u64::from(!is_written);
        is_written
    }

    fn write(&self, line: &str) -> bool {
        let mut bytes = line.as_bytes().to_vec();
        bytes.truncate(MAX_LINE_BYTES - 1);
        bytes.push(b'\n');
        takes_bytes(self.descriptor)
            && unsafe { libc::write(self.descriptor, bytes.as_ptr().cast(), bytes.len()) } == bytes.len() as isize
    }
}

/// Whether a write would not wait. A descriptor that cannot be asked is written to.
fn takes_bytes(descriptor: RawFd) -> bool {
    let mut row = libc::pollfd { fd: descriptor, events: libc::POLLOUT, revents: 0 };
    unsafe { libc::poll(&raw mut row, 1, 0) != 0 }
}

/// Standard error of this process.
pub(crate) fn standard_error() -> &'static LogOutput {
    static OUTPUT: OnceLock<LogOutput> = OnceLock::new();
    OUTPUT.get_or_init(|| LogOutput::new(open_without_waiting().unwrap_or(libc::STDERR_FILENO)))
}

/// A pipe may be shared with other processes, which may fill it between a look and a write: a description of its own that
/// never waits is safe from that. `None` where standard error is no pipe, or cannot be opened again.
fn open_without_waiting() -> Option<RawFd> {
    let mut status = std::mem::MaybeUninit::<libc::stat>::zeroed();
    if unsafe { libc::fstat(libc::STDERR_FILENO, status.as_mut_ptr()) } != 0 {
        return None;
    }
    // Filled by the call, and all zeros are valid as well.
    let mode = unsafe { status.assume_init() }.st_mode;
    if mode & libc::S_IFMT != libc::S_IFIFO {
        return None;
    }
    let path = CString::new(OWN_STANDARD_ERROR).ok()?;
    let descriptor = unsafe { libc::open(path.as_ptr(), libc::O_WRONLY | libc::O_NONBLOCK | libc::O_CLOEXEC) };
    (descriptor >= 0).then_some(descriptor)
}
