//! Threads with a name, a bounded stack and a bounded count. `std::thread::spawn` panics where no thread can be had;
//! here that is an error, so that whoever wanted one can shed load or try again.
use crate::{process, ring};
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// The stack of a thread that serves one connection or one peer, in bytes.
pub const SMALL_STACK: usize = 256 << 10;
/// The stack of any other thread, in bytes.
pub const STACK: usize = 2 << 20;
/// Stacks take one part of so many of a bounded address space: an allocation for which none is left ends the process.
const STACKS_SHARE: u64 = 3;
/// How long `start` waits before it asks for a thread again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

static LIMIT: AtomicUsize = AtomicUsize::new(usize::MAX);
static LIVE: AtomicUsize = AtomicUsize::new(0);

/// Why a thread could not be had.
#[derive(Debug, thiserror::Error)]
pub enum ThreadError {
    /// All threads that this process may have are in use.
    #[error("no thread for {name}: all {limit} of this process are in use")]
    LimitReached {
        /// The thread's name.
        name: String,
        /// How many threads the process may have.
        limit: usize,
    },
    /// The system refused to start one.
    #[error("no thread for {name}: {source}")]
    Refused {
        /// The thread's name.
        name: String,
        /// The system's error.
        source: io::Error,
    },
}

/// Bounds how many threads of this module this process may have at once. Where its address space is bounded, their stacks
/// may take no more than a part of that. Without a call there is no bound but the machine's.
/// ```
/// fleet_common::threads::set_limit(600);
/// assert!(fleet_common::threads::limit() <= 600);
/// ```
pub fn set_limit(limit: usize) {
    let fitting = process::address_space_bytes().map(|bytes| (bytes / STACKS_SHARE) as usize / SMALL_STACK);
    LIMIT.store(limit.min(fitting.unwrap_or(limit)), Ordering::Release);
}

/// The bound on threads of this process.
/// ```
/// assert!(fleet_common::threads::limit() > 0);
/// ```
pub fn limit() -> usize {
    LIMIT.load(Ordering::Acquire)
}

/// How many threads of this module run.
/// ```
/// assert!(fleet_common::threads::live() < 1000);
/// ```
pub fn live() -> usize {
    LIVE.load(Ordering::Acquire)
}

/// Counts a thread as live until it ends, by a panic too.
struct Place;

impl Place {
    fn take(name: &str) -> Result<Place, ThreadError> {
        let limit = limit();
        let taken = LIVE.fetch_update(Ordering::AcqRel, Ordering::Acquire, |live| (live < limit).then_some(live + 1));
        taken.map(|_| Place).map_err(|_| ThreadError::LimitReached { name: name.to_string(), limit })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        LIVE.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Starts a thread, with a stack of so many bytes. The error says that none could be had; the body is dropped then.
/// ```
/// use fleet_common::threads::{SMALL_STACK, spawn_named};
/// assert_eq!(spawn_named("sum", SMALL_STACK, || 1 + 1).unwrap().join().unwrap(), 2);
/// ```
pub fn spawn_named<T: Send + 'static>(
    name: &str,
    stack: usize,
    body: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, ThreadError> {
    let place = Place::take(name)?;
    let run = move || {
        let _place = place;
        body()
    };
    let started = Builder::new().name(name.to_string()).stack_size(stack).spawn(run);
    started.map_err(|source| ThreadError::Refused { name: name.to_string(), source })
}

/// Starts a thread that its process cannot do without: asks again until one can be had, and only then returns.
/// ```
/// let (tell, told) = std::sync::mpsc::channel();
/// fleet_common::threads::start("teller", fleet_common::threads::STACK, move || tell.send(7).unwrap());
/// assert_eq!(told.recv(), Ok(7));
/// ```
pub fn start(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) {
    let body = Arc::new(Mutex::new(Some(body)));
    let mut noted = false;
    loop {
        let held = body.clone();
        let run = move || {
            let body = held.lock().unwrap_or_else(PoisonError::into_inner).take();
            if let Some(body) = body {
                body();
            }
        };
        match spawn_named(name, stack, run) {
            Ok(_) => return,
            Err(error) => {
                if !std::mem::replace(&mut noted, true) {
                    ring::info(&format!("{error}; trying again"));
                }
                std::thread::sleep(RETRY_AFTER);
            }
        }
    }
}

/// Calls `body` until it returns: a panic is logged, and the body called again after a while. For what a process cannot do
/// without, where a step that fails leaves nothing behind that the next one relies on.
/// ```
/// let mut left = 2;
/// fleet_common::threads::restart_on_panic(|| {
///     left -= 1;
///     assert_eq!(left, 0, "panics once");
/// });
/// ```
pub fn restart_on_panic(mut body: impl FnMut()) {
    while std::panic::catch_unwind(AssertUnwindSafe(&mut body)).is_err() {
        std::thread::sleep(RETRY_AFTER);
    }
}

/// As [`start`], with a body that is called again after a panic.
/// ```
/// let (tell, told) = std::sync::mpsc::channel();
/// let mut left = 2;
/// fleet_common::threads::start_restarting("teller", fleet_common::threads::STACK, move || {
///     left -= 1;
///     assert_eq!(left, 0, "panics once");
///     tell.send(7).unwrap();
/// });
/// assert_eq!(told.recv(), Ok(7));
/// ```
pub fn start_restarting(name: &str, stack: usize, body: impl FnMut() + Send + 'static) {
    start(name, stack, move || restart_on_panic(body));
}
