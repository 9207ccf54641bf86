//! Graceful shutdown of a server: its connections, its listener, and the state machine that says when each stops.
use http_streams::inbound::{Inbound, LimitsSource, ReadOutcome};
use http_streams::latch::Latch;
use http_streams::serve::Server;
use routing::shutdown::{Admission, Phase, Shutdown, ShutdownLimits};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What the threads share.
struct State {
    shutdown: Shutdown,
    open_connections: usize,
}

/// Coordinates the shutdown among all threads that serve clients.
pub struct ShutdownCoordinator {
    started_at: Instant,
    state: Mutex<State>,
    changed: Condvar,
    /// Released when draining starts: idle connections that have carried a request end.
    draining: Latch,
    /// Released when nothing new is accepted: connections that have not carried a request end too.
    closed: Latch,
}

/// A client's connection, counted as open until this is dropped.
pub struct ClientConnection<'a> {
    coordinator: &'a ShutdownCoordinator,
    used: bool,
}

impl ShutdownCoordinator {
    /// A server that is not stopping.
    /// ```
    /// use std::time::Duration;
    /// use routing::shutdown::ShutdownLimits;
    /// let second = Duration::from_secs(1);
    /// let limits = ShutdownLimits { grace: second * 8, withdrawal: second * 3, not_ready_answers: 2, transit: second };
    /// assert!(!stream_router::shutdown::ShutdownCoordinator::new(limits).is_draining());
    /// ```
    pub fn new(limits: ShutdownLimits) -> ShutdownCoordinator {
        ShutdownCoordinator {
            started_at: Instant::now(),
            state: Mutex::new(State { shutdown: Shutdown::new(limits), open_connections: 0 }),
            changed: Condvar::new(),
            draining: Latch::default(),
            closed: Latch::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether the server was told to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.is_released()
    }

    /// How many connections of clients are open.
    pub fn open_connections(&self) -> usize {
        self.state().open_connections
    }

    /// Counts a connection as open until the result is dropped.
    pub fn track_connection(&self) -> ClientConnection<'_> {
        self.state().open_connections += 1;
        ClientConnection { coordinator: self, used: false }
    }

    /// Counts an answer of the readiness page that the server is not ready.
    pub fn record_not_ready_answer(&self) {
        self.state().shutdown.answered_not_ready(self.now());
        self.changed.notify_all();
    }

    /// Whether a request is accepted that may run no longer than `max_run_time` on this route.
    pub fn admit(&self, route: u64, max_run_time: Duration) -> Admission {
        self.state().shutdown.admit(self.now(), route, max_run_time)
    }

    /// Records how long a request has run on this route.
    pub fn record_run_time(&self, route: u64, took: Duration) {
        self.state().shutdown.record_run_time(self.now(), route, took);
    }

    /// Drains and closes the server; returns when the process may end.
    /// ```no_run
    /// # fn show(coordinator: &stream_router::shutdown::ShutdownCoordinator, clients: &http_streams::serve::Server) {
    /// coordinator.drain(clients);
    /// std::process::exit(0);
    /// # }
    /// ```
    pub fn drain(&self, clients: &Server) {
        self.state().shutdown.start_draining(self.now());
        self.draining.release();
        let mut state = self.state();
        loop {
            let (now, open) = (self.now(), state.open_connections);
            match state.shutdown.advance(now, open) {
                Phase::Done => return,
                Phase::Closed if !self.closed.is_released() => {
                    drop(state);
                    clients.close();
                    self.closed.release();
                    state = self.state();
                }
                _ => {
                    let wait = state.shutdown.time_left(now).unwrap_or_default();
                    let woken = self.changed.wait_timeout(state, wait);
                    state = woken.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
        }
    }
}

impl ClientConnection<'_> {
    /// Reads the next request. An idle connection ends when the server drains; one that has not carried a request ends
    /// when the server is closed.
    pub fn next_request(&mut self, inbound: &mut Inbound, limits: &impl LimitsSource) -> ReadOutcome {
        let used = std::mem::replace(&mut self.used, true);
        let latch = if used { &self.coordinator.draining } else { &self.coordinator.closed };
        inbound.next_request(latch, limits)
    }
}

impl Drop for ClientConnection<'_> {
    fn drop(&mut self) {
        self.coordinator.state().open_connections -= 1;
        self.coordinator.changed.notify_all();
    }
}
