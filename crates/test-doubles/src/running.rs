//! Running a completion: prefix from the own cache or handed over, the rest read anew, then pieces.
//! Each piece is a function of prompt, weights and its number, so that callers can check every byte.
use crate::cache::Made;
use crate::replica::{Replica, Run, wall_ms};
use fleet_common::hash;
use fleet_common::http_client;
use fleet_common::http_server::{ChunkedResponse, Incoming};
use fleet_common::json;
use prefix_table::blocks;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The text of piece `number`.
pub fn piece(prompt: &str, weights: &str, number: u64) -> String {
    format!(" {:08x}", hash::bytes(hash::bytes(number, weights.as_bytes()), prompt.as_bytes()) as u32)
}

struct Slot<'a>(&'a Replica);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

fn refuse(incoming: Incoming, status: u16, what: &str) {
    incoming.respond_json(status, &format!("{{\"error\":{}}}", json::quote(what)), vec![("X-Not-Run", "1".into())]);
}

pub fn complete(replica: &Arc<Replica>, incoming: Incoming) {
    let begun = Instant::now();
    let text = |name: &str| incoming.header(name).unwrap_or_default().to_string();
    let made = Made { wall: text("x-wall"), weights: text("x-weights") };
    replica.asked.fetch_add(1, Ordering::Relaxed);
    let status = replica.refuse.load(Ordering::Relaxed) as u16;
    if status > 0 {
        let after = replica.refuse_after.load(Ordering::Relaxed);
        let extra = vec![("Retry-After", after.to_string())];
        return incoming.respond_json(status, "{\"error\":\"as told\"}", if after > 0 { extra } else { vec![] });
    }
    if made.weights.is_empty() || replica.weights_now() != made.weights {
        return refuse(incoming, 503, "these weights are not in use here");
    }
    if replica.running.fetch_add(1, Ordering::AcqRel) >= replica.slots * 2 {
        replica.running.fetch_sub(1, Ordering::AcqRel);
        return refuse(incoming, 503, "no slot");
    }
    let _slot = Slot(replica);
    let read = || -> Result<(String, String, u64), json::ParseError> {
        let root = json::root(&incoming.body)?;
        let most = root.optional("max_tokens")?.map_or(Ok(16), |at| at.number(1, 32_768))?;
        Ok((root.required("model")?.text()?, root.required("prompt")?.text()?, most))
    };
    let Ok((model, prompt, most)) = read() else { return refuse(incoming, 400, "bad body") };
    let block_bytes = text("x-block-bytes").parse().unwrap_or(64usize);
    let budget = Duration::from_millis(text("x-budget-ms").parse().unwrap_or(60_000));
    let (request, once, tenant, source) =
        (text("x-request-id"), text("x-once-key"), text("x-tenant"), text("cache-source"));
    let salt = blocks::block_salt(&made.wall, &model, &made.weights);
    let chain = blocks::block_hashes(salt, prompt.as_bytes(), block_bytes);
    let own = replica.cache.lock().unwrap().leading(&chain, &made);
    let handed = if source.is_empty() || own == chain.len() { 0 } else { fetch(replica, &source, &made, &chain, own) };
    let anew = (chain.len() - own - handed) as u64;
    let number = {
        let mut runs = replica.runs.lock().unwrap();
        runs.push(Run {
            request: request.clone(),
            once,
            tenant,
            wall: made.wall.clone(),
            weights: made.weights.clone(),
            blocks: chain.len(),
            own,
            handed,
            source,
            pieces: 0,
            at_ms: wall_ms(),
            end_ms: 0,
            ended: "",
        });
        runs.len() - 1
    };
    let end = |pieces: u64, how: &'static str| {
        let run = &mut replica.runs.lock().unwrap()[number];
        (run.pieces, run.end_ms, run.ended) = (pieces, wall_ms(), how);
    };
    let read_by = Instant::now() + Duration::from_micros(anew * replica.prefill_us);
    while Instant::now() < read_by {
        std::thread::sleep(read_by.saturating_duration_since(Instant::now()).min(Duration::from_millis(20)));
        if incoming.client_disconnected() {
            return end(0, "left");
        }
    }
    // New weights may have come while the prompt was read: what was read under the old is worth nothing.
    if replica.weights_now() != made.weights {
        end(0, "refused");
        return refuse(incoming, 503, "these weights went out of use");
    }
    keep(replica, &chain, &made, block_bytes as u64);
    let Ok(mut out) = incoming.respond_chunked(200, vec![("Content-Type", "text/event-stream".into())]) else {
        return end(0, "left");
    };
    let sent = stream(replica, &mut out, (&request, &model, &made.weights, &prompt), most, begun + budget);
    let whole = sent == Ok(most) && out.send(b"data: [DONE]\n\n").is_ok();
    if whole {
        let _ = out.end();
    }
    let (pieces, how) = match sent {
        Ok(pieces) => (pieces, if whole { "done" } else { "left" }),
        Err((pieces, how)) => (pieces, how),
    };
    end(pieces, how);
}

/// How many pieces were sent, and when not all: why.
type Streamed = Result<u64, (u64, &'static str)>;
type Names<'a> = (&'a str, &'a str, &'a str, &'a str);

/// Sends the pieces; `None` when the stream broke, the budget ended or a test asked for a break.
fn stream(replica: &Replica, out: &mut ChunkedResponse, names: Names, most: u64, until: Instant) -> Streamed {
    let (request, model, weights, prompt) = names;
    for number in 0..most {
        std::thread::sleep(Duration::from_micros(replica.piece_us));
        let break_after = replica.break_after.load(Ordering::Relaxed);
        if Instant::now() >= until || (break_after > 0 && number + 1 >= break_after) {
            return Err((number, "broken"));
        }
        let text = piece(prompt, weights, number);
        let event = format!(
            "data: {{\"id\":{},\"object\":\"text_completion\",\"model\":{},\"system_fingerprint\":{},\"choices\":[{{\"index\":0,\"text\":{},\"finish_reason\":null}}]}}\n\n",
            json::quote(request),
            json::quote(model),
            json::quote(weights),
            json::quote(&text)
        );
        out.send(event.as_bytes()).map_err(|_| (number, "left"))?;
    }
    Ok(most)
}

fn keep(replica: &Replica, chain: &[u64], made: &Made, block_bytes: u64) {
    let mut cache = replica.cache.lock().unwrap();
    let (stored, forgotten) = cache.store(chain, made);
    // Events are numbered while the cache is held, so that they come in the cache's own order.
    let parent = stored.first().and_then(|first| chain.iter().position(|h| h == first)).filter(|at| *at > 0);
    replica.events.stored(&stored, parent.map(|at| chain[at - 1]), block_bytes);
    replica.events.removed(&forgotten);
    drop(cache);
    if let (Some(store), false) = (replica.store, stored.is_empty()) {
        let body = kv_body(made, &replica.district, chain);
        std::thread::spawn(move || {
            let _ = http_client::json("POST", &format!("http://{store}/put"), &body, Duration::from_millis(500));
        });
    }
}

fn kv_body(made: &Made, district: &str, chain: &[u64]) -> String {
    let hashes: Vec<String> = chain.iter().map(|h| format!("\"{h}\"")).collect();
    format!(
        "{{\"wall\":{},\"weights\":{},\"district\":{},\"blocks\":[{}]}}",
        json::quote(&made.wall),
        json::quote(&made.weights),
        json::quote(district),
        hashes.join(",")
    )
}

/// Reads a body made by `kv_body`.
pub fn read_kv(body: &[u8]) -> Result<(Made, String, Vec<u64>), json::ParseError> {
    let root = json::root(body)?;
    let made = Made { wall: root.required("wall")?.text()?, weights: root.required("weights")?.text()? };
    let rows = root.required("blocks")?;
    let blocks = rows.items()?.iter().filter_map(|b| b.text().ok()?.parse().ok()).collect();
    Ok((made, root.required("district")?.text()?, blocks))
}

/// Takes the prefix from the named source; gives how many blocks beyond the own came. A source that
/// lacks it costs a millisecond, one that dies midway leaves what came whole.
fn fetch(replica: &Replica, source: &str, made: &Made, chain: &[u64], own: usize) -> usize {
    let body = kv_body(made, &replica.district, chain);
    let answer = http_client::json("POST", &format!("http://{source}/kv"), &body, Duration::from_secs(2));
    let blocks = answer.ok().and_then(|text| {
        use sonic_rs::JsonValueTrait;
        sonic_rs::get(&text, ["blocks"]).ok()?.as_u64()
    });
    match blocks {
        Some(blocks) if blocks as usize > own => (blocks as usize).min(chain.len()) - own,
        _ => {
            std::thread::sleep(Duration::from_millis(1));
            0
        }
    }
}

/// Hands a prefix over to another replica, at the pace of the link. The wall and the weights are
/// checked here as well: a block made under others is not held.
pub fn hand_over(replica: &Arc<Replica>, incoming: Incoming) {
    let Ok((made, district, chain)) = read_kv(&incoming.body) else { return incoming.respond_json(400, "{}", vec![]) };
    let held = replica.cache.lock().unwrap().leading(&chain, &made);
    let per_block = if district == replica.district { replica.near_us } else { replica.far_us };
    if replica.break_handover.load(Ordering::Relaxed) > 0 {
        std::thread::sleep(Duration::from_micros(per_block * held as u64 / 2));
        // A body shorter than stated: the source died midway.
        if let Ok(mut pieces) = incoming.respond_chunked(200, vec![("Content-Type", "application/json".into())]) {
            let _ = pieces.send(b"{\"blocks\":");
        }
        return;
    }
    std::thread::sleep(Duration::from_micros(per_block * held as u64));
    incoming.respond_json(200, &format!("{{\"blocks\":{held}}}"), vec![]);
}
