//! Pages of an index node for people.
use fleet_common::http_server::Incoming;
use fleet_common::json;
use fleet_common::rpc::NamedVersions;
use prefix_index::IndexService;
use prefix_table::index_node::TrackedReplica;
use prefix_table::rollout_progress::RolloutCounts;
use serde::Serialize;
use std::collections::BTreeMap;

/// Responds to a request for one of the pages.
pub fn respond(shared: &IndexService, incoming: Incoming) {
    match incoming.path.as_str() {
        "/health" => incoming.respond_json(200, "{\"up\":true}", vec![]),
        "/log" => incoming.respond_log(),
        "/self" => incoming.respond_json(200, &status_json(shared), vec![]),
        "/metrics" => incoming.respond(200, "text/plain; version=0.0.4", metrics(shared).as_bytes(), vec![]),
        _ => incoming.respond_json(404, "{\"error\":{\"pointer\":\"\",\"what\":\"no such page\"}}", vec![]),
    }
}

/// The index node's status page.
#[derive(Serialize)]
struct NodeStatus<'a> {
    name: &'a str,
    fresh: bool,
    versions: NamedVersions,
    halted: &'a BTreeMap<String, String>,
    tables: BTreeMap<&'a str, TableStatus<'a>>,
}

/// The table of one replica. Field names are those of the page.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct TableStatus<'a> {
    role: &'static str,
    #[serde(rename = "fence")]
    fencing_token: u64,
    blocks: u64,
    weights: &'a str,
    ordered: &'a str,
    /// Of replicas with several models: the weights and the order of each.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    models: BTreeMap<&'a str, ModelStatus<'a>>,
    gaps: u64,
    since_push: u64,
    load: u64,
    down: bool,
    audits: AuditCounts,
}

/// One model of a replica that has several.
#[derive(Serialize)]
struct ModelStatus<'a> {
    weights: &'a str,
    ordered: &'a str,
}

fn model_status<'a>(replica: &'a TrackedReplica, model: &str) -> ModelStatus<'a> {
    let ordered = replica.orders.get(model).map_or("", |order| &order.weights);
    ModelStatus { weights: replica.table.weights_of(model), ordered }
}

#[derive(Serialize)]
struct AuditCounts {
    held: u64,
    collision: u64,
    stale: u64,
}

fn table_status<'a>(replica: &'a TrackedReplica, models: &'a [String]) -> TableStatus<'a> {
    let several = if models.len() > 1 { models } else { &[] };
    let only = models
        .first()
        .map_or(ModelStatus { weights: replica.table.weights(), ordered: "" }, |model| model_status(replica, model));
    TableStatus {
        role: if replica.fencing_token.is_some() { "holder" } else { "shadow" },
        fencing_token: replica.fencing_token.unwrap_or(replica.snapshot_fencing_token),
        blocks: replica.table.items() as u64,
        weights: if several.is_empty() { only.weights } else { "" },
        ordered: if several.is_empty() { only.ordered } else { "" },
        models: several.iter().map(|model| (model.as_str(), model_status(replica, model))).collect(),
        gaps: replica.table.gaps(),
        since_push: replica.table.changes_since_push(),
        load: replica.load.load,
        down: replica.down,
        audits: AuditCounts {
            held: replica.audit_counts[0],
            collision: replica.audit_counts[1],
            stale: replica.audit_counts[2],
        },
    }
}

fn status_json(service: &IndexService) -> String {
    let index_node = service.index_node();
    let status = |(id, replica)| -> (&str, TableStatus) {
        let id: &String = id;
        (id.as_str(), table_status(replica, index_node.models_of(id)))
    };
    let status = NodeStatus {
        name: &index_node.me.name,
        fresh: index_node.has_valid_lease(),
        versions: NamedVersions(index_node.applied_versions()),
        halted: index_node.halted(),
        tables: index_node.replicas.iter().map(status).collect(),
    };
    json::to_text(&status)
}

fn metrics(shared: &IndexService) -> String {
    let index_node = shared.index_node();
    let mut text = format!("coursebend_index_halted_roll_outs {}\n", index_node.halted().len());
    text += &format!("coursebend_index_overdue_roll_outs {}\n", index_node.overdue_rollouts);
    for (model, roll_out) in &index_node.rollouts {
        let RolloutCounts { serving, loading, failed, waiting, away } = roll_out.counts;
        let stages =
            [("serving", serving), ("loading", loading), ("failed", failed), ("waiting", waiting), ("away", away)];
        for (stage, count) in stages {
            text += &format!("coursebend_index_roll_out{{model=\"{model}\",stage=\"{stage}\"}} {count}\n");
        }
    }
    for (replica, kept) in &index_node.replicas {
        text += &format!("coursebend_index_blocks{{replica=\"{replica}\"}} {}\n", kept.table.items());
        text += &format!("coursebend_index_filter_pushes{{replica=\"{replica}\"}} {}\n", kept.pushes);
        text += &format!("coursebend_index_filter_bytes{{replica=\"{replica}\"}} {}\n", kept.pushed_bytes);
        for (at, name) in ["held", "collision", "stale", "not_mine"].iter().enumerate() {
            let count = kept.audit_counts[at];
            text += &format!("coursebend_index_audits{{replica=\"{replica}\",verdict=\"{name}\"}} {count}\n");
        }
    }
    text
}
