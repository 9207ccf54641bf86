//! What a process has used, by the system's own account: /proc/PID/stat and /proc/PID/status.
use serde::{Deserialize, Serialize};

/// What one process used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    pub processor_seconds: f64,
    /// The same by the scheduler's account of the threads that live: finer than a tick, without those that ended.
    pub threads_seconds: f64,
    pub resident_bytes: f64,
    pub threads: f64,
}

/// Reads a usage from the texts of the two files; `None` where they are not as they should be.
/// ```
/// let stat = format!("7 (a b) S {} 30 12 0 0", "0 ".repeat(10).trim());
/// let used = scale_fleet::usage::read(&stat, "VmRSS:\t  4 kB\nThreads:\t3\n", 100.0).unwrap();
/// assert_eq!((used.processor_seconds, used.resident_bytes, used.threads), (0.42, 4096.0, 3.0));
/// ```
pub fn read(stat: &str, status: &str, ticks_a_second: f64) -> Option<Usage> {
    // The program's name may hold blanks: fields are counted from the bracket that ends it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let row = |name: &str| -> Option<f64> {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    Some(Usage {
        processor_seconds: ticks / ticks_a_second,
        threads_seconds: 0.0,
        resident_bytes: row("VmRSS:")? * 1024.0,
        threads: row("Threads:")?,
    })
}

/// What a running process used so far.
/// ```
/// assert!(scale_fleet::usage::of(std::process::id()).unwrap().resident_bytes > 0.0);
/// ```
pub fn of(process: u32) -> Option<Usage> {
    let file = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).ok();
    // SAFETY: sysconf reads a constant of the system.
    let ticks = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    let mut used = read(&file("stat")?, &file("status")?, ticks as f64)?;
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).ok()?.flatten();
    let texts = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
    let nanoseconds = texts.filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    used.threads_seconds = nanoseconds.sum::<f64>() / 1e9;
    Some(used)
}
