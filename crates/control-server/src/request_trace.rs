//! The trace of a request, gathered from its router, the index nodes and the claims.
use crate::event_loop::ReplicaHandle;
use control_state::command::NodeInfo;
use fleet_common::PeerError;
use fleet_common::frame::Client;
use fleet_common::json::quote;
use fleet_common::rpc::{Request, Response};
use sonic_rs::JsonValueTrait;
use std::collections::BTreeMap;
use std::thread::ScopedJoinHandle;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

fn json(answer: Response) -> Option<String> {
    match answer {
        Response::Json(text) => Some(String::from_utf8_lossy(text.as_slice()).into_owned()),
        _ => None,
    }
}

/// Queries all nodes in parallel; one that does not answer in time counts as knowing nothing.
pub(crate) fn trace(driver: &ReplicaHandle, request: &str, wait: Duration) -> Result<String, PeerError> {
    let query = |text: &str| Ok(json(driver.request_any(Request::Query(text.into()), wait)?).unwrap_or_default());
    let control = query(&format!("explain/{request}"))?;
    let members = query("source/members")?;
    let members: BTreeMap<String, NodeInfo> = sonic_rs::get(&members, ["value"])
        .ok()
        .and_then(|v| sonic_rs::from_str(v.as_raw_str()).ok())
        .unwrap_or_default();
    let ask = Request::Query(format!("explain/{request}").as_str().into());
    let told: Vec<(&String, &NodeInfo, Option<String>)> = std::thread::scope(|scope| {
        let asked: Vec<_> = members
            .iter()
            .map(|(name, node)| {
                let ask = &ask;
                let asking = move || json(Client::new(node.at.parse().ok()?, REQUEST_TIMEOUT).call(ask).ok()?);
                // Without a thread a member counts as one that knows nothing.
                let thread = std::thread::Builder::new().spawn_scoped(scope, asking).ok();
                (name, node, thread)
            })
            .collect();
        let joined = |(name, node, thread): (_, _, Option<ScopedJoinHandle<'_, Option<String>>>)| {
            (name, node, thread.and_then(|thread| thread.join().ok().flatten()))
        };
        asked.into_iter().map(joined).collect()
    });
    let of = |kind: &str| -> Vec<String> {
        let known = told.iter().filter(|(_, node, words)| node.kind == kind && words.is_some());
        known.map(|(name, _, words)| format!("{}:{}", quote(name), words.as_deref().unwrap_or("null"))).collect()
    };
    let (router, index) = (of("edge"), of("index"));
    let edge = sonic_rs::get(&control, ["edge"]).ok().and_then(|v| v.as_str().map(str::to_string)).unwrap_or_default();
    let note = match router.is_empty() {
        true => format!("router {edge} is gone, started anew or has forgotten: only what the others know"),
        false => String::new(),
    };
    Ok(format!(
        "{{\"request\":{},\"router\":{{{}}},\"index\":{{{}}},\"control\":{control},\"note\":{}}}",
        quote(request),
        router.join(","),
        index.join(","),
        quote(&note)
    ))
}
