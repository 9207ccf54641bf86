//! A bound on the memory that what other processes send takes together. What exceeds it is rejected, as a process that takes
//! more than its machine has is ended, with all that it serves.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bound, and how much of it is in use.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    /// What each reservation has beside the bound, so that small ones do not wait for large ones.
    allowance: usize,
    used: AtomicUsize,
}

impl MemoryBudget {
    /// A bound of so many bytes.
    /// ```
    /// let budget = fleet_common::memory_budget::MemoryBudget::new(100);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn new(limit: usize) -> Arc<MemoryBudget> {
        Self::with_allowance(limit, 0)
    }

    /// A bound of so many bytes, beside so many that each reservation has in any case.
    /// ```
    /// use fleet_common::memory_budget::{MemoryBudget, Reservation};
    /// let budget = MemoryBudget::with_allowance(100, 10);
    /// let (mut large, mut small) = (Reservation::new(&budget), Reservation::new(&budget));
    /// assert!(large.grow_to(110) && small.grow_to(10) && !small.grow_to(11));
    /// ```
    pub fn with_allowance(limit: usize, allowance: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { limit, allowance, used: AtomicUsize::new(0) })
    }

    /// The bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    fn take(&self, bytes: usize) -> bool {
        let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.used.fetch_update(Ordering::AcqRel, Ordering::Acquire, fits).is_ok()
    }
}

/// The part of a budget that one request, frame or answer has. It is given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// A part that is still empty.
    /// ```
    /// use fleet_common::memory_budget::{MemoryBudget, Reservation};
    /// let budget = MemoryBudget::new(100);
    /// let mut reservation = Reservation::new(&budget);
    /// assert!(reservation.grow_to(60) && !reservation.grow_to(101));
    /// assert_eq!(budget.used(), 60);
    /// drop(reservation);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn new(budget: &Arc<MemoryBudget>) -> Reservation {
        Reservation { budget: budget.clone(), bytes: 0 }
    }

    /// Grows the part to so many bytes in all; `false`, and no change, where the budget has no room for it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.budget.allowance).saturating_sub(self.bytes);
        let has_grown = more == 0 || self.budget.take(more);
        if has_grown {
            self.bytes += more;
        }
        has_grown
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
