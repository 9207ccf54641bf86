//! Snapshots of a table, for the index node that shadows it and for the one that owns it next; and which versions of an
//! owner's filters may be trusted.
use crate::replica_weights::ReplicaWeights;
use crate::table::{PrefixTable, TableSize};
use fleet_common::rpc::TableSnapshot;
use std::time::Duration;

impl PrefixTable {
    /// A snapshot under the owner's fencing token.
    pub fn snapshot(&self, replica: &str, fencing_token: u64) -> TableSnapshot {
        let hashes = |doubtful: bool| -> Vec<u64> {
            let matching = self.entries.iter().filter(|(_, since)| since.is_some() == doubtful);
            matching.map(|(hash, _)| *hash).collect()
        };
        TableSnapshot {
            replica: replica.into(),
            fencing_token,
            incarnation: self.incarnation.as_str().into(),
            weights: self.weights.only().into(),
            sequence: self.next_sequence,
            blocks: hashes(false).into(),
            doubtful: hashes(true).into(),
        }
    }

    /// Starts from a snapshot. Events after it are asked for from its sequence number on.
    pub fn from_snapshot(size: TableSize, now: Duration, snapshot: &TableSnapshot) -> Self {
        let mut table = PrefixTable::new(size, now);
        table.incarnation = snapshot.incarnation.to_string();
        table.weights = ReplicaWeights::of_only_model(snapshot.weights.as_str());
        table.next_sequence = snapshot.sequence;
        for hash in snapshot.blocks.items() {
            table.store(*hash);
        }
        for hash in snapshot.doubtful.items() {
            table.store(*hash);
            table.entries.insert(*hash, Some(now));
        }
        table
    }

    /// The first version of the filter that may be trusted: what was sent before the replica was restarted or cleared its
    /// cache may not.
    pub fn minimum_version(&self) -> u64 {
        self.minimum_version
    }

    /// Whether the filter is to be sent: after so many changes, or because the one sent last may not be trusted.
    pub fn push_is_due(&self, changes_per_push: u64) -> bool {
        self.changes_since_push >= changes_per_push || self.last_push_is_outdated()
    }

    /// Whether the filter sent last may not be trusted any more.
    pub(crate) fn last_push_is_outdated(&self) -> bool {
        self.version < self.minimum_version
    }

    /// Another owner, or the same under another fencing token: its versions count anew.
    pub(crate) fn restart_versions(&mut self) {
        self.version = 0;
        self.minimum_version = 1;
    }
}
