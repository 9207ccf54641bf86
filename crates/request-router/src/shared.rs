//! What all workers of a router share. Tables are read-copy-update; the rest is behind short locks,
//! none of which is taken while another is held.
use crate::explain::Explains;
use crate::reporting::Tried;
use control_chain::fleet::Fleet;
use control_chain::rules::Judge;
use crossbeam::channel::{Receiver, Sender, bounded};
use fleet_common::Rcu;
use fleet_common::ask::SeatNews;
use fleet_common::frame::Caller;
use fleet_common::hash;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use way_choice::fresh::Fresh;
use way_choice::let_in::InFlight;
use way_choice::place::Seat;
use way_choice::source::Mirrors;
use way_choice::tokens::Tokens;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// Plain counts, shown at /metrics.
        #[derive(Default)]
        pub struct Counters { $(pub $name: AtomicU64),* }
        impl Counters {
            pub fn words(&self) -> String {
                let mut text = String::new();
                $(text += &format!("coursebend_router_{} {}\n", stringify!($name), self.$name.load(Ordering::Relaxed));)*
                text
            }
        }
    };
}

counters! {
    requests, answered_whole, cut, refused, over_limit, retries, handovers_named, handovers_audited,
    false_hits, filter_pushes, filter_pulls, prefix_hits, prefix_misses, moves, not_fresh, slow_handovers,
}

pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// State news of replicas, with when it came.
pub type News = HashMap<String, (SeatNews, Instant)>;

pub struct Shared {
    pub name: String,
    pub district: String,
    pub agent: SocketAddr,
    pub start: u64,
    pub numbers: AtomicU64,
    pub fleet: Rcu<Fleet>,
    pub mirrors: Rcu<Mirrors>,
    /// Rules as compiled for a version of the blueprint.
    pub judge: Rcu<Arc<(u64, Judge)>>,
    pub news: Rcu<News>,
    pub down: Rcu<HashMap<String, Instant>>,
    pub fresh: Fresh,
    pub counters: Counters,
    pub draining: std::sync::atomic::AtomicBool,
    pub drain_ms: AtomicU64,
    in_flight: Mutex<InFlight>,
    tokens: Mutex<Tokens>,
    explains: Mutex<Explains>,
    agents: Mutex<Vec<Caller>>,
    pub tried: (Sender<Tried>, Receiver<Tried>),
}

fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|held| held.into_inner())
}

impl Shared {
    pub fn new(name: String, district: String, agent: SocketAddr) -> Self {
        Shared {
            name,
            district,
            agent,
            start: hash::unique(),
            numbers: AtomicU64::new(0),
            fleet: Rcu::new(Fleet::default()),
            mirrors: Rcu::new(Mirrors::new()),
            judge: Rcu::default(),
            news: Rcu::new(News::new()),
            down: Rcu::new(HashMap::new()),
            fresh: Fresh::default(),
            counters: Counters::default(),
            draining: false.into(),
            drain_ms: AtomicU64::new(8000),
            in_flight: Mutex::default(),
            tokens: Mutex::new(Tokens::new(10)),
            explains: Mutex::default(),
            agents: Mutex::default(),
            tried: bounded(1024),
        }
    }

    pub fn in_flight(&self) -> MutexGuard<'_, InFlight> {
        held(&self.in_flight)
    }

    pub fn tokens(&self) -> MutexGuard<'_, Tokens> {
        held(&self.tokens)
    }

    pub fn explains(&self) -> MutexGuard<'_, Explains> {
        held(&self.explains)
    }

    /// A stream to the agent, kept between asks.
    pub fn agent(&self) -> Caller {
        let idle = held(&self.agents).pop();
        idle.unwrap_or_else(|| Caller::new(self.agent, std::time::Duration::from_secs(5)))
    }

    pub fn give_agent_back(&self, caller: Caller) {
        held(&self.agents).push(caller);
    }

    pub fn is_fresh(&self) -> bool {
        self.fresh.holds(Instant::now())
    }

    /// The rules of the blueprint that holds, compiled once a version.
    pub fn rules(&self, fleet: &Fleet) -> Arc<(u64, Judge)> {
        let version = fleet.vector[fleet_common::ask::BLUEPRINT];
        let judge = self.judge.read();
        if judge.0 == version {
            return (*judge).clone();
        }
        let rules = fleet.blueprint.as_ref().map_or(&[][..], |b| &b.rules);
        let fresh = Arc::new((version, Judge::new(rules)));
        self.judge.change(|held| *held = fresh.clone());
        fresh
    }

    /// Replicas as they look now: listed by the platform, loaded and running as the index told.
    pub fn seats(&self) -> Vec<Seat> {
        let (fleet, news, down) = (self.fleet.read(), self.news.read(), self.down.read());
        let now = Instant::now();
        fleet
            .replicas
            .iter()
            .map(|row| {
                let told = news.get(&row.id).map(|(told, _)| told);
                let lately = down.get(&row.id).is_some_and(|until| now < *until);
                Seat {
                    id: row.id.clone(),
                    at: row.at.clone(),
                    district: row.district.clone(),
                    model: row.model.clone(),
                    weights: told.map(|t| t.weights.to_string()).unwrap_or_default(),
                    leaving: row.leaving,
                    down: lately || told.is_some_and(|t| t.down != 0),
                    load: told.map_or(0, |t| t.load),
                }
            })
            .collect()
    }
}
