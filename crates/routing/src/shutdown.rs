//! Graceful shutdown of a router, as a state machine without I/O: which requests it still admits, when it admits none any
//! more, and when the process may end.
//!
//! A router that is asked to stop drains first: clients are still sent to it until their load balancer has noticed that it
//! is not ready, so it admits them, as long as their requests can be finished in time. Then it is closed: what still comes
//! is rejected at once. It is done when nothing is unfinished, or when its grace period is over.
use crate::run_times::RunTimes;
use std::time::Duration;

/// When a rejected client may come back: at once, as other routers serve it. Not zero, so that a client that is rejected
/// again and again does not spin.
pub const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// The times of a shutdown, which follow from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// From the warning until the process must have ended.
    pub grace: Duration,
    /// How long clients may be sent here after the router began to answer that it is not ready.
    pub withdrawal: Duration,
    /// After so many answers that it is not ready nobody is sent here any more; 0 if that is not known.
    pub not_ready_answers: u32,
    /// What was sent here before the last of these answers arrives within this time.
    pub transit: Duration,
}

/// The state of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not asked to stop.
    Serving,
    /// Answers that it is not ready, and admits requests all the same. Connections end with their next response.
    Draining,
    /// Admits nothing new, and finishes what it has.
    Closed,
    /// May end: nothing is left, or no time is.
    Done,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken.
    Admit,
    /// It is rejected.
    Reject {
        /// When the client may come back.
        retry_after: Duration,
    },
}

/// A shutdown. All times are of one monotonic clock.
#[derive(Clone, Debug)]
pub struct Shutdown {
    limits: ShutdownLimits,
    phase: Phase,
    warned_at: Duration,
    closes_at: Duration,
    not_ready_answers: u32,
    run_times: RunTimes,
}

impl Shutdown {
    /// A router that serves.
    pub fn new(limits: ShutdownLimits) -> Self {
        Shutdown {
            limits,
            phase: Phase::Serving,
            warned_at: Duration::ZERO,
            closes_at: Duration::ZERO,
            not_ready_answers: 0,
            run_times: RunTimes::new(limits.grace),
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Changed limits, before or during a shutdown. A closed router does not open again.
    pub fn set_limits(&mut self, limits: ShutdownLimits) {
        self.limits = limits;
    }

    /// The router is asked to stop. Only the first time counts.
    pub fn start_draining(&mut self, now: Duration) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining;
            self.warned_at = now;
            self.closes_at = now + self.limits.withdrawal;
        }
    }

    /// A load balancer was answered that the router is not ready.
    pub fn answered_not_ready(&mut self, now: Duration) {
        if self.phase != Phase::Draining {
            return;
        }
        self.not_ready_answers += 1;
        if self.not_ready_answers == self.limits.not_ready_answers {
            self.closes_at = self.closes_at.min(now + self.limits.transit);
        }
    }

    /// A request has run for so long on a route.
    pub fn record_run_time(&mut self, now: Duration, route: u64, took: Duration) {
        self.run_times.record(now, route, took);
    }

    /// Whether a request is taken that may run no longer than `most`. While draining it must be one that ends in time,
    /// by its bound or by the longest run of late on its route.
    pub fn admit(&mut self, now: Duration, route: u64, most: Duration) -> Admission {
        let refuse = Admission::Reject { retry_after: RETRY_ELSEWHERE };
        match self.phase {
            Phase::Serving => Admission::Admit,
            Phase::Draining if now < self.closes_at => {
                let longest = self.run_times.longest(route).min(most);
                if now + longest <= self.ends_at() { Admission::Admit } else { refuse }
            }
            _ => refuse,
        }
    }

    /// Moves on as time passes and work ends; gives the phase. What is unfinished is whatever must not be cut: open
    /// connections, or requests that are being answered.
    pub fn advance(&mut self, now: Duration, unfinished: usize) -> Phase {
        if self.phase == Phase::Closed && unfinished == 0 {
            self.phase = Phase::Done;
        }
        if self.phase == Phase::Draining && now >= self.closes_at {
            self.phase = Phase::Closed;
        }
        if self.phase > Phase::Serving && now >= self.ends_at() {
            self.phase = Phase::Done;
        }
        self.phase
    }

    /// How long until time alone changes the phase.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        let next = match self.phase {
            Phase::Serving | Phase::Done => return None,
            Phase::Draining => self.closes_at.min(self.ends_at()),
            Phase::Closed => self.ends_at(),
        };
        Some(next.saturating_sub(now))
    }

    fn ends_at(&self) -> Duration {
        self.warned_at + self.limits.grace
    }
}
