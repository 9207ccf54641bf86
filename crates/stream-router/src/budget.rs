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
    routers: Option<f64>,
    held: f64,
    asked_per_window: f64,
    last: Duration,
}

impl Budget {
    /// Starts with nothing in hand: a router that starts anew brings no burst with it.
    /// ```
    /// use stream_router::budget::{Bound, Budget};
    /// assert!(!Budget::new(Bound::default()).spend());
    /// ```
    pub fn new(bound: Bound) -> Self {
        Budget { bound, routers: None, held: 0.0, asked_per_window: 0.0, last: Duration::ZERO }
    }

    /// How many routers share the allowance; until it is known there is none.
    /// ```
    /// # use stream_router::budget::{Bound, Budget};
    /// Budget::new(Bound::default()).share(9);
    /// ```
    pub fn share(&mut self, routers: usize) {
        self.routers = Some(routers.max(1) as f64);
    }

    /// A request came: half of the ratio is earned, as a window holds what was saved before it besides.
    /// ```
    /// # use stream_router::budget::{Bound, Budget};
    /// # use std::time::Duration;
    /// let mut budget = Budget::new(Bound { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) });
    /// budget.share(1);
    /// (0..20).for_each(|_| budget.earn(Duration::from_secs(1)));
    /// assert!(budget.spend() && budget.spend() && !budget.spend());
    /// ```
    pub fn earn(&mut self, now: Duration) {
        // Who was silent for long was likely out of touch, and the others shared the whole allowance meanwhile.
        if now.saturating_sub(self.last) > self.bound.window / 3 {
            self.held = 0.0;
        }
        let passed = now.saturating_sub(self.last).as_secs_f64() / self.bound.window.as_secs_f64().max(0.001);
        self.last = now;
        self.asked_per_window = self.asked_per_window * (-passed).exp() + 1.0;
        let allowed = self.routers.map_or(0.0, |routers| self.bound.slack * 0.6 / routers);
        let most = allowed + self.asked_per_window * self.bound.ratio * 0.2;
        // The allowance comes back within a window; the ratio's part comes with each request.
        let back = allowed * passed.min(1.0) * 0.5;
        self.held = (self.held + self.bound.ratio * 0.5 + back).min(most);
    }

    /// Leave for a further try.
    /// ```
    /// # use stream_router::budget::{Bound, Budget};
    /// let mut budget = Budget::new(Bound { slack: 1000.0, ..Bound::default() });
    /// budget.share(1);
    /// (0..40).for_each(|_| budget.earn(std::time::Duration::ZERO));
    /// assert!(budget.spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        // A hair less than a whole one is a whole one: the parts are added up.
        let can = self.held >= 1.0 - 1e-9;
        if can {
            self.held -= 1.0;
        }
        can
    }
}
