//! Pages for operators: what this router believes, and the story of a request.
use crate::shared::Shared;
use fleet_common::http_in::Incoming;
use fleet_common::json::quote;
use std::sync::atomic::Ordering;

pub fn answer(shared: &Shared, incoming: Incoming) {
    let path = incoming.path.clone();
    match path.as_str() {
        "/health" => {
            let fresh = shared.is_fresh() && !shared.draining.load(Ordering::Relaxed);
            let body = format!("{{\"up\":true,\"takesRequests\":{fresh}}}");
            incoming.json(if fresh { 200 } else { 503 }, &body, vec![]);
        }
        "/self" => incoming.json(200, &words(shared), vec![]),
        "/metrics" => {
            incoming.whole(200, "text/plain; version=0.0.4", shared.counters.words().as_bytes(), vec![]);
        }
        "/log" => incoming.log(),
        "/requests" => {
            let ids: Vec<String> = shared.explains().latest(50).iter().map(|id| quote(id)).collect();
            incoming.json(200, &format!("[{}]", ids.join(",")), vec![]);
        }
        _ => {
            let story = path.strip_prefix("/explain/").and_then(|id| shared.explains().words(id));
            match story {
                Some(words) => incoming.json(200, &words, vec![]),
                None => incoming.json(404, "{\"error\":{\"pointer\":\"\",\"what\":\"no such page\"}}", vec![]),
            }
        }
    }
}

fn words(shared: &Shared) -> String {
    let fleet = shared.fleet.read();
    let seats: Vec<String> = shared
        .seats()
        .iter()
        .map(|s| {
            format!(
                "{}:{{\"weights\":{},\"leaving\":{},\"down\":{},\"load\":{}}}",
                quote(&s.id),
                quote(&s.weights),
                s.leaving,
                s.down,
                s.load
            )
        })
        .collect();
    let mirrors: Vec<String> = shared
        .mirrors
        .read()
        .values()
        .map(|m| {
            format!(
                "{}:{{\"index\":{},\"fence\":{},\"version\":{},\"weights\":{},\"filled\":{:.3},\"falseHits\":{},\"stale\":{}}}",
                quote(&m.replica),
                quote(&m.index),
                m.fence,
                m.version,
                quote(&m.weights),
                m.bits.filled(),
                m.false_hits,
                m.stale
            )
        })
        .collect();
    let withdrawn = fleet.keys.values().filter(|k| k.withdrawn).count();
    format!(
        "{{\"name\":{},\"fresh\":{},\"inFlight\":{},\"versions\":{{{}}},\"keys\":{{\"held\":{},\"withdrawn\":{withdrawn}}},\"seats\":{{{}}},\"mirrors\":{{{}}}}}",
        quote(&shared.name),
        shared.is_fresh(),
        shared.in_flight().total(),
        fleet.versions(),
        fleet.keys.len(),
        seats.join(","),
        mirrors.join(",")
    )
}
