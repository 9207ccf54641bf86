//! What a process says of its own start and end, so that a log tells how often it started, and why it ended.
use crate::ring;
use std::mem::MaybeUninit;
use std::time::Instant;

const BYTES_PER_KIB: u64 = 1024;
const BYTES_PER_MIB: u64 = 1 << 20;

/// The most memory that this process has had resident so far, in bytes; 0 where the system does not say.
/// ```
/// assert!(fleet_common::process::peak_memory_bytes() > 0);
/// ```
pub fn peak_memory_bytes() -> u64 {
    let mut usage = MaybeUninit::<libc::rusage>::zeroed();
    if unsafe { libc::getrusage(libc::RUSAGE_SELF, usage.as_mut_ptr()) } != 0 {
        return 0;
    }
    // Filled by the call, and all zeros are valid as well.
    let usage = unsafe { usage.assume_init() };
    usage.ru_maxrss as u64 * BYTES_PER_KIB
}

/// Heaps of the allocator. More of them, one for each few threads and processor as is its custom, each keep what their threads
/// have freed, so that the memory of a process would grow with the processors of its machine.
#[cfg(target_env = "gnu")]
const HEAPS: libc::c_int = 2;
/// With this variable an operator chooses the number of heaps.
#[cfg(target_env = "gnu")]
const HEAPS_VARIABLE: &str = "MALLOC_ARENA_MAX";

/// Bounds the heaps of the C library's allocator, unless its own variable does. To be called before other threads start.
/// ```
/// fleet_common::process::bound_heaps();
/// ```
pub fn bound_heaps() {
    #[cfg(target_env = "gnu")]
    if std::env::var_os(HEAPS_VARIABLE).is_none() {
        unsafe { libc::mallopt(libc::M_ARENA_MAX, HEAPS) };
    }
}

/// The address space that this process may use, in bytes; `None` where it is not bounded.
/// ```
/// assert!(fleet_common::process::address_space_bytes().is_none_or(|bytes| bytes > 0));
/// ```
pub fn address_space_bytes() -> Option<u64> {
    let mut limit = libc::rlimit { rlim_cur: libc::RLIM_INFINITY, rlim_max: libc::RLIM_INFINITY };
    let is_known = unsafe { libc::getrlimit(libc::RLIMIT_AS, &mut limit) } == 0;
    (is_known && limit.rlim_cur != libc::RLIM_INFINITY).then_some(limit.rlim_cur)
}

/// One life of this process, announced in the log at its start and at its end.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLife {
    started_at: Instant,
}

impl ProcessLife {
    /// The life that begins now.
    /// ```
    /// let life = fleet_common::process::ProcessLife::start();
    /// life.announce("demo 1.0");
    /// life.announce_end("told to stop");
    /// assert!(fleet_common::ring::lines().iter().any(|line| line.contains("ends: told to stop")));
    /// ```
    pub fn start() -> ProcessLife {
        ProcessLife { started_at: Instant::now() }
    }

    /// Announces the start of a program.
    pub fn announce(&self, program: &str) {
        ring::announce(&format!("starts: {program}, process {}", std::process::id()));
    }

    /// Announces the end, with its cause.
    pub fn announce_end(&self, cause: &str) {
        let (lived, peak) = (self.started_at.elapsed(), peak_memory_bytes() / BYTES_PER_MIB);
        ring::announce(&format!("ends: {cause}, after {:.3} s, {peak} MiB of memory at the most", lived.as_secs_f64()));
    }
}
