//! What tests that drive single replicas by hand share.
use control_chain::log::Position;
use control_chain::message::{Beat, Chain, Condition};
use control_chain::snapshots::SnapshotProgress;

/// The heartbeat of a fit replica whose log is empty.
pub fn empty_beat(view: u64, full: u8) -> Chain {
    Chain::Beat(Beat {
        view,
        synced: Position::START,
        committed: 0,
        full,
        condition: Condition::Fit,
        snapshot_at: Position::START,
        receiving: SnapshotProgress::NONE,
    })
}
