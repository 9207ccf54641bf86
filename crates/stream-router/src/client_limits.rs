//! The limits on clients by the configuration in force, and who waits by them.
use control_state::fleet::Fleet;
use http_streams::latch::Latch;
use http_streams::limits::Limits;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Wakes the connections that wait for a request when the limits change.
#[derive(Default)]
pub(crate) struct LimitsWatch {
    state: Mutex<WatchState>,
}

#[derive(Default)]
struct WatchState {
    /// The limits that were announced last.
    limits: Limits,
    /// Released at the next change.
    next_change: Arc<Latch>,
}

impl LimitsWatch {
    fn state(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A latch that is released at the next change.
    pub(crate) fn next_change(&self) -> Arc<Latch> {
        self.state().next_change.clone()
    }

    /// Takes the limits that hold from now on; where they are others than before, all who wait are woken.
    pub(crate) fn announce(&self, limits: Limits) {
        let mut state = self.state();
        if state.limits != limits {
            state.limits = limits;
            std::mem::take(&mut state.next_change).release();
        }
    }
}

/// What clients may send, by a version of the fleet.
pub(crate) fn limits_of(fleet: &Fleet) -> Limits {
    let Some(configuration) = &fleet.route_config else { return Limits::default() };
    let bounds = &configuration.bounds.value;
    Limits {
        header_bytes: bounds.header_bytes as usize,
        body_bytes: bounds.body_bytes as usize,
        header_timeout: Duration::from_millis(bounds.header_ms),
        idle_timeout: Duration::from_millis(bounds.idle_ms),
        ..Limits::default()
    }
}
