//! A pool of idle connections to replicas. One that was idle for too long, or that is readable, is not used again.
use crate::outbound::Outbound;
use crate::wait::is_idle;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// By default, how long a connection may be idle and still carry a request that is not idempotent.
pub const RECENTLY_USED: Duration = Duration::from_millis(500);

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An idempotent request: any that looks usable.
    AnyIdle,
    /// Any other request: only one that was in use a moment ago, as the replica has hardly closed it meanwhile.
    RecentlyUsed,
}

/// Idle connections by replica.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Outbound>>>,
    /// How long a connection may be idle and still carry a request that is not idempotent.
    recently_used: Duration,
}

impl Pool {
    /// An empty pool.
    /// ```
    /// let pool = http_streams::pool::Pool::new(std::time::Duration::from_millis(500));
    /// assert_eq!(pool.idle_count(), 0);
    /// ```
    pub fn new(sure: Duration) -> Self {
        Pool { idle: Mutex::default(), recently_used: sure }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Outbound>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection that was used last, where one is usable.
    /// ```
    /// use http_streams::pool::{Reuse, Pool};
    /// assert!(Pool::default().take_idle("127.0.0.1:1".parse().unwrap(), Reuse::AnyIdle).is_none());
    /// ```
    pub fn take_idle(&self, to: SocketAddr, need: Reuse) -> Option<Outbound> {
        let now = Instant::now();
        loop {
            let mut connection = self.lock().get_mut(&to)?.pop()?;
            let idle = now.saturating_duration_since(connection.last_used);
            let max_idle = connection.max_idle();
            if idle >= max_idle || !is_idle(connection.socket()) {
                continue;
            }
            if need == Reuse::RecentlyUsed && idle > self.recently_used {
                // The newest is tried first, so all others have been idle for longer.
                self.lock().entry(to).or_default().push(connection);
                return None;
            }
            let usable_for = if need == Reuse::RecentlyUsed { max_idle.min(self.recently_used) } else { max_idle };
            connection.usable_until = connection.last_used.checked_add(usable_for);
            connection.is_new = false;
            return Some(connection);
        }
    }

    /// An idle connection or, within `timeout`, a new one. Errors are those of connecting.
    /// ```
    /// use http_streams::pool::{Reuse, Pool};
    /// let patience = std::time::Duration::from_millis(50);
    /// assert!(Pool::default().acquire("127.0.0.1:1".parse().unwrap(), Reuse::AnyIdle, patience).is_err());
    /// ```
    pub fn acquire(&self, to: SocketAddr, need: Reuse, timeout: Duration) -> io::Result<Outbound> {
        match self.take_idle(to, need) {
            Some(connection) => Ok(connection),
            None => Outbound::connect(to, timeout),
        }
    }

    /// Returns a connection after its response; one that is not reusable is closed.
    pub fn release(&self, to: SocketAddr, connection: Outbound) {
        if connection.is_reusable() {
            self.lock().entry(to).or_default().push(connection);
        }
    }

    /// Closes the connections to replicas that are not listed any more, and those idle for too long.
    /// ```
    /// http_streams::pool::Pool::default().prune(|_| true);
    /// ```
    pub fn prune(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let is_usable =
            |connection: &Outbound| now.saturating_duration_since(connection.last_used) < connection.max_idle();
        let mut idle = self.lock();
        idle.retain(|to, _| is_listed(to));
        idle.values_mut().for_each(|connections| connections.retain(is_usable));
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// How many connections are idle.
    /// ```
    /// assert_eq!(http_streams::pool::Pool::default().idle_count(), 0);
    /// ```
    pub fn idle_count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }
}
