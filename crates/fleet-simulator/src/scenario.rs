//! One run from one seed: a fleet in service, three rounds of a fault with operators at work, and what
//! the judges say.
use crate::clients::{Clients, key};
use crate::cores::ms;
use crate::faults::Fault;
pub use crate::figures::Outcome;
use crate::figures::{CommittedHistory, served};
use crate::invariants;
use crate::operators::{Operators, What};
use crate::shape::{DisabledGuard, EDGES, REPLICAS, TENANTS};
use crate::world::World;
use fleet_common::hash::key_digest;
use fleet_common::rpc::REPLICAS as LISTING;
use std::time::Duration;

pub(crate) struct Scenario {
    pub world: World,
    callers: Clients,
    operators: Operators,
    history: CommittedHistory,
    pub outcome: Outcome,
    calling: bool,
}

/// Runs one seed of one fault, with a guard switched off or none.
pub fn run(fault: Fault, seed: u64, off: DisabledGuard) -> Outcome {
    let mut run = Scenario {
        world: World::new(seed, off),
        callers: Clients::default(),
        operators: Operators::default(),
        history: CommittedHistory::default(),
        outcome: Outcome::default(),
        calling: false,
    };
    run.set_up();
    for round in 1..=3 {
        run.round(fault, round);
    }
    run.calling = false;
    run.pass(Duration::from_secs(12));
    let found = invariants::check_all(&run.world, &run.operators, &run.history);
    run.outcome.violations.extend(found);
    run.figures();
    run.outcome
}

impl Scenario {
    fn pass(&mut self, length: Duration) {
        let end = self.world.now() + length;
        while self.world.now() < end {
            self.world.step();
            self.world.replace_step();
            self.operators.step(&mut self.world);
            if self.calling {
                self.callers.step(&mut self.world);
            }
            self.record_committed();
        }
    }

    fn pass_until(&mut self, most: Duration, good: impl Fn(&Scenario) -> bool) -> Option<Duration> {
        let begun = self.world.now();
        while !good(self) {
            if self.world.now() - begun > most {
                return None;
            }
            self.pass(ms(20));
        }
        Some(self.world.now() - begun)
    }

    /// Notes what is committed by now.
    fn record_committed(&mut self) {
        let now = self.world.now();
        let Some(state) = self.world.committed() else { return };
        if state.versions[LISTING] > 0 {
            for at in 0..REPLICAS {
                let row = state.replicas.iter().find(|row| row.at == at.to_string());
                let marked = row.is_some_and(|row| row.leaving);
                let open = self.history.draining.iter_mut().find(|(r, _, until)| *r == at && *until == Duration::MAX);
                match (marked, open) {
                    (true, None) => self.history.draining.push((at, now, Duration::MAX)),
                    (false, Some(open)) => open.2 = now,
                    _ => {}
                }
            }
        }
        let weights = state.fleet_config.as_ref().and_then(|b| b.models.get("m")).map(|m| m.weights.clone());
        if let Some(weights) = weights.filter(|w| self.history.weights.last().is_none_or(|(held, _)| held != w)) {
            self.history.weights.push((weights, now));
        }
    }

    /// States something until it is accepted.
    fn order_until_accepted(&mut self, what: What) {
        for _ in 0..20 {
            self.operators.state(&self.world, what.clone());
            let answered = |run: &Scenario| run.operators.orders.last().is_some_and(|o| o.outcome.is_some());
            self.pass_until(Duration::from_secs(20), answered);
            let last = self.operators.orders.last().and_then(|order| order.outcome.as_ref());
            if last.is_some_and(|outcome| outcome.accepted()) {
                return;
            }
        }
        self.outcome.violations.push(format!("{what:?} was never accepted"));
    }

    fn add_keys(&mut self, number: u64) {
        self.operators.number = number;
        for (tenant, _) in TENANTS {
            self.order_until_accepted(What::KeyAdd(tenant.into()));
        }
    }

    fn set_up(&mut self) {
        self.pass(ms(1500));
        self.order_until_accepted(What::Blueprint(1));
        self.add_keys(0);
        self.calling = true;
        let ready = |run: &Scenario| served(&run.world, Duration::ZERO).len() == EDGES;
        if self.pass_until(Duration::from_secs(30), ready).is_none() {
            self.outcome.violations.push("the fleet never came into service".into());
        }
    }

    fn round(&mut self, fault: Fault, round: u64) {
        self.add_keys(round);
        self.callers.withdrawn_keys = round;
        self.pass(ms(500));
        self.world.bring_about(fault);
        let some = ms(self.world.rng.next(2500));
        self.pass(some);
        // The keys of the round before are withdrawn, two operators race, and one replica is to leave.
        for (tenant, _) in TENANTS.iter().take(2) {
            self.operators.state(&self.world, What::Withdraw(key_digest(&key(tenant, round - 1))));
            self.pass(ms(30));
        }
        self.operators.state(&self.world, What::Blueprint(round * 10));
        self.operators.state(&self.world, What::Blueprint(round * 10 + 1));
        let leaver = self.world.rng.next(REPLICAS as u64) as usize;
        if self.world.replacing.is_none() {
            self.mark(leaver, true);
        }
        let some = ms(self.world.rng.next(3000));
        self.pass(some);
        if self.world.rng.next(2) == 0 {
            self.world.bring_about(fault);
        }
        let named = format!("w{}", round + 1);
        if round > 1 {
            self.operators.state(&self.world, What::Weights(named.clone()));
        }
        if fault == Fault::OrdersHeldUp {
            self.pass(ms(300));
            self.world.bring_about(fault);
        }
        if fault == Fault::Storm {
            (0..60).for_each(|n| self.operators.state(&self.world, What::Blueprint(round * 100 + n)));
        }
        // A roll-out that cannot come to its end is looked at for longer than it may take.
        self.pass(if fault == Fault::LoadsForEver { ms(26_000) } else { ms(6000) });
        self.world.heal();
        let healed = self.world.now();
        self.recover();
        if self.world.replacing.is_none() {
            self.mark(leaver, false);
        }
        if round > 1 {
            self.roll_out(&named, if fault == Fault::Nothing { Duration::ZERO } else { healed });
        }
    }

    fn mark(&mut self, at: usize, leaving: bool) {
        let rows = self.world.listing.iter_mut().filter(|row| row.at == at.to_string());
        rows.for_each(|row| row.leaving = leaving);
    }

    fn recover(&mut self) {
        let healed = self.world.now();
        let all = move |run: &Scenario| served(&run.world, healed).len() == EDGES;
        match self.pass_until(Duration::from_secs(30), all) {
            Some(took) => self.outcome.data_recovery = self.outcome.data_recovery.max(took),
            None => {
                let edges = served(&self.world, healed);
                self.outcome.violations.push(format!("30 s after a fault's end only edges {edges:?} served"));
            }
        }
        match self.pass_until(Duration::from_secs(30), |run| run.operators.settled()) {
            Some(_) => {
                let took = self.world.now() - healed;
                self.outcome.control_recovery = self.outcome.control_recovery.max(took);
            }
            None => self.outcome.violations.push("30 s after a fault's end a command was not settled".into()),
        }
    }

    /// Names the weights anew if their command lost a race, and waits until all replicas run them.
    fn roll_out(&mut self, name: &str, healed: Duration) {
        let accepted = |run: &Scenario| {
            let mut of = run.operators.orders.iter().filter(|o| o.what == What::Weights(name.into()));
            of.find_map(|order| order.accepted)
        };
        if accepted(self).is_none() {
            self.order_until_accepted(What::Weights(name.into()));
        }
        let Some(since) = accepted(self) else { return };
        let all = |run: &Scenario| {
            let rows = &run.world.listing;
            let up = run.world.replicas.iter().take(REPLICAS).filter(|replica| {
                let row = rows.iter().find(|row| row.at == replica.at.to_string());
                replica.up && row.is_some_and(|row| !row.leaving)
            });
            let mut up = up.filter(|replica| replica.loading.is_some() || replica.weights != name);
            up.next().is_none()
        };
        let replaced = self.world.replacing.is_some();
        match self.pass_until(Duration::from_secs(40), all) {
            Some(_) => {
                // Counted from where it could begin: the command's acceptance or the fault's end.
                let took = self.world.now() - since.max(healed);
                self.outcome.longest_rollout = self.outcome.longest_rollout.max(took);
                if took > Duration::from_secs(20) && !replaced {
                    self.history.late_rollouts.push(format!("{name} in use everywhere only after {took:?}"));
                }
            }
            None => self.history.late_rollouts.push(format!("{name} not in use everywhere after 40 s")),
        }
    }
}
