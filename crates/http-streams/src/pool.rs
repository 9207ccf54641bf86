//! Kept connections to replicas. One that was idle for long, or on which anything came unasked, is not used.
use crate::outbound::Outbound;
use crate::wait::quiet;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Connections are not used within so much of the end that the replica states.
const MARGIN: Duration = Duration::from_millis(1200);
/// How long one may be idle where the replica states nothing.
const IDLE: Duration = Duration::from_secs(3);
/// How long a connection may be idle and still carry what may not run twice, where nothing else is asked for.
pub const SURE_IDLE: Duration = Duration::from_millis(500);

/// How sure one must be that a kept connection still stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A request that may run again: any that looks good.
    Any,
    /// A request that may not: only one that was in use a moment ago, or a new one.
    Sure,
}

/// Kept connections by replica.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Outbound>>>,
    /// How long a connection may be idle and still carry what may not run twice.
    sure: Duration,
}

impl Pool {
    /// An empty pool.
    /// ```
    /// let pool = http_streams::pool::Pool::new(std::time::Duration::from_millis(500));
    /// assert_eq!(pool.kept(), 0);
    /// ```
    pub fn new(sure: Duration) -> Self {
        Pool { idle: Mutex::default(), sure }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Outbound>>> {
        self.idle.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// A kept connection, if one will do.
    /// ```
    /// use http_streams::pool::{Need, Pool};
    /// assert!(Pool::default().take("127.0.0.1:1".parse().unwrap(), Need::Any).is_none());
    /// ```
    pub fn take(&self, to: SocketAddr, need: Need) -> Option<Outbound> {
        let now = Instant::now();
        loop {
            let mut one = self.lock().get_mut(&to)?.pop()?;
            let idle = now.saturating_duration_since(one.used);
            let kept = one.keep.map_or(IDLE, |keep| keep.saturating_sub(MARGIN));
            if idle < kept && quiet(one.socket()) {
                if need == Need::Sure && idle > self.sure {
                    // Newer ones go first, so all others are older still.
                    self.lock().entry(to).or_default().push(one);
                    return None;
                }
                let unused = if need == Need::Sure { kept.min(self.sure) } else { kept };
                one.usable_until = one.used.checked_add(unused);
                one.fresh = false;
                return Some(one);
            }
        }
    }

    /// A kept connection or a new one.
    /// ```
    /// use http_streams::pool::{Need, Pool};
    /// let patience = std::time::Duration::from_millis(50);
    /// assert!(Pool::default().open("127.0.0.1:1".parse().unwrap(), Need::Any, patience).is_err());
    /// ```
    pub fn open(&self, to: SocketAddr, need: Need, patience: Duration) -> io::Result<Outbound> {
        match self.take(to, need) {
            Some(kept) => Ok(kept),
            None => Outbound::connect(to, patience),
        }
    }

    /// Gives one back after a whole answer.
    /// ```no_run
    /// # fn show(pool: http_streams::pool::Pool, one: http_streams::outbound::Outbound) {
    /// pool.give("127.0.0.1:1".parse().unwrap(), one);
    /// # }
    /// ```
    pub fn give(&self, to: SocketAddr, one: Outbound) {
        if one.reusable() {
            self.lock().entry(to).or_default().push(one);
        }
    }

    /// Closes those of replicas that are gone, and those idle for too long.
    /// ```
    /// http_streams::pool::Pool::default().prune(|_| true);
    /// ```
    pub fn prune(&self, here: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let stale = |one: &Outbound| {
            now.saturating_duration_since(one.used) >= one.keep.map_or(IDLE, |keep| keep.saturating_sub(MARGIN))
        };
        let mut idle = self.lock();
        idle.retain(|to, _| here(to));
        idle.values_mut().for_each(|kept| kept.retain(|one| !stale(one)));
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// How many are kept.
    /// ```
    /// assert_eq!(http_streams::pool::Pool::default().kept(), 0);
    /// ```
    pub fn kept(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }
}
