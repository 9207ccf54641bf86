//! Queries of operators, answered as JSON. The names of its fields are the product's own and older than those of the
//! code: they stay as they are.
use super::ControlReplica;
use crate::listing::ListingStatus;
use crate::node_status::ControlView;
use control_state::command::ClaimStatus;
use control_state::outcome::{Outcome, Verdict};
use control_state::state::{Assignment, SourceValue, claim_name};
use fleet_common::rpc::{CONTROL_MEMBERS, SOURCES};
use indexmap::IndexMap;
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// What a replica says of itself.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct SelfStatus {
    id: u32,
    incarnation: String,
    view: String,
    #[serde(rename = "place")]
    position: String,
    #[serde(rename = "full")]
    holds_all: bool,
    /// How many members of the chain hold all that is committed.
    #[serde(rename = "fullCopies")]
    complete_members: usize,
    #[serde(rename = "sick")]
    disk_failed: bool,
    seq: u64,
    synced: u64,
    committed: u64,
    snapshot: u64,
    #[serde(rename = "term")]
    holds_lease: bool,
    listing: ListingStatus,
    versions: BTreeMap<&'static str, u64>,
}

/// What holds now, by the tail.
#[derive(Serialize)]
struct ControlStatus<'a> {
    view: String,
    seq: u64,
    sources: IndexMap<&'static str, SourceStatus>,
    nodes: BTreeMap<&'a str, NodeReport<'a>>,
    #[serde(rename = "duties")]
    assignments: &'a BTreeMap<String, Assignment>,
    claims: usize,
}

#[derive(Serialize)]
struct SourceStatus {
    version: u64,
    #[serde(rename = "inForce")]
    is_in_force: bool,
}

#[derive(Serialize)]
struct NodeReport<'a> {
    kind: &'a str,
    at: &'a str,
    #[serde(rename = "district")]
    zone: &'a str,
    #[serde(rename = "silentMs")]
    silence_ms: u64,
    /// The versions that the node says are in use; none where it has not pulled from this tail.
    #[serde(serialize_with = "spaced_list")]
    confirmed: &'a [u64],
}

/// Writes a list with a blank after each comma, as this query always has.
fn spaced_list<S: Serializer>(versions: &&[u64], serializer: S) -> Result<S::Ok, S::Error> {
    let text = format!("{versions:?}");
    let list: sonic_rs::LazyValue<'_> = sonic_rs::from_str(&text).map_err(serde::ser::Error::custom)?;
    list.serialize(serializer)
}

#[derive(Serialize)]
struct SourceReport<'a> {
    version: u64,
    value: SourceValue<'a>,
}

#[derive(Serialize)]
struct CommandReport<'a> {
    id: &'a str,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'a Outcome>,
}

/// What the control state knows of a request.
#[derive(Serialize)]
struct RequestReport<'a> {
    edge: &'a str,
    #[serde(rename = "edgeHoldsTerm")]
    edge_holds_lease: bool,
    claims: Vec<ClaimReport<'a>>,
}

#[derive(Serialize)]
struct ClaimReport<'a> {
    key: &'a str,
    #[serde(rename = "ran")]
    status: ClaimStatus,
}

/// A claim that nobody made, or that is forgotten.
#[derive(Serialize)]
struct UnknownClaim {
    #[serde(rename = "ran")]
    status: &'static str,
}

#[derive(Serialize)]
struct ErrorReport<'a> {
    error: &'a str,
}

fn error_json(error: &str) -> String {
    sonic_rs::to_string(&ErrorReport { error }).unwrap_or_default()
}

fn to_json(value: &impl Serialize) -> String {
    sonic_rs::to_string(value).unwrap_or_else(|error| error_json(&error.to_string()))
}

impl ControlReplica {
    /// What this replica itself believes; any replica answers this, tail or not.
    pub(super) fn self_status_json(&self) -> String {
        let replicator = &self.replicator;
        to_json(&SelfStatus {
            id: self.me.id,
            incarnation: self.me.incarnation.to_string(),
            view: self.hard_state.view.summary(),
            position: self.position_name(),
            holds_all: self.holds_all(),
            complete_members: self.observations().complete_members(),
            disk_failed: self.health.disk_failed,
            seq: replicator.log.last().seq,
            synced: replicator.synced.seq,
            committed: replicator.committed,
            snapshot: replicator.log.snapshot().at.seq,
            holds_lease: self.holds_lease(),
            listing: self.background.listing.status(),
            versions: SOURCES.iter().copied().zip(self.versions()).collect(),
        })
    }

    fn position_name(&self) -> String {
        match self.position() {
            Some(0) => "head".into(),
            Some(_) if self.is_tail() => "tail".into(),
            Some(position) => format!("chain {position}"),
            None if self.hard_state.view.contains(&self.me) => "spare".into(),
            None => "outside".into(),
        }
    }

    /// Answers a query by its path.
    pub(super) fn query(&self, path: &str) -> String {
        let parts: Vec<&str> = path.split('/').collect();
        match parts.as_slice() {
            ["holds"] => to_json(&self.control_status()),
            ["configuration"] => to_json(&self.replicator.state.route_config),
            ["source", name] => self.source_query(name),
            ["command", id] => to_json(&self.command_report(id)),
            ["claim", tenant, key] => self.claim_query(tenant, key),
            ["explain", request] => to_json(&self.request_report(request)),
            _ => error_json("no such query"),
        }
    }

    fn source_query(&self, name: &str) -> String {
        let Some(source) = SOURCES.iter().position(|known| *known == name) else {
            return error_json("no such source");
        };
        to_json(&SourceReport { version: self.versions()[source], value: self.source_value(source) })
    }

    fn source_value(&self, source: usize) -> SourceValue<'_> {
        match source {
            CONTROL_MEMBERS => SourceValue::Addresses(self.node_addresses()),
            _ => self.replicator.state.value(source),
        }
    }

    fn command_report<'a>(&'a self, id: &'a str) -> CommandReport<'a> {
        let outcome = self.replicator.state.outcomes.get(id).map(|(_, outcome)| outcome);
        let status = outcome.map_or("unknown", |outcome| self.command_status(outcome));
        CommandReport { id, status, outcome }
    }

    fn command_status(&self, outcome: &Outcome) -> &'static str {
        let source = SOURCES.iter().position(|source| *source == outcome.source);
        match outcome.verdict() {
            Verdict::Accepted if source.is_some_and(|source| self.is_in_force(source, outcome.version)) => "in force",
            Verdict::Accepted => "accepted",
            Verdict::Rejected => "refused",
            Verdict::Unknown => "unknown",
        }
    }

    fn claim_query(&self, tenant: &str, key: &str) -> String {
        match self.replicator.state.claims.get(&claim_name(tenant, key)) {
            Some(claim) => to_json(claim),
            None => to_json(&UnknownClaim { status: "never_claimed" }),
        }
    }

    /// The once-claims of a request, and whether its router's edge is listed.
    fn request_report<'a>(&'a self, request: &'a str) -> RequestReport<'a> {
        let state = &self.replicator.state;
        let edge = request.rsplitn(3, '-').nth(2).unwrap_or_default();
        let of_request = state.claims.iter().filter(|(_, claim)| claim.request == request);
        let claims = of_request.map(|(key, claim)| ClaimReport { key, status: claim.status }).collect();
        RequestReport { edge, edge_holds_lease: state.nodes.contains_key(edge), claims }
    }

    fn control_status(&self) -> ControlStatus<'_> {
        let state = &self.replicator.state;
        ControlStatus {
            view: self.hard_state.view.summary(),
            seq: state.seq,
            sources: self.source_statuses(),
            nodes: self.node_reports(),
            assignments: &state.assignments,
            claims: state.claims.len(),
        }
    }

    fn source_statuses(&self) -> IndexMap<&'static str, SourceStatus> {
        let status = |(source, version): (usize, u64)| {
            let is_in_force = self.is_in_force(source, version);
            (SOURCES[source], SourceStatus { version, is_in_force })
        };
        self.versions().into_iter().enumerate().map(status).collect()
    }

    fn node_reports(&self) -> BTreeMap<&str, NodeReport<'_>> {
        let mut reports = BTreeMap::new();
        for (name, node) in &self.replicator.state.nodes {
            let silence = self.nodes.silence(self.now, self.view_since, name, node.incarnation);
            let confirmed = self.nodes.seen.get(name).map_or(&[] as &[u64], |status| &status.confirmed);
            let report = NodeReport {
                kind: &node.kind,
                at: &node.at,
                zone: &node.zone,
                silence_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
                confirmed,
            };
            reports.insert(name.as_str(), report);
        }
        reports
    }

    /// Whether every node that holds a lease uses at least this version of a source.
    fn is_in_force(&self, source: usize, version: u64) -> bool {
        let control = ControlView {
            now: self.now,
            view_since: self.view_since,
            nodes: &self.replicator.state.nodes,
            versions: self.versions(),
        };
        self.nodes.is_in_force(&control, source, version)
    }
}
