//! What an index node knows: the fleet by read-copy-update, its tables behind a short lock each.
//! Lock order: `duties` before a table's own lock; nothing else is taken while a table is held.
use control_chain::fleet::Fleet;
use fleet_common::Rcu;
use fleet_common::ask::{Pulled, Vector};
use fleet_common::node::{Identity, Link, Seeds};
use prefix_table::table::{Shape, Table};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use way_choice::fresh::Fresh;

/// One replica's table in our care, as holder or as shadow.
pub struct Kept {
    pub table: Table,
    pub load: u64,
    pub down: bool,
    pub first_loss: Option<Instant>,
    pub fence: u64,
    pub audits: [u64; 4],
    pub ordered: Option<(String, Instant)>,
    /// Since when the duty is held under this fence.
    pub since: Instant,
}

pub struct Shared {
    pub me: Identity,
    pub begun: Instant,
    pub fleet: Rcu<Fleet>,
    pub fresh: Fresh,
    tables: Mutex<HashMap<String, Arc<Mutex<Kept>>>>,
    pub link: Mutex<Link>,
    pub leaving: std::sync::atomic::AtomicBool,
}

/// The shape the blueprint gives tables.
pub fn shape(fleet: &Fleet) -> Shape {
    let index = fleet.blueprint.as_ref().map(|b| &b.index);
    Shape { bits: index.map_or(16_384, |i| i.bits as u32), hashes: index.map_or(0, |i| i.hashes as u8) }
}

impl Shared {
    pub fn new(me: Identity, seeds: Seeds) -> Self {
        Shared {
            link: Mutex::new(Link::new(me.clone(), seeds)),
            me,
            begun: Instant::now(),
            fleet: Rcu::new(Fleet::default()),
            fresh: Fresh::default(),
            leaving: false.into(),
            tables: Mutex::new(HashMap::new()),
        }
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn take(&self, sent: Instant, pulled: Pulled) -> Vector {
        let news = pulled.changed.items();
        let (vector, taken) = if news.is_empty() {
            (self.fleet.read().vector, true)
        } else {
            self.fleet.change(|fleet| {
                let taken = fleet.take_all(news);
                (fleet.vector, taken)
            })
        };
        if pulled.member != 0 && taken {
            self.fresh.confirm(sent, Duration::ZERO);
        }
        vector
    }

    /// Whether this node holds the duty for a replica now: by the core's word and under its term.
    pub fn holds(&self, replica: &str) -> Option<u64> {
        if !self.fresh.holds(Instant::now()) {
            return None;
        }
        self.fleet.read().fence(replica, &self.me)
    }

    pub fn kept(&self, replica: &str) -> Option<Arc<Mutex<Kept>>> {
        self.tables.lock().unwrap_or_else(|held| held.into_inner()).get(replica).cloned()
    }

    pub fn all_kept(&self) -> Vec<(String, Arc<Mutex<Kept>>)> {
        let tables = self.tables.lock().unwrap_or_else(|held| held.into_inner());
        let mut all: Vec<_> = tables.iter().map(|(name, kept)| (name.clone(), kept.clone())).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    pub fn put(&self, replica: &str, table: Table, fence: u64) -> Arc<Mutex<Kept>> {
        let fresh = Kept {
            table,
            load: 0,
            down: false,
            first_loss: None,
            fence,
            audits: [0; 4],
            ordered: None,
            since: Instant::now(),
        };
        let kept = Arc::new(Mutex::new(fresh));
        self.tables.lock().unwrap_or_else(|held| held.into_inner()).insert(replica.to_string(), kept.clone());
        kept
    }

    pub fn drop_kept(&self, replica: &str) {
        self.tables.lock().unwrap_or_else(|held| held.into_inner()).remove(replica);
    }
}

/// Locks a kept table, whatever became of the last who held it.
pub fn lock(kept: &Mutex<Kept>) -> MutexGuard<'_, Kept> {
    kept.lock().unwrap_or_else(|held| held.into_inner())
}
