//! A model replica: a real block cache with prefill and transfer costs that take real time, its load
//! report, its events, order fences, and its own check of wall and weights.
use crate::cache::Cache;
use crate::events::Events;
use crate::flags::Replica as Flags;
use crate::{listen, running};
use fleet_common::http_server::{self, Incoming};
use fleet_common::json;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One finished or broken run, for checkers.
pub struct Run {
    pub request: String,
    pub once: String,
    pub tenant: String,
    pub wall: String,
    pub weights: String,
    pub blocks: usize,
    pub own: usize,
    pub handed: usize,
    pub source: String,
    pub pieces: u64,
    pub at_ms: u128,
    /// When it ended and how: `done`, `left` when its asker went away, `refused`, `broken`; empty while it runs.
    pub end_ms: u128,
    pub ended: &'static str,
}

#[derive(Default)]
pub struct Weights {
    pub now: String,
    pub loading: Option<(String, Instant)>,
    pub fence: u64,
    pub orders: Vec<String>,
}

pub struct Replica {
    pub id: String,
    pub district: String,
    pub cache: Mutex<Cache>,
    pub events: Events,
    pub weights: Mutex<Weights>,
    pub runs: Mutex<Vec<Run>>,
    pub running: AtomicU64,
    pub slots: u64,
    pub prefill_us: u64,
    pub near_us: u64,
    pub far_us: u64,
    pub piece_us: u64,
    pub load_ms: u64,
    pub store: Option<std::net::SocketAddr>,
    /// Faults that tests switch on: stop a stream after so many pieces, break hand-overs midway.
    /// Completions asked for, whatever came of them.
    pub asked: AtomicU64,
    /// A status that is answered instead, and its Retry-After.
    pub refuse: AtomicU64,
    pub refuse_after: AtomicU64,
    pub break_after: AtomicU64,
    pub break_handover: AtomicU64,
}

pub fn wall_ms() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_millis()
}

impl Replica {
    /// Finishes a load that is due; gives the weights in use, empty while none are.
    pub fn weights_now(&self) -> String {
        let mut weights = self.weights.lock().unwrap();
        if let Some((name, _)) = weights.loading.take_if(|(_, until)| Instant::now() >= *until) {
            weights.now = name;
            self.cache.lock().unwrap().clear();
            self.events.cleared();
        }
        if weights.loading.is_some() { String::new() } else { weights.now.clone() }
    }
}

pub fn run(flags: &Flags) {
    let listener = listen(flags.listen);
    let replica = Arc::new(Replica {
        id: flags.id.clone(),
        district: flags.district.clone().unwrap_or_else(|| "a".into()),
        cache: Mutex::new(Cache::new(flags.blocks.unwrap_or(2000))),
        events: Events::new(),
        weights: Mutex::default(),
        runs: Mutex::default(),
        running: AtomicU64::new(0),
        slots: flags.slots.unwrap_or(8),
        prefill_us: flags.prefill_us.unwrap_or(4000),
        near_us: flags.near_us.unwrap_or(200),
        far_us: flags.far_us.unwrap_or(800),
        piece_us: flags.piece_us.unwrap_or(4000),
        load_ms: flags.load_ms.unwrap_or(1500),
        store: flags.store,
        asked: AtomicU64::new(0),
        refuse: AtomicU64::new(0),
        refuse_after: AtomicU64::new(0),
        break_after: AtomicU64::new(0),
        break_handover: AtomicU64::new(0),
    });
    http_server::serve(listener, 64, move |incoming| answer(&replica, incoming)).expect("serving");
    loop {
        std::thread::park();
    }
}

fn answer(replica: &Arc<Replica>, incoming: Incoming) {
    match (incoming.method.as_str(), incoming.path.as_str()) {
        ("POST", "/v1/completions") => running::complete(replica, incoming),
        ("POST", "/kv") => running::hand_over(replica, incoming),
        ("GET", "/events") => {
            replica.events.answer(incoming, || (replica.weights_now(), replica.running.load(Ordering::Relaxed)));
        }
        ("GET", "/load") => {
            // Each lock is let go before the next: loading that has just ended takes both.
            let weights = replica.weights_now();
            let blocks = replica.cache.lock().unwrap().len();
            let body = format!(
                "{{\"id\":{},\"asked\":{},\"running\":{},\"slots\":{},\"blocks\":{},\"weights\":{}}}",
                json::quote(&replica.id),
                replica.asked.load(Ordering::Relaxed),
                replica.running.load(Ordering::Relaxed),
                replica.slots,
                blocks,
                json::quote(&weights)
            );
            incoming.respond_json(200, &body, vec![]);
        }
        ("GET", "/runs") => runs(replica, incoming),
        ("POST", "/orders") => order(replica, incoming),
        ("POST", "/faults") => {
            let number = |name| crate::events::field(&incoming.query, name).and_then(|v| v.parse().ok()).unwrap_or(0);
            replica.refuse.store(number("refuse"), Ordering::Relaxed);
            replica.refuse_after.store(number("retry_after"), Ordering::Relaxed);
            replica.break_after.store(number("break_after"), Ordering::Relaxed);
            replica.break_handover.store(number("break_handover"), Ordering::Relaxed);
            replica.events.lose(number("lose_events"));
            replica.events.late(Duration::from_millis(number("late_events_ms")));
            incoming.respond_json(200, "{}", vec![]);
        }
        _ => incoming.respond_json(404, "{}", vec![]),
    }
}

fn runs(replica: &Replica, incoming: Incoming) {
    let runs: Vec<String> = replica
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|r| {
            format!(
                "{{\"request\":{},\"once\":{},\"tenant\":{},\"wall\":{},\"weights\":{},\"blocks\":{},\"own\":{},\"handed\":{},\"source\":{},\"pieces\":{},\"atMs\":{},\"endMs\":{},\"ended\":{}}}",
                json::quote(&r.request), json::quote(&r.once), json::quote(&r.tenant), json::quote(&r.wall), json::quote(&r.weights), r.blocks, r.own, r.handed, json::quote(&r.source), r.pieces, r.at_ms, r.end_ms, json::quote(r.ended)
            )
        })
        .collect();
    let orders: Vec<String> = replica.weights.lock().unwrap().orders.iter().map(|o| json::quote(o)).collect();
    incoming.respond_json(200, &format!("{{\"runs\":[{}],\"orders\":[{}]}}", runs.join(","), orders.join(",")), vec![]);
}

/// An order under a fence: one under an older fence than seen is refused.
fn order(replica: &Replica, incoming: Incoming) {
    let read = || -> Result<(u64, String, String), json::ParseError> {
        let root = json::root(&incoming.body)?;
        root.only_fields(&["fence", "index", "order", "weights"])?;
        root.required("order")?.text()?;
        Ok((
            root.required("fence")?.number(1, u64::MAX)?,
            root.required("index")?.text()?,
            root.required("weights")?.text()?,
        ))
    };
    let (fence, index, name) = match read() {
        Ok(order) => order,
        Err(fault) => {
            return incoming.respond_json(400, &format!("{{\"error\":{}}}", json::quote(&fault.to_string())), vec![]);
        }
    };
    let mut weights = replica.weights.lock().unwrap();
    if fence < weights.fence {
        weights.orders.push(format!("refused {index} {fence} {name} {}", wall_ms()));
        return incoming.respond_json(409, "{\"error\":\"older fence\"}", vec![]);
    }
    weights.fence = fence;
    weights.orders.push(format!("taken {index} {fence} {name} {}", wall_ms()));
    let loading = weights.loading.as_ref().is_some_and(|(n, _)| *n == name);
    if weights.now != name && !loading {
        let quick = weights.now.is_empty();
        let took = Duration::from_millis(if quick { replica.load_ms / 5 } else { replica.load_ms });
        weights.loading = Some((name, Instant::now() + took));
    }
    incoming.respond_json(200, "{}", vec![]);
}
