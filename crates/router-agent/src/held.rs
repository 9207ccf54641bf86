//! What the agent holds for its router: whole versions, and how old the last confirmed pull is.
use fleet_common::ask::{Answer, CORES, Pull, Pulled, SOURCES, Vector, Versioned};
use fleet_common::node::vector;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const PARK_MAX: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Now {
    sources: [Option<Versioned>; SOURCES.len()],
    confirmed_at: Option<Instant>,
    router_has: Vector,
    router_fed: Option<Instant>,
}

/// One short lock; waiting pulls are woken when something new is in.
#[derive(Default)]
pub struct Held {
    now: Mutex<Now>,
    news: Condvar,
}

impl Now {
    fn vector(&self) -> Vector {
        std::array::from_fn(|at| self.sources[at].as_ref().map_or(0, |v| v.version))
    }
}

impl Held {
    fn lock(&self) -> MutexGuard<'_, Now> {
        self.now.lock().unwrap_or_else(|held| held.into_inner())
    }

    pub fn vector(&self) -> Vector {
        self.lock().vector()
    }

    /// What the router said it uses.
    pub fn confirmed(&self) -> Vector {
        self.lock().router_has
    }

    /// Whether the router may still be working under a term fed from here.
    pub fn router_may_hold(&self, term: Duration) -> bool {
        self.lock().router_fed.is_some_and(|at| at.elapsed() < term)
    }

    pub fn cores(&self) -> Option<Vec<u8>> {
        self.lock().sources[CORES].as_ref().map(|v| v.value.as_slice().to_vec())
    }

    /// Before a pull that says the router holds no term: it must not be fed one older than that.
    pub fn forget_term(&self) {
        self.lock().confirmed_at = None;
    }

    /// Takes what a pull brought. Whole versions only, and never an older one. Only a pull that said
    /// the router holds a term may extend it.
    pub fn take(&self, sent: Instant, holding: bool, pulled: Pulled) {
        let mut now = self.lock();
        if pulled.member == 0 {
            return;
        }
        for news in pulled.changed.into_items() {
            if let Some(slot) = now.sources.get_mut(news.source as usize)
                && slot.as_ref().is_none_or(|held| held.version < news.version)
            {
                *slot = Some(news);
            }
        }
        if holding {
            now.confirmed_at = now.confirmed_at.max(Some(sent));
        }
        drop(now);
        self.news.notify_all();
    }

    /// Answers the router: what it lacks, with the age of the last confirmed pull. Waits for news,
    /// but not so long that freshness would suffer.
    pub fn answer(&self, pull: &Pull) -> Answer {
        let have = vector(pull.have.items());
        let until = Instant::now() + Duration::from_millis(pull.wait_ms.into()).min(PARK_MAX);
        let mut now = self.lock();
        now.router_has = have;
        now.router_fed = Some(Instant::now());
        loop {
            let holds = now.vector();
            let lacks = (0..SOURCES.len()).any(|at| have[at] < holds[at]);
            let wait = until.saturating_duration_since(Instant::now());
            if lacks || wait.is_zero() {
                break;
            }
            now = self.news.wait_timeout(now, wait).unwrap_or_else(|held| held.into_inner()).0;
        }
        let changed: Vec<Versioned> =
            now.sources.iter().flatten().filter(|v| have[v.source as usize] < v.version).cloned().collect();
        let Some(confirmed_at) = now.confirmed_at else {
            return Answer::Pulled(Pulled { member: 0, age_ms: 0, changed: changed.into() });
        };
        now.router_fed = Some(Instant::now());
        let age_ms = confirmed_at.elapsed().as_millis() as u64 + 1;
        Answer::Pulled(Pulled { member: 1, age_ms, changed: changed.into() })
    }

    /// What this agent holds, as JSON.
    pub fn words(&self) -> String {
        let now = self.lock();
        let pairs = |v: Vector| {
            let each: Vec<String> = SOURCES.iter().zip(v).map(|(name, n)| format!("\"{name}\":{n}")).collect();
            format!("{{{}}}", each.join(","))
        };
        let age = now.confirmed_at.map_or("null".to_string(), |at| at.elapsed().as_millis().to_string());
        format!("{{\"versions\":{},\"routerUses\":{},\"pullAgeMs\":{age}}}", pairs(now.vector()), pairs(now.router_has))
    }
}
