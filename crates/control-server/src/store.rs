//! The interface of a durable log, and why one cannot be opened.
use chain_replication::step::Record;
use std::io;

/// Why a log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The log is not what was synced: the member must not start from it.
    #[error("the state on disk is damaged: {0}")]
    Damaged(String),
    /// A cluster was to be founded on a disk that already has a log.
    #[error("this disk has held a core before: a fleet is founded on empty ones only")]
    AlreadyUsed,
    /// The log's format is that of a former release.
    #[error(
        "the log was written by a former release, whose format is not read: replace this machine's disk by an empty one"
    )]
    FormerRelease,
    /// An operation failed; a later attempt may succeed.
    #[error("disk: {0}")]
    Io(#[from] io::Error),
}

/// Where records are made durable.
pub trait RecordStore: Send {
    /// Adds records; they are durable after the next `sync`.
    fn append(&mut self, records: &[Record]) -> io::Result<()>;
    /// Makes all appended records durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Whether a disk that failed can be written again: writes and removes a probe file.
    fn check_writable(&mut self) -> io::Result<()>;
}
