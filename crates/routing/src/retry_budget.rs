//! The retry budget: each first attempt earns a tenth of a retry, so that retries stay a tenth of all requests even
//! while every replica fails.

/// The price of a retry; a first attempt earns 1.
const PRICE: u64 = 10;

/// A budget, counted in tenths of a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tenths: u64,
    max_tenths: u64,
}

impl RetryBudget {
    /// A budget that starts with `retries`, which is also the most it ever has.
    pub fn new(retries: u64) -> Self {
        Self::starting_with(retries, retries)
    }

    /// A budget that starts with fewer retries than it may have: a router that was restarted brings no burst with it.
    pub fn starting_with(retries: u64, max_retries: u64) -> Self {
        RetryBudget { tenths: retries * PRICE, max_tenths: max_retries * PRICE }
    }

    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(self.max_tenths);
    }

    /// Pays for a retry; `false` where the budget does not allow one.
    pub fn withdraw(&mut self) -> bool {
        let is_allowed = self.tenths >= PRICE;
        if is_allowed {
            self.tenths -= PRICE;
        }
        is_allowed
    }
}
