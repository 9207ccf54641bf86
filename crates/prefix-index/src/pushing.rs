//! Pushes to the routers: a filter after beta events, and what is known of each replica's state.
use crate::known::{Shared, lock};
use crossbeam::channel::{Sender, bounded};
use fleet_common::ask::{Answer, Ask, Filter, SeatNews};
use fleet_common::frame::Caller;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_millis(100);
const SEATS_ANEW: Duration = Duration::from_millis(1000);

/// Makes the filter of a replica for sending.
pub fn filter(shared: &Shared, replica: &str) -> Option<Filter> {
    let fence = shared.holds(replica)?;
    let kept = shared.kept(replica)?;
    let mut held = lock(&kept);
    let items = held.table.items() as u32;
    let weights = held.table.facts().0.to_string();
    let (bits, version) = held.table.send();
    drop(held);
    let (words, m, k) = bits.into_parts();
    Some(Filter {
        replica: replica.into(),
        index: shared.me.name.as_str().into(),
        fence,
        version,
        weights: weights.as_str().into(),
        m,
        k,
        items,
        bits: words.into(),
    })
}

/// One sender thread for each router, so that a dead one holds nobody up.
#[derive(Default)]
struct Routers {
    senders: HashMap<String, Sender<Ask>>,
}

impl Routers {
    /// Gives back whether the router had room for it.
    fn send(&mut self, at: &str, ask: Ask) -> bool {
        let sender = self.senders.entry(at.to_string()).or_insert_with(|| {
            let (sender, receiver) = bounded::<Ask>(64);
            let to = at.parse();
            std::thread::spawn(move || {
                let Ok(to) = to else { return };
                let mut caller = Caller::new(to, Duration::from_millis(1000));
                for ask in receiver {
                    if caller.ask::<Ask, Answer>(&ask).is_err() {
                        std::thread::sleep(Duration::from_millis(50));
                    }
                }
            });
            sender
        });
        sender.try_send(ask).is_ok()
    }
}

fn edges(shared: &Shared) -> Vec<String> {
    shared.fleet.read().members.values().filter(|m| m.kind == "edge").map(|m| m.at.clone()).collect()
}

pub fn start(shared: Arc<Shared>) {
    std::thread::spawn(move || {
        let mut routers = Routers::default();
        let mut told: HashMap<String, (SeatNews, Instant)> = HashMap::new();
        let mut known: Vec<String> = Vec::new();
        loop {
            std::thread::sleep(EVERY);
            let edges = edges(&shared);
            let newcomers: Vec<String> = edges.iter().filter(|e| !known.contains(e)).cloned().collect();
            routers.senders.retain(|at, _| edges.contains(at));
            known = edges.clone();
            let beta = shared.fleet.read().blueprint.as_ref().map_or(25, |b| b.index.beta);
            let mut seats = Vec::new();
            for (replica, kept) in shared.all_kept() {
                let Some(fence) = shared.holds(&replica) else { continue };
                let (weights, load, down, due) = {
                    let held = lock(&kept);
                    let (weights, _, since) = held.table.facts();
                    (weights.to_string(), held.load, held.down, since >= beta)
                };
                let to = if due { &edges } else { &newcomers };
                if !to.is_empty()
                    && let Some(filter) = filter(&shared, &replica)
                {
                    to.iter().for_each(|at| _ = routers.send(at, Ask::FilterPush(filter.clone())));
                }
                let news = SeatNews {
                    replica: replica.as_str().into(),
                    fence,
                    load,
                    weights: weights.as_str().into(),
                    down: down.into(),
                };
                let old = told.get(&replica).is_some_and(|(last, at)| *last == news && at.elapsed() < SEATS_ANEW);
                if !old || !newcomers.is_empty() {
                    told.insert(replica, (news.clone(), Instant::now()));
                    seats.push(news);
                }
            }
            if !seats.is_empty() {
                edges.iter().for_each(|at| _ = routers.send(at, Ask::Seats(seats.clone().into())));
            }
        }
    });
}
