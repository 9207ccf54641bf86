//! What to do when a try at a replica failed: again elsewhere, on from the last event, or say so. Plain
//! decisions over how far the request got.
use std::time::Duration;

/// How a try failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte left for the replica.
    Unsent,
    /// The replica says that it did not run it.
    Refused,
    /// The replica's own answer that it failed: it may have run.
    Failed(u16),
    /// The connection broke, or nothing came: nobody knows whether it ran.
    Unknown,
    /// No replica is fit to take it.
    NoPlace,
}

/// How far a request got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// It may run more than once.
    pub repeatable: bool,
    /// Its stream may go on at another replica.
    pub resumable: bool,
    /// To how many replicas it may be sent, and was.
    pub tries: u32,
    pub sent: u32,
    /// Tries that never left.
    pub unsent: u32,
    /// Whether it may have run.
    pub ran: bool,
    /// Whether its caller has had the head of an answer.
    pub answered: bool,
    /// Whether there is an event to go on after.
    pub after: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another replica.
    Again,
    /// Tell the caller: a status, and when to come back where it has not run.
    Tell(u16, Option<Duration>),
    /// Hand the replica's own answer on.
    HandOn,
    /// Cut the answer that was begun.
    Cut,
}

const UNSENT_MOST: u32 = 4;
const SOON: Duration = Duration::from_millis(100);

impl Progress {
    /// A request before its first try.
    /// ```
    /// use stream_router::progress::Progress;
    /// assert_eq!(Progress::new(false, false, 2).sent, 0);
    /// ```
    pub fn new(repeatable: bool, resumable: bool, tries: u32) -> Self {
        let (sent, unsent) = (0, 0);
        Progress { repeatable, resumable, tries: tries.max(1), sent, unsent, ran: false, answered: false, after: false }
    }

    /// What to do after a failure. `budget` is asked for leave to send again; what never left needs none.
    /// ```
    /// use stream_router::progress::{Failure, Next, Progress};
    /// let mut once = Progress { sent: 1, ..Progress::new(false, false, 3) };
    /// assert_eq!(once.after(&Failure::Refused, || true), Next::Again, "it has not run");
    /// once.sent = 2;
    /// assert_eq!(once.after(&Failure::Unknown, || true), Next::Tell(502, None), "it may have run");
    /// assert_eq!(once.after(&Failure::Refused, || true), Next::Tell(502, None), "and that stays so");
    /// ```
    pub fn after(&mut self, failure: &Failure, budget: impl FnOnce() -> bool) -> Next {
        self.ran |= matches!(failure, Failure::Failed(_) | Failure::Unknown);
        let may = match self.answered {
            true => self.resumable && self.after,
            false => self.repeatable || !self.ran,
        };
        let again = may
            && match failure {
                Failure::NoPlace => false,
                Failure::Unsent => {
                    self.unsent += 1;
                    self.unsent < UNSENT_MOST && self.sent < self.tries && (self.sent == 0 || budget())
                }
                _ => self.sent < self.tries && budget(),
            };
        match (again, self.answered, failure) {
            (true, ..) => Next::Again,
            (_, true, _) => Next::Cut,
            (_, _, Failure::Failed(_)) => Next::HandOn,
            _ if self.ran => Next::Tell(502, None),
            _ => Next::Tell(503, Some(SOON)),
        }
    }
}
