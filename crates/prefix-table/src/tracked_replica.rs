//! What an index node knows of one replica that it tracks, and how it is fed from the replica's events.
use crate::event::CacheReport;
use crate::index_node::{IndexNode, Output};
use crate::replica_reports::same_states;
use crate::table::{NextEvent, PrefixTable};
use control_state::command::ReplicaInfo;
use control_state::fleet::STORE_MODEL;
use std::collections::BTreeMap;
use std::time::Duration;

/// A replica that could not be polled for so long is down.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(900);
/// A poll that was never answered is sent again.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// After a failed poll the next is sent after this.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The weights.
    pub weights: String,
    /// When it was announced, or accepted since.
    pub started_at: Duration,
    /// From when on it is sent, or sent again.
    pub next_attempt_at: Duration,
    /// How often the replica did not accept it.
    pub failed_attempts: u32,
    /// Whether it left this node; before that it is only announced.
    pub sent: bool,
    /// Whether the replica accepted it: the time that loading may take counts from then.
    pub accepted: bool,
    /// Whether the replica said that it runs the weights.
    pub done: bool,
}

impl LoadOrder {
    /// An order that is announced, to be sent from `next_attempt_at` on.
    pub(crate) fn announced(weights: &str, now: Duration, next_attempt_at: Duration) -> Self {
        LoadOrder {
            weights: weights.into(),
            started_at: now,
            next_attempt_at,
            failed_attempts: 0,
            sent: false,
            accepted: false,
            done: false,
        }
    }
}

/// The load that a replica reported last; 0 where it reported none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests running and waiting.
    pub load: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Tokens that its memory holds.
    pub used_tokens: u64,
    /// Tokens that its memory could hold.
    pub total_tokens: u64,
    /// Whether it carries out an order.
    pub busy: bool,
}

impl ReplicaLoad {
    fn from_report(report: &CacheReport) -> Self {
        ReplicaLoad {
            load: report.load(),
            running: report.running.unwrap_or(0),
            waiting: report.waiting.unwrap_or(0),
            used_tokens: report.used_tokens.unwrap_or(0),
            total_tokens: report.total_tokens.unwrap_or(0),
            busy: report.busy.unwrap_or(false),
        }
    }
}

/// A replica that this node owns or shadows: its table, and what else is known of it.
pub struct TrackedReplica {
    /// Its table.
    pub table: PrefixTable,
    /// The fencing token under which it is owned; none for a shadow.
    pub fencing_token: Option<u64>,
    /// The fencing token of the owner that the table's snapshot came from.
    pub snapshot_fencing_token: u64,
    /// Its load as it reported it last.
    pub load: ReplicaLoad,
    /// Whether it could not be polled for too long.
    pub down: bool,
    /// How many transfers had each verdict, by the verdict's number.
    pub audit_counts: [u64; 4],
    /// The latest order for each model, by the model's name.
    pub orders: BTreeMap<String, LoadOrder>,
    /// Since when it is owned, or when the snapshot was taken.
    pub tracked_since: Duration,
    /// When its filter was pushed last.
    pub(crate) pushed_at: Option<Duration>,
    /// How many filters were pushed to how many routers, added up.
    pub pushes: u64,
    /// How many bytes of bits that were.
    pub pushed_bytes: u64,
    /// Whether the replica was heard since it is owned; what it runs is not known before.
    pub(crate) reported: bool,
    failing_since: Option<Duration>,
    /// When the poll that is under way was sent.
    polled_at: Option<Duration>,
    next_poll_at: Duration,
}

impl TrackedReplica {
    pub(crate) fn new(table: PrefixTable, fencing_token: Option<u64>, now: Duration) -> Self {
        TrackedReplica {
            table,
            fencing_token,
            snapshot_fencing_token: 0,
            load: ReplicaLoad::default(),
            down: false,
            audit_counts: [0; 4],
            orders: BTreeMap::new(),
            tracked_since: now,
            pushed_at: None,
            pushes: 0,
            pushed_bytes: 0,
            reported: false,
            failing_since: None,
            polled_at: None,
            next_poll_at: now,
        }
    }

    /// A shadow becomes the owner, with the table as it is.
    pub(crate) fn become_owner(&mut self, fencing_token: u64, now: Duration) {
        self.fencing_token = Some(fencing_token);
        self.tracked_since = now;
        self.failing_since = None;
        self.polled_at = None;
        self.orders.clear();
        self.down = false;
        self.reported = false;
        self.table.restart_versions();
    }

    fn poll_is_due(&self, now: Duration) -> bool {
        let is_under_way = self.polled_at.is_some_and(|since| now.saturating_sub(since) < POLL_TIMEOUT);
        !is_under_way && now >= self.next_poll_at
    }

    /// Takes a report. Returns whether the replica was down before it.
    fn on_report(&mut self, now: Duration, report: &CacheReport) -> bool {
        // After a restart the replica knows of no order.
        if ![self.table.next_event().incarnation, ""].contains(&report.batch.incarnation.as_str()) {
            self.orders.clear();
        }
        self.table.apply_report(now, report);
        // Once it reports the weights itself its word for them counts no more: it may go back to others.
        for (model, order) in &mut self.orders {
            order.done &= order.weights != self.table.weights_of(model);
        }
        self.load = ReplicaLoad::from_report(report);
        self.reported = true;
        self.failing_since = None;
        std::mem::replace(&mut self.down, false)
    }

    /// A poll failed. Returns whether the replica is down by this.
    fn on_poll_failed(&mut self, now: Duration) -> bool {
        self.next_poll_at = now + POLL_RETRY_DELAY;
        let since = *self.failing_since.get_or_insert(now);
        let is_unreachable = now.saturating_sub(since) > UNREACHABLE_AFTER;
        is_unreachable && !std::mem::replace(&mut self.down, true)
    }
}

/// A replica or store that may be polled.
struct PollTarget {
    replica: String,
    address: String,
    is_store: bool,
}

impl IndexNode {
    /// The fencing token under which this node owns a replica, where the control replicas still say so and the node has
    /// its table.
    pub(crate) fn active_fencing_token(&self, replica: &str) -> Option<u64> {
        let fencing_token = self.fleet.fencing_token(replica, &self.me)?;
        let tracked = self.replicas.get(replica)?;
        (tracked.fencing_token == Some(fencing_token)).then_some(fencing_token)
    }

    /// Polls the owned replicas whose polls are due.
    pub(crate) fn poll_replicas(&mut self) {
        let target = |replica: &ReplicaInfo| PollTarget {
            replica: replica.id.clone(),
            address: replica.at.clone(),
            is_store: replica.model == STORE_MODEL,
        };
        let targets: Vec<PollTarget> = self.fleet.replicas.iter().map(target).collect();
        for target in targets {
            self.poll_if_due(target);
        }
    }

    fn poll_if_due(&mut self, target: PollTarget) {
        let now = self.now;
        let Some(fence) = self.active_fencing_token(&target.replica) else { return };
        let ordered = self.carries_out_an_order(&target.replica);
        let tracked = self.replicas.get_mut(&target.replica);
        let Some(tracked) = tracked.filter(|tracked| tracked.poll_is_due(now)) else { return };
        tracked.polled_at = Some(now);
        let NextEvent { incarnation, sequence } = tracked.table.next_event();
        let (incarnation, from) = (incarnation.to_string(), sequence);
        let PollTarget { replica, address: at, is_store } = target;
        self.outputs.push(Output::Poll { replica, at, fence, incarnation, from, is_store, ordered });
    }

    /// A poll under a fencing token was answered, or failed.
    pub(crate) fn on_polled(&mut self, replica: &str, fencing_token: u64, polled: Result<CacheReport, String>) {
        if self.active_fencing_token(replica) != Some(fencing_token) {
            return;
        }
        let (now, before) = (self.now, self.replica_report(replica, fencing_token));
        let Some(tracked) = self.replicas.get_mut(replica) else { return };
        tracked.polled_at = None;
        let line = match polled {
            Ok(report) => tracked.on_report(now, &report).then(|| format!("{replica} is reachable again")),
            Err(cause) => tracked.on_poll_failed(now).then(|| format!("{replica} is unreachable: {cause}")),
        };
        tracked.table.expire(now);
        if let Some(line) = line {
            self.log(line);
        }
        let after = self.replica_report(replica, fencing_token);
        if before.zip(after).is_some_and(|(before, after)| !same_states(&before, &after)) {
            self.on_state_changed();
        }
        self.poll_replicas();
    }
}
