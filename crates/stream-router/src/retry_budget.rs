//! The retry budget: a share of the recent requests and a small fixed allowance, so that the retries of all routers
//! together stay below the operator's limit.
use std::time::Duration;

/// The share of the allowance that the routers' balances may hold together.
const ALLOWANCE_SHARE: f64 = 0.6;
/// The share of a balance's allowance that is refilled within a window.
const REFILL_SHARE: f64 = 0.5;
/// The share of the ratio that each request earns.
const EARNED_RATIO_SHARE: f64 = 0.5;
/// The share of a window's ratio that a balance may hold.
const SAVED_RATIO_SHARE: f64 = 0.2;
/// A sum of earned parts may fall short of a whole retry by so much.
const ROUNDING_ERROR: f64 = 1e-9;

/// The operator's limit on the retries of all routers together in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries besides, whatever the number of requests.
    pub allowance: f64,
    /// The length of a window.
    pub window: Duration,
}

impl Default for RetryBudgetLimits {
    fn default() -> Self {
        RetryBudgetLimits { ratio: 0.1, allowance: 10.0, window: Duration::from_secs(10) }
    }
}

/// One router's share of the budget. Each request earns a part of a retry; the balance is bounded by what one window
/// may hold.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    /// How many routers share the allowance, once that is known.
    routers: Option<f64>,
    /// Retries that may be sent now.
    balance: f64,
    /// Recent requests, decayed exponentially over a window.
    requests_per_window: f64,
    /// When the last request came.
    last_request: Duration,
}

impl RetryBudget {
    /// Starts with an empty balance: a router that restarts causes no burst of retries.
    /// ```
    /// use stream_router::retry_budget::{RetryBudget, RetryBudgetLimits};
    /// assert!(!RetryBudget::new(RetryBudgetLimits::default()).try_spend());
    /// ```
    pub fn new(bound: RetryBudgetLimits) -> Self {
        RetryBudget {
            limits: bound,
            routers: None,
            balance: 0.0,
            requests_per_window: 0.0,
            last_request: Duration::ZERO,
        }
    }

    /// Sets how many routers share the allowance; until it is known there is none.
    /// ```
    /// # use stream_router::retry_budget::{RetryBudget, RetryBudgetLimits};
    /// RetryBudget::new(RetryBudgetLimits::default()).set_router_count(9);
    /// ```
    pub fn set_router_count(&mut self, routers: usize) {
        self.routers = Some(routers.max(1) as f64);
    }

    /// Counts a request, which earns half of the ratio: a window also holds what was saved before it. `now` is the time
    /// since the router started.
    /// ```
    /// # use stream_router::retry_budget::{RetryBudget, RetryBudgetLimits};
    /// # use std::time::Duration;
    /// let mut budget = RetryBudget::new(RetryBudgetLimits { ratio: 0.2, allowance: 20.0, window: Duration::from_secs(10) });
    /// budget.set_router_count(1);
    /// (0..20).for_each(|_| budget.record_request(Duration::from_secs(1)));
    /// assert!(budget.try_spend() && budget.try_spend() && !budget.try_spend());
    /// ```
    pub fn record_request(&mut self, now: Duration) {
        // A router without requests for so long was likely partitioned, and the others shared the whole allowance.
        if now.saturating_sub(self.last_request) > self.limits.window / 3 {
            self.balance = 0.0;
        }
        let passed = now.saturating_sub(self.last_request).as_secs_f64() / self.limits.window.as_secs_f64().max(0.001);
        self.last_request = now;
        self.requests_per_window = self.requests_per_window * (-passed).exp() + 1.0;
        let allowed = self.routers.map_or(0.0, |routers| self.limits.allowance * ALLOWANCE_SHARE / routers);
        let most = allowed + self.requests_per_window * self.limits.ratio * SAVED_RATIO_SHARE;
        // The allowance is refilled within a window; the ratio's part comes with each request.
        let back = allowed * passed.min(1.0) * REFILL_SHARE;
        self.balance = (self.balance + self.limits.ratio * EARNED_RATIO_SHARE + back).min(most);
    }

    /// Takes one retry from the balance; `false` where there is none.
    /// ```
    /// # use stream_router::retry_budget::{RetryBudget, RetryBudgetLimits};
    /// let mut budget = RetryBudget::new(RetryBudgetLimits { allowance: 1000.0, ..RetryBudgetLimits::default() });
    /// budget.set_router_count(1);
    /// (0..40).for_each(|_| budget.record_request(std::time::Duration::ZERO));
    /// assert!(budget.try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        // The parts are added up as floating-point numbers, so a sum may fall short of 1 by a rounding error.
        let can = self.balance >= 1.0 - ROUNDING_ERROR;
        if can {
            self.balance -= 1.0;
        }
        can
    }
}
