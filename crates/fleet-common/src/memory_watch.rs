//! Says in the log when a process comes near the memory of its machine: beyond that it is killed, and says nothing any more.
use crate::process::peak_memory_bytes;
use crate::ring;
use crate::threads::{self, SMALL_STACK};
use std::time::Duration;

/// Parts of the machine's memory whose first use is worth a line, in percent.
const MARKS_PERCENT: [u64; 4] = [50, 75, 90, 100];
/// How often the peak is looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
const BYTES_PER_MIB: u64 = 1 << 20;

/// Which marks the peak of a process has passed.
#[derive(Clone, Debug)]
pub struct MemoryMarks {
    limit_bytes: u64,
    passed: usize,
}

impl MemoryMarks {
    /// Marks on the way to a limit.
    /// ```
    /// let mut marks = fleet_common::memory_watch::MemoryMarks::new(200);
    /// assert_eq!((marks.pass(99), marks.pass(160), marks.pass(170)), (None, Some(75), None));
    /// ```
    pub fn new(limit_bytes: u64) -> MemoryMarks {
        MemoryMarks { limit_bytes, passed: 0 }
    }

    /// The highest mark, in percent, that was passed for the first time with this peak.
    pub fn pass(&mut self, peak_bytes: u64) -> Option<u64> {
        let is_passed =
            |percent: &&u64| u128::from(peak_bytes) * 100 >= u128::from(self.limit_bytes) * u128::from(**percent);
        let passed = MARKS_PERCENT.iter().take_while(is_passed).count();
        let has_passed_more = passed > self.passed;
        self.passed = self.passed.max(passed);
        has_passed_more.then(|| MARKS_PERCENT[passed - 1])
    }
}

/// Watches the memory of this process, on a thread of its own.
/// ```
/// fleet_common::memory_watch::start(1 << 40);
/// ```
pub fn start(limit_bytes: u64) {
    let mut marks = MemoryMarks::new(limit_bytes);
    threads::start("memory", SMALL_STACK, move || {
        loop {
            let peak_bytes = peak_memory_bytes();
            if let Some(percent) = marks.pass(peak_bytes) {
                let (peak, limit) = (peak_bytes / BYTES_PER_MIB, limit_bytes / BYTES_PER_MIB);
                ring::announce(&format!(
                    "memory: over {percent}% of the machine's {limit} MiB were in use, {peak} MiB"
                ));
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
    });
}
