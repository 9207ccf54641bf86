//! Errors that carry the step and the colleague at which they arose.
use std::fmt;

/// What was being done when something went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Connect,
    Listen,
    Send,
    Receive,
    Decode,
    Disk,
    Settings,
    Blueprint,
    Pull,
    Events,
    Ferry,
    Handover,
    Command,
    Query,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_lowercase())
    }
}

/// A mishap: step, colleague and what happened.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("{step} with {colleague}: {what}")]
pub struct Mishap {
    pub step: Step,
    pub colleague: String,
    pub what: String,
}

impl Mishap {
    /// Makes a mishap of anything that can be shown.
    /// ```
    /// use fleet_common::{Mishap, Step};
    /// let mishap = Mishap::at(Step::Send, "core-2", "stream reset");
    /// assert_eq!(mishap.to_string(), "send with core-2: stream reset");
    /// ```
    pub fn at(step: Step, colleague: impl fmt::Display, what: impl fmt::Display) -> Self {
        Mishap { step, colleague: colleague.to_string(), what: what.to_string() }
    }
}
