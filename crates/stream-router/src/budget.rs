//! The budget of further tries: a share of what was asked lately, and a small allowance, so that all
//! routers together stay below the operator's bound.
use std::time::Duration;

/// The operator's bound: in any window so many further tries for each first one, and so many besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    pub ratio: f64,
    pub slack: f64,
    pub window: Duration,
}

impl Default for Bound {
    fn default() -> Self {
        Bound { ratio: 0.1, slack: 10.0, window: Duration::from_secs(10) }
    }
}

/// One router's part of the budget: each request earns part of a try; what is saved is bounded by what one
/// window may hold.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Bound,
    routers: f64,
    held: f64,
    asked_per_window: f64,
    last: Duration,
}

impl Budget {
    /// Starts with one try in hand.
    /// ```
    /// use stream_router::budget::{Bound, Budget};
    /// let mut budget = Budget::new(Bound::default());
    /// assert!(budget.spend() && !budget.spend());
    /// ```
    pub fn new(bound: Bound) -> Self {
        Budget { bound, routers: 1.0, held: 1.0, asked_per_window: 0.0, last: Duration::ZERO }
    }

    /// How many routers share the allowance.
    /// ```
    /// # use stream_router::budget::{Bound, Budget};
    /// Budget::new(Bound::default()).share(9);
    /// ```
    pub fn share(&mut self, routers: usize) {
        self.routers = routers.max(1) as f64;
    }

    /// A request came: half of the ratio is earned, as a window holds what was saved before it besides.
    /// ```
    /// # use stream_router::budget::{Bound, Budget};
    /// # use std::time::Duration;
    /// let mut budget = Budget::new(Bound { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) });
    /// (0..20).for_each(|_| budget.earn(Duration::from_secs(1)));
    /// assert!(budget.spend() && budget.spend() && budget.spend() && !budget.spend());
    /// ```
    pub fn earn(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.last).as_secs_f64() / self.bound.window.as_secs_f64().max(0.001);
        self.last = now;
        self.asked_per_window = self.asked_per_window * (-passed).exp() + 1.0;
        let most = (self.bound.slack * 0.6 / self.routers).max(1.0) + self.asked_per_window * self.bound.ratio * 0.2;
        self.held = (self.held + self.bound.ratio * 0.5).min(most);
    }

    /// Leave for a further try.
    /// ```
    /// # use stream_router::budget::{Bound, Budget};
    /// assert!(Budget::new(Bound::default()).spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        let can = self.held >= 1.0;
        if can {
            self.held -= 1.0;
        }
        can
    }
}
