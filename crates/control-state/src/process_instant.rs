//! Instants by a process's own monotonic clock, also such as were before the process began.
use std::time::Duration;

/// An instant by a process's own monotonic clock, which may lie before the start of the process. Two processes cannot
/// compare theirs: they tell each other ages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessInstant {
    micros: i64,
}

impl ProcessInstant {
    /// The instant at which the process's clock showed `clock`.
    pub fn at(clock: Duration) -> Self {
        ProcessInstant { micros: i64::try_from(clock.as_micros()).unwrap_or(i64::MAX) }
    }

    /// The instant `age_ms` milliseconds before the clock showed `clock`.
    /// ```
    /// use control_state::process_instant::ProcessInstant;
    /// use std::time::Duration;
    /// let instant = ProcessInstant::before(Duration::from_secs(1), 3000);
    /// assert_eq!(instant.age(Duration::from_secs(5)), Duration::from_secs(7));
    /// ```
    pub fn before(clock: Duration, age_ms: u64) -> Self {
        let age_micros = i64::try_from(age_ms).unwrap_or(i64::MAX).saturating_mul(1000);
        ProcessInstant { micros: Self::at(clock).micros.saturating_sub(age_micros) }
    }

    /// How long ago this was when the clock shows `clock`; zero where it lies ahead.
    pub fn age(self, clock: Duration) -> Duration {
        let micros = Self::at(clock).micros.saturating_sub(self.micros);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    /// The instant `length` later.
    pub fn plus(self, length: Duration) -> Self {
        ProcessInstant { micros: self.micros.saturating_add(Self::at(length).micros) }
    }

    /// How long it is until this instant when the clock shows `clock`; zero where it has passed.
    pub fn remaining(self, clock: Duration) -> Duration {
        let micros = self.micros.saturating_sub(Self::at(clock).micros);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}
