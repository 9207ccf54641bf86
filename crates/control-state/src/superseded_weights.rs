//! For how long weights may serve once newer ones were released.
use crate::process_instant::ProcessInstant;
use std::time::Duration;

/// The bounds on superseded weights, counted from the first newer release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededWeightsBound {
    /// How long they may serve; counted again from the start of a control process, which may have held the rollout up.
    pub interval: Duration,
    /// How long they may serve at the most, however often control processes start.
    pub total: Duration,
}

impl SupersededWeightsBound {
    /// Until when weights may serve that were superseded then, where a control process last started then.
    /// ```
    /// use control_state::process_instant::ProcessInstant;
    /// use control_state::superseded_weights::SupersededWeightsBound;
    /// use std::time::Duration;
    /// let at = |seconds| ProcessInstant::at(Duration::from_secs(seconds));
    /// let bound = SupersededWeightsBound { interval: Duration::from_secs(20), total: Duration::from_secs(28) };
    /// assert_eq!(bound.until(at(3), None), at(23));
    /// assert_eq!(bound.until(at(3), Some(at(6))), at(26));
    /// assert_eq!(bound.until(at(3), Some(at(18))), at(31));
    /// ```
    pub fn until(&self, superseded: ProcessInstant, control_restart: Option<ProcessInstant>) -> ProcessInstant {
        let from = control_restart.map_or(superseded, |restart| restart.max(superseded));
        from.plus(self.interval).min(superseded.plus(self.total))
    }

    /// Both bounds shorter by a margin.
    pub fn shortened_by(&self, margin: Duration) -> Self {
        let (interval, total) = (self.interval.saturating_sub(margin), self.total.saturating_sub(margin));
        SupersededWeightsBound { interval, total }
    }
}

/// A bound on one interval; half as long again in all.
impl From<Duration> for SupersededWeightsBound {
    fn from(interval: Duration) -> Self {
        SupersededWeightsBound { interval, total: interval.saturating_add(interval / 2) }
    }
}
