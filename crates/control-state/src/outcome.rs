//! What came of a command, as whoever sent it is told.
use serde::{Deserialize, Serialize};

/// The code of an accepted command.
pub const ACCEPTED_CODE: u16 = 202;
/// The code that says that nobody can tell whether the command was accepted.
pub const UNKNOWN_CODE: u16 = 503;

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// After HTTP: 202 is accepted, 503 unknown, others are rejections.
    pub code: u16,
    /// The source that the command is about.
    pub source: String,
    /// The version of that source that holds after the command.
    pub version: u64,
    /// For people.
    pub detail: String,
}

/// How an outcome is to be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The command took effect, or had already.
    Accepted,
    /// It has no effect and never will.
    Rejected,
    /// Nobody can say: it may have taken effect earlier. It may be sent again.
    Unknown,
}

impl Outcome {
    /// Whether the command took effect, or had already.
    pub fn accepted(&self) -> bool {
        self.verdict() == Verdict::Accepted
    }

    /// What the code says.
    pub fn verdict(&self) -> Verdict {
        match self.code {
            UNKNOWN_CODE => Verdict::Unknown,
            code if code < 300 => Verdict::Accepted,
            _ => Verdict::Rejected,
        }
    }
}
