//! `compare A B`: where two nodes' beliefs differ. The exit code tells: 0 alike, 1 not, 2 unreachable.
use crate::queries::fetch;
use sonic_rs::{JsonContainerTrait, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Fields that say who a node is, or change from moment to moment.
const IDENTITY_FIELDS: &[&str] = &["name", "id", "incarnation", "place", "term"];
const VOLATILE_FIELDS: &[&str] = &[
    "inFlight",
    "load",
    "blocks",
    "sincePush",
    "audits",
    "falseHits",
    "pullAgeMs",
    "filled",
    "seq",
    "synced",
    "committed",
];

type FlatFields = BTreeMap<String, String>;

fn flatten(path: &str, value: &Value, all: bool, out: &mut FlatFields) {
    let Some(fields) = value.as_object() else {
        out.insert(path.to_string(), value.to_string());
        return;
    };
    for (name, field) in fields.iter() {
        if IDENTITY_FIELDS.contains(&name) || (!all && VOLATILE_FIELDS.contains(&name)) {
            continue;
        }
        flatten(&format!("{path}/{name}"), field, all, out);
    }
}

fn fetch_status(at: SocketAddr, all: bool) -> Option<FlatFields> {
    let text = fetch(at, "/self").map_err(|error| eprintln!("fleetctl: {error}")).ok()?;
    let value: Value = sonic_rs::from_str(&text).map_err(|e| eprintln!("fleetctl: {at}: {e}")).ok()?;
    let mut flat = FlatFields::new();
    flatten("", &value, all, &mut flat);
    Some(flat)
}

pub fn run(a: SocketAddr, b: SocketAddr, all: bool) -> i32 {
    let (Some(left), Some(right)) = (fetch_status(a, all), fetch_status(b, all)) else { return 2 };
    // Of parts that only one kind of node has at all, nothing can differ.
    let part = |path: &str| path.split('/').nth(1).unwrap_or_default().to_string();
    let shared = |flat: &FlatFields, path: &str| flat.keys().any(|held| part(held) == part(path));
    let mut differing = 0;
    for path in left.keys().chain(right.keys().filter(|k| !left.contains_key(*k))) {
        let (l, r) = (left.get(path), right.get(path));
        if l != r && shared(&left, path) && shared(&right, path) {
            differing += 1;
            let show = |v: Option<&String>| v.map_or("(nothing)", |v| v.as_str()).to_string();
            println!("{path}: {a} has {}, {b} has {}", show(l), show(r));
        }
    }
    if differing == 0 {
        println!("{a} and {b} believe the same");
    }
    i32::from(differing > 0)
}
