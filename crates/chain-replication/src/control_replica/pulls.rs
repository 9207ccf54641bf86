//! Pulls of nodes: the tail answers each with the versions that the node lacks, and with a lease. A pull that lacks
//! nothing waits for an update for a while.
use super::ControlReplica;
use crate::message::Message;
use crate::node_status::{NodeStatus, WaitingPull};
use crate::timing::{EXPIRY_CHECK_INTERVAL, JOIN_RETRY_INTERVAL, MAX_PULL_WAIT, NODE_LEASE_MARGIN};
use control_state::command::{Command, CommandRequest, NodeInfo};
use fleet_common::Bytes;
use fleet_common::node::version_vector;
use fleet_common::rpc::{
    CONTROL_MEMBERS, NODE_LEASE, Pull, PullResponse, ReleaseAges, Response, SOURCES, SourceUpdate, VersionVector,
};
use std::time::Duration;

/// The JSON of each source's value, made once for all pulls that are answered together.
#[derive(Default)]
struct SourceValues {
    json: [Option<Bytes>; SOURCES.len()],
}

impl SourceValues {
    fn get(&mut self, replica: &ControlReplica, source: usize) -> Bytes {
        let make = || replica.source_json(source).into_bytes().into();
        self.json[source].get_or_insert_with(make).clone()
    }
}

/// Whole milliseconds, rounded down.
fn millis_down(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}

/// The answer to a node that the control state does not list yet.
fn not_yet_listed() -> PullResponse {
    PullResponse {
        lease_confirmed: 0,
        age_ms: 0,
        updates: vec![].into(),
        release_ages: ReleaseAges::default(),
        parked_ms: 0,
    }
}

fn node_info(pull: &Pull) -> NodeInfo {
    NodeInfo {
        kind: pull.kind.to_string(),
        incarnation: pull.incarnation,
        at: pull.address.to_string(),
        zone: pull.zone.to_string(),
    }
}

impl ControlReplica {
    pub(super) fn on_pull(&mut self, token: u64, pull: Pull) {
        let name = pull.node.as_str().to_string();
        let node = node_info(&pull);
        let former = self.nodes.seen.remove(&name);
        let mut status = NodeStatus {
            last_pull: self.now,
            incarnation: pull.incarnation,
            confirmed: version_vector(pull.applied_versions.items()),
            holds_lease: pull.has_lease != 0,
            lease_granted: former.as_ref().and_then(|former| former.lease_granted),
            join_requested: former.and_then(|former| former.join_requested),
        };
        if self.replicator.state.nodes.get(&name) != Some(&node) {
            self.request_join(&mut status, name.clone(), node);
            self.nodes.seen.insert(name, status);
            return self.respond(token, Response::Pull(not_yet_listed()));
        }
        status.join_requested = None;
        self.nodes.seen.insert(name, status);
        let until = self.now + Duration::from_millis(pull.wait_ms.into()).min(MAX_PULL_WAIT);
        self.nodes.waiting.push(WaitingPull { token, pull, since: self.now, until });
        self.answer_due_pulls();
    }

    /// Has the head admit a node, unless it was asked a moment ago.
    fn request_join(&mut self, status: &mut NodeStatus, name: String, node: NodeInfo) {
        let is_due = |at| self.now.saturating_sub(at) > JOIN_RETRY_INTERVAL;
        if status.join_requested.is_none_or(is_due) {
            status.join_requested = Some(self.now);
            self.forward_to_head(Command::Join { node: name, info: node });
        }
    }

    fn forward_to_head(&mut self, command: Command) {
        let Some(head) = self.hard_state.view.head().map(|head| head.id) else { return };
        match CommandRequest::internal(command).encode() {
            Ok(bytes) => self.send(head, Message::Command(bytes.into())),
            Err(error) => self.log_line(format!("a command cannot be encoded: {error}")),
        }
    }

    /// Pulls that wait here are the new tail's to answer.
    pub(super) fn redirect_waiting_pulls(&mut self) {
        let tail = self.tail_id();
        for waiting in std::mem::take(&mut self.nodes.waiting) {
            self.redirect(waiting.token, tail);
        }
    }

    /// Answers the waiting pulls that lack something, or have waited long enough.
    pub(super) fn answer_due_pulls(&mut self) {
        if self.nodes.waiting.is_empty() || !self.replicator.state_is_synced() {
            return;
        }
        if !self.holds_lease() {
            return self.redirect_waiting_pulls();
        }
        let versions = self.versions();
        let now = self.now;
        let is_due = |waiting: &WaitingPull| waiting.until <= now || lacks(&waiting.pull, &versions);
        let waiting = std::mem::take(&mut self.nodes.waiting);
        let (due, waiting): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_due);
        self.nodes.waiting = waiting;
        let release_ages = self.release_ages();
        let mut values = SourceValues::default();
        for waiting in due {
            self.note_lease_granted(waiting.pull.node.as_str());
            let pulled = PullResponse {
                lease_confirmed: 1,
                age_ms: 0,
                updates: self.changes_since(&waiting.pull, &versions, &mut values).into(),
                release_ages: release_ages.clone(),
                parked_ms: millis_down(now.saturating_sub(waiting.since)),
            };
            self.respond(waiting.token, Response::Pull(pulled));
        }
    }

    /// From here on the node may hold a lease, whatever it said when it asked.
    fn note_lease_granted(&mut self, node: &str) {
        if let Some(status) = self.nodes.seen.get_mut(node) {
            status.holds_lease = true;
            status.lease_granted = Some(self.now);
        }
    }

    fn changes_since(&self, pull: &Pull, versions: &VersionVector, values: &mut SourceValues) -> Vec<SourceUpdate> {
        let have = version_vector(pull.known_versions.items());
        let newer = (0..SOURCES.len()).filter(|source| have[*source] < versions[*source]);
        let versioned = |source: usize| SourceUpdate {
            source: source as u8,
            version: versions[source],
            value: values.get(self, source),
        };
        newer.map(versioned).collect()
    }

    /// A source's value as JSON. The addresses of the control machines come from the view, the others from the state.
    pub(super) fn source_json(&self, source: usize) -> String {
        if source == CONTROL_MEMBERS {
            return sonic_rs::to_string(&self.node_addresses()).unwrap_or_default();
        }
        self.replicator.state.value_json(source)
    }

    pub(super) fn node_addresses(&self) -> Vec<&str> {
        self.hard_state.view.addresses.items().iter().map(|address| address.nodes.as_str()).collect()
    }

    pub(super) fn pulls_tick(&mut self) {
        self.answer_due_pulls();
        if !self.holds_lease() || !self.replicator.state_is_synced() {
            return;
        }
        let versions = self.versions();
        for (source, version) in versions.into_iter().enumerate() {
            self.nodes.note_version(self.now, source, version);
        }
        if self.now.saturating_sub(self.nodes.last_expiry_check) >= EXPIRY_CHECK_INTERVAL {
            self.nodes.last_expiry_check = self.now;
            self.expire_silent_nodes();
        }
    }

    /// Has the head expire the leases of nodes that have not pulled for longer than any lease of theirs can last.
    fn expire_silent_nodes(&mut self) {
        let is_silent = |name: &str, node: &NodeInfo| {
            let silence = self.nodes.silence(self.now, self.view_since, name, node.incarnation);
            silence > NODE_LEASE + NODE_LEASE_MARGIN * 2
        };
        let nodes = &self.replicator.state.nodes;
        let silent = nodes.iter().filter(|(name, node)| is_silent(name, node));
        let expire = |(name, node): (&String, &NodeInfo)| Command::ExpireLease {
            node: name.clone(),
            incarnation: node.incarnation,
        };
        let commands: Vec<Command> = silent.map(expire).collect();
        for command in commands {
            self.forward_to_head(command);
        }
    }
}

fn lacks(pull: &Pull, versions: &VersionVector) -> bool {
    let have = version_vector(pull.known_versions.items());
    (0..SOURCES.len()).any(|source| have[source] < versions[source])
}
