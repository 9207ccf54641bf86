//! Calls that go on while a drill does something else, and tell when their first piece has come.
use crate::checks::{CheckedResponse, call_telling};
use crate::job::Job;
use std::time::Duration;

/// A call that goes on in a thread of its own.
pub struct Begun {
    thread: std::thread::JoinHandle<CheckedResponse>,
    first: std::sync::mpsc::Receiver<()>,
}

impl Begun {
    /// Whether its caller has had the head of an answer and the first piece, within a time.
    /// ```
    /// use test_doubles::{job::Job, begun::begin};
    /// let call = begin(Job::plain("127.0.0.1:1", "key", "prompt", 4));
    /// assert!(!call.has_piece(std::time::Duration::from_secs(5)), "nobody is there");
    /// ```
    pub fn has_piece(&self, wait: Duration) -> bool {
        self.first.recv_timeout(wait).is_ok()
    }

    /// Waits for its end.
    /// ```
    /// use test_doubles::{job::Job, begun::begin};
    /// assert!(begin(Job::plain("127.0.0.1:1", "key", "prompt", 4)).end().truncated, "nobody is there");
    /// ```
    pub fn end(self) -> CheckedResponse {
        self.thread.join().unwrap_or_default()
    }
}

/// Begins a call.
/// ```
/// use test_doubles::{job::Job, begun::begin};
/// let call = begin(Job::plain("127.0.0.1:1", "key", "prompt", 4));
/// assert!(call.end().truncated, "nobody is there");
/// ```
pub fn begin(job: Job) -> Begun {
    let (sender, first) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || call_telling(&job, &|| _ = sender.send(())));
    Begun { thread, first }
}
