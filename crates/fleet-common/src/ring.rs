//! The log: a ring in memory, written out when something goes wrong, and little else.
use crate::{PeerError, Step, log_output};
use logforth::append::Append;
use std::collections::VecDeque;
use std::panic::PanicHookInfo;
use std::sync::{Mutex, OnceLock};

const LINES: usize = 512;
static RING: OnceLock<Mutex<Ring>> = OnceLock::new();

struct Ring {
    program: String,
    lines: VecDeque<String>,
    written_out: u64,
}

#[derive(Debug)]
struct IntoRing;

impl Append for IntoRing {
    fn append(
        &self,
        record: &logforth::record::Record<'_>,
        _: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        info(&format!("{} {}", record.level(), record.payload()));
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

fn ring() -> &'static Mutex<Ring> {
    RING.get_or_init(|| Mutex::new(Ring { program: "coursebend".into(), lines: VecDeque::new(), written_out: 0 }))
}

/// Names the program, puts the ring behind the `log` macros, and has panics of any thread logged as errors.
/// ```
/// fleet_common::ring::start("request-router");
/// ```
pub fn start(program: &str) {
    ring().lock().unwrap_or_else(|held| held.into_inner()).program = program.to_string();
    let _ = logforth::starter_log::builder().dispatch(|d| d.append(IntoRing)).try_apply();
    // Libraries tell every step they take; only their warnings are worth a line of the ring.
    log::set_max_level(log::LevelFilter::Warn);
    std::panic::set_hook(Box::new(log_panic));
}

fn log_panic(panic: &PanicHookInfo) {
    let thread = std::thread::current().name().unwrap_or("without a name").to_string();
    error(&PeerError::at(Step::Thread, thread, panic));
}

/// Keeps a line in the ring.
/// ```
/// fleet_common::ring::info("view 2 holds");
/// assert!(fleet_common::ring::lines().iter().any(|line| line.contains("view 2 holds")));
/// ```
pub fn info(line: &str) {
    let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let mut ring = ring().lock().unwrap_or_else(|held| held.into_inner());
    if ring.lines.len() == LINES {
        ring.lines.pop_front();
    }
    ring.lines.push_back(format!("{}.{:03} {line}", at.as_secs(), at.subsec_millis()));
}

/// Keeps a line in the ring, and writes it to standard error at once: for what must be known of a process that is gone.
/// ```
/// fleet_common::ring::announce("starts");
/// assert!(fleet_common::ring::lines().iter().any(|line| line.ends_with("starts")));
/// ```
pub fn announce(line: &str) {
    info(line);
    let program = ring().lock().unwrap_or_else(|held| held.into_inner()).program.clone();
    log_output::standard_error().write_line(&program, line);
}

/// The lines held now, oldest first.
/// ```
/// let _held: Vec<String> = fleet_common::ring::lines();
/// ```
pub fn lines() -> Vec<String> {
    ring().lock().unwrap_or_else(|held| held.into_inner()).lines.iter().cloned().collect()
}

/// Notes an error and writes the ring out to standard error; the ring is empty afterwards.
/// ```
/// use fleet_common::{PeerError, Step, ring};
/// ring::error(&PeerError::at(Step::Disk, "own disk", "no space left"));
/// ```
pub fn error(error: &PeerError) {
    info(&format!("ERROR {error}"));
    let (program, lines) = {
        let mut ring = ring().lock().unwrap_or_else(|held| held.into_inner());
        ring.written_out += 1;
        (ring.program.clone(), ring.lines.drain(..).collect::<Vec<_>>())
    };
    for line in lines {
        log_output::standard_error().write_line(&program, &line);
    }
}
