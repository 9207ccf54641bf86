//! Tells in the log why a router serves nothing: callers see a 503 alone.
use std::fmt;
use std::time::Duration;

/// Whether a router can serve, or what it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It serves.
    Ready,
    /// It was told to stop.
    Draining,
    /// No pull was confirmed lately.
    NoLease,
    /// No configuration of routes has come.
    NoConfiguration,
    /// No replicas are listed.
    NoReplicas,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Readiness::Ready => "serving",
            Readiness::Draining => "draining",
            Readiness::NoLease => "serving nothing: no lease",
            Readiness::NoConfiguration => "serving nothing: no configuration of routes",
            Readiness::NoReplicas => "serving nothing: no replicas are listed",
        })
    }
}

/// What was told last, and since when it holds.
#[derive(Clone, Debug, Default)]
pub struct ReadinessLog {
    last: Option<(Readiness, Duration)>,
}

impl ReadinessLog {
    /// The line that is due at a time, where something else holds than what was told last.
    /// ```
    /// use std::time::Duration;
    /// use stream_router::readiness_log::{Readiness, ReadinessLog};
    /// let mut log = ReadinessLog::default();
    /// assert_eq!(log.observe(Duration::ZERO, Readiness::NoLease).as_deref(), Some("serving nothing: no lease"));
    /// assert_eq!(log.observe(Duration::from_secs(1), Readiness::NoLease), None);
    /// assert_eq!(log.observe(Duration::from_secs(3), Readiness::Ready).as_deref(), Some("serving, after 3.0 s"));
    /// ```
    pub fn observe(&mut self, now: Duration, readiness: Readiness) -> Option<String> {
        let former = self.last.filter(|(last, _)| *last == readiness);
        if former.is_some() {
            return None;
        }
        let since = self.last.replace((readiness, now)).map(|(_, since)| now.saturating_sub(since));
        Some(match since {
            Some(since) => format!("{readiness}, after {:.1} s", since.as_secs_f64()),
            None => readiness.to_string(),
        })
    }
}
