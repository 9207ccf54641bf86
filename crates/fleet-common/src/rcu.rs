//! Read-copy-update for shared tables: readers take a whole version, writers swap in another.
use arc_swap::ArcSwap;
use std::sync::{Arc, Mutex};

/// A shared table. Readers never wait; writers go one at a time (their lock is always innermost).
pub struct Rcu<T> {
    now: ArcSwap<T>,
    writers: Mutex<()>,
}

impl<T: Default> Default for Rcu<T> {
    fn default() -> Self {
        Rcu::new(T::default())
    }
}

impl<T> Rcu<T> {
    /// Starts with a first version.
    /// ```
    /// assert_eq!(*fleet_common::Rcu::new(4).read(), 4);
    /// ```
    pub fn new(value: T) -> Self {
        Rcu { now: ArcSwap::from_pointee(value), writers: Mutex::new(()) }
    }

    /// The version that holds now; it stays whole however long it is kept.
    /// ```
    /// let table = fleet_common::Rcu::new(vec![1]);
    /// let held = table.read();
    /// table.update(|rows| rows.push(2));
    /// assert_eq!((held.len(), table.read().len()), (1, 2));
    /// ```
    pub fn read(&self) -> Arc<T> {
        self.now.load_full()
    }

    /// Copies the table, changes the copy and swaps it in.
    /// ```
    /// let table = fleet_common::Rcu::new(1);
    /// assert_eq!(table.update(|n| { *n += 1; *n }), 2);
    /// ```
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R
    where
        T: Clone,
    {
        let _turn = self.writers.lock().unwrap_or_else(|held| held.into_inner());
        let mut copy = (*self.now.load_full()).clone();
        let result = change(&mut copy);
        self.now.store(Arc::new(copy));
        result
    }
}
