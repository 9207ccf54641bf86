//! The platform's list of replicas, as the head follows it: what to put through the chain, and what to hold back. A
//! faulty list changes nothing; one that lost most of its rows at once is taken only when it stays so.
use crate::timing::{POLL_INTERVAL, POLL_TIMEOUT, SHRINK_CONFIRMATION};
use control_state::command::ReplicaInfo;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Why a list of the platform is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListingError {
    /// The platform gave no list. The reason is for logs.
    #[error("{reason}")]
    Unavailable {
        /// For logs.
        reason: String,
    },
    /// Two rows are of one replica.
    #[error("{id} is listed twice")]
    Duplicate {
        /// The id of the replica.
        id: String,
    },
}

/// What came of a poll: the rows, or why there are none.
pub type ListingResult = Result<Vec<ReplicaInfo>, ListingError>;

/// Limit on polls without a result: older ones count for nothing.
const MAX_PENDING_POLLS: usize = 64;

/// A poll without a result.
#[derive(Clone, Copy, Debug)]
struct PendingPoll {
    sent_at: Duration,
    /// The version of the list that was held then.
    version: u64,
}

/// Follows the platform's list while its control replica is head. A replica that stops being head forgets all of it.
#[derive(Clone, Debug, Default)]
pub struct ListingFollower {
    last_number: u64,
    /// The polls whose results may still be used, by their numbers.
    pending: BTreeMap<u64, PendingPoll>,
    last_poll_at: Option<Duration>,
    /// Since when each row that is held back has been missing.
    missing_since: BTreeMap<String, Duration>,
    error: Option<ListingError>,
}

/// What a poll's result leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListingChange {
    /// Replace the list, if it still has this version.
    Replace {
        /// The new list, by id.
        replicas: Vec<ReplicaInfo>,
        /// The version that it replaces.
        over_version: u64,
    },
    /// It is as it was.
    Unchanged,
    /// The result cannot be used; `is_new` tells whether the one before had another fault, or none.
    Rejected {
        /// Why.
        error: ListingError,
        /// Whether the result before was used, or had another fault.
        is_new: bool,
    },
}

/// The rows, unless two are of one replica.
pub fn check_rows(rows: Vec<ReplicaInfo>) -> ListingResult {
    let mut ids = BTreeSet::new();
    match rows.iter().find(|row| !ids.insert(row.id.as_str())) {
        Some(row) => Err(ListingError::Duplicate { id: row.id.clone() }),
        None => Ok(rows),
    }
}

impl ListingFollower {
    /// The number of the poll that is due, if one is. The next one follows a result, or is made where none has come in
    /// time; the result of the one before is used all the same, as a list of many pages may take longer.
    pub fn poll_due(&mut self, now: Duration, version: u64) -> Option<u64> {
        let newest = self.pending.get(&self.last_number);
        let is_awaited = newest.is_some_and(|poll| now.saturating_sub(poll.sent_at) < POLL_TIMEOUT);
        if is_awaited || self.last_poll_at.is_some_and(|at| now.saturating_sub(at) < POLL_INTERVAL) {
            return None;
        }
        self.last_number += 1;
        self.last_poll_at = Some(now);
        self.pending.insert(self.last_number, PendingPoll { sent_at: now, version });
        if self.pending.len() > MAX_PENDING_POLLS {
            self.pending.pop_first();
        }
        Some(self.last_number)
    }

    /// The replica is head no more, or of another view: results still on their way count for nothing.
    pub fn forget(&mut self) {
        *self = ListingFollower { last_number: self.last_number, ..ListingFollower::default() };
    }

    /// Takes the result of a poll. `None` where that of a later one was used already, or the list that is held has changed
    /// since the poll.
    pub fn take(
        &mut self,
        now: Duration,
        number: u64,
        result: ListingResult,
        held: &[ReplicaInfo],
        version: u64,
    ) -> Option<ListingChange> {
        let poll = self.pending.remove(&number)?;
        if poll.version != version {
            return None;
        }
        let mut rows = match result.and_then(check_rows) {
            Ok(rows) => rows,
            Err(error) => {
                let is_new = self.error.as_ref() != Some(&error);
                self.error = Some(error.clone());
                return Some(ListingChange::Rejected { error, is_new });
            }
        };
        self.error = None;
        // What an earlier poll brings from now on may be older than this.
        self.pending = self.pending.split_off(&number);
        self.hold_back_missing(now, &mut rows, held);
        rows.sort_by(|one, other| one.id.cmp(&other.id));
        if rows == held {
            return Some(ListingChange::Unchanged);
        }
        Some(ListingChange::Replace { replicas: rows, over_version: version })
    }

    /// Where most rows are gone at once, those that are not missing for long are kept as they were. Changes of the rows
    /// that are still listed count at once.
    fn hold_back_missing(&mut self, now: Duration, rows: &mut Vec<ReplicaInfo>, held: &[ReplicaInfo]) {
        let is_listed = |id: &str| rows.iter().any(|row| row.id == id);
        let gone: BTreeSet<String> = held.iter().map(|row| row.id.clone()).filter(|id| !is_listed(id)).collect();
        self.missing_since.retain(|id, _| gone.contains(id));
        if gone.len() * 2 <= held.len() {
            self.missing_since.clear();
            return;
        }
        for id in gone {
            self.missing_since.entry(id).or_insert(now);
        }
        let is_held_back = |row: &&ReplicaInfo| {
            let since = self.missing_since.get(&row.id);
            since.is_some_and(|since| now.saturating_sub(*since) < SHRINK_CONFIRMATION)
        };
        rows.extend(held.iter().filter(is_held_back).cloned());
    }

    /// What an operator should know of the list.
    pub fn status(&self) -> ListingStatus {
        let fault = self.error.as_ref().map(ToString::to_string).unwrap_or_default();
        ListingStatus { held_back: self.missing_since.len(), fault }
    }
}

/// How the platform's list fares.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ListingStatus {
    /// How many replicas are missing from it and still counted on.
    pub held_back: usize,
    /// Why the last list was not used; empty if it was.
    pub fault: String,
}
