//! What a core reacts to and what it wants done.
use crate::message::{Beat, Chain, Sent};
use crate::view::Meta;
use fleet_common::Bytes;
use fleet_common::ask::{Answer, Ask};
use std::time::Duration;

/// What goes to disk, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    Meta(Meta),
    Entry(u64, Bytes),
    /// A capture that replaces entries up to its sequence number.
    Capture(u64, Bytes),
    /// Forget all entries and captures: this disk's past is not the chain's.
    Wipe,
}

/// What a core reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Heard(Sent),
    /// All records of tickets up to this one are synced, or the disk failed.
    Synced(u64, bool),
    /// This machine is to stop: leave the chain first.
    Leave,
    /// Someone asks; the token names whom to answer.
    Asked(u64, Ask),
}

/// What a core wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(u8, Chain),
    Keep(u64, Vec<Record>),
    Answer(u64, Answer),
    Note(String),
}

/// What to do once a ticket's records are synced.
pub(crate) enum After {
    Entries(u64),
    Captured(u64, Bytes),
    Say(u8, Chain),
    Nothing,
}

pub(crate) struct Heard {
    pub at: Duration,
    pub incarnation: u64,
    pub beat: Beat,
}

/// What was found on disk at the start.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub meta: Option<Meta>,
    pub capture: Option<(u64, Vec<u8>)>,
    pub entries: Vec<(u64, Bytes)>,
}
