//! What a replica starts from: the log and the state that its disk held. What cannot be read is damage, and never taken
//! for an empty disk: a replica that forgot what it acknowledged must not go on as the same member.
use crate::log::{Entry, Position, ReplicationLog, Snapshot};
use control_state::command::CommandRequest;
use control_state::state::State;

/// Why a replica cannot start from what its disk held.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The snapshot does not decode, or is of another position than it says.
    #[error("the snapshot at {seq} cannot be read")]
    UnreadableSnapshot {
        /// The number of the last entry that it covers.
        seq: u64,
    },
    /// The entries have a gap.
    #[error("entry {seq} is missing")]
    MissingEntry {
        /// The number of the entry.
        seq: u64,
    },
    /// An entry does not decode.
    #[error("entry {seq} cannot be read")]
    UnreadableEntry {
        /// The number of the entry.
        seq: u64,
    },
    /// The state of an empty disk does not encode.
    #[error("the empty state cannot be written: {reason}")]
    UnwritableState {
        /// What the encoder says.
        reason: String,
    },
}

/// The log and the state that a snapshot and the entries after it stand for.
pub(crate) fn restore(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Result<(ReplicationLog, State), StartError> {
    let (snapshot, mut state) = match snapshot {
        Some(snapshot) => {
            let state = state_of(&snapshot)?;
            (snapshot, state)
        }
        None => (empty_snapshot()?, State::default()),
    };
    let mut log = ReplicationLog::after(snapshot);
    for entry in entries {
        let next = log.last().seq + 1;
        if entry.at.seq < next {
            continue;
        }
        if entry.at.seq > next {
            return Err(StartError::MissingEntry { seq: next });
        }
        let command = entry.command.as_slice();
        let request = CommandRequest::decode(command).ok_or(StartError::UnreadableEntry { seq: next })?;
        state.apply(&request);
        log.append(entry);
    }
    Ok((log, state))
}

fn state_of(snapshot: &Snapshot) -> Result<State, StartError> {
    let state = State::decode(snapshot.state.as_slice()).filter(|state| state.seq == snapshot.at.seq);
    state.ok_or(StartError::UnreadableSnapshot { seq: snapshot.at.seq })
}

fn empty_snapshot() -> Result<Snapshot, StartError> {
    let state = State::default().encode().map_err(|error| StartError::UnwritableState { reason: error.to_string() })?;
    Ok(Snapshot { at: Position::START, state: state.into() })
}
