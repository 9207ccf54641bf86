//! Orders to replicas: to load the weights that are released for their model, when it is their turn. Each carries the
//! fencing token, and a replica rejects an older one.
use crate::index_node::{IndexNode, OrderAnswer, OrderOutcome, Output};
use crate::rollout_planner::{LOAD_TIMEOUT, Rollout, RolloutDecision, RolloutReplica, late_after};
use crate::rollout_progress::{RolloutCounts, RolloutProgress};
use crate::tracked_replica::{LoadOrder, TrackedReplica};
use control_state::command::ReplicaInfo;
use control_state::fleet::{APP_MODEL, STORE_MODEL};
use control_state::process_instant::ProcessInstant;
use fleet_common::rpc::{NODE_LEASE, stage};
use std::collections::BTreeSet;
use std::time::Duration;

/// An order that was not answered, or not accepted, is sent again after this.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// A replica is announced to be loading so long before its order is sent: then nothing is on its way there when the order
/// comes.
const ANNOUNCEMENT_LEAD: Duration = Duration::from_millis(80);
/// An owner reports its replicas every second: one that is silent for so long does not order them now.
const PEER_REPORT_TIMEOUT: Duration = Duration::from_millis(1800);
/// Ticks that are further apart mean that this process was paused.
const LONGEST_TICK_GAP: Duration = Duration::from_millis(500);
/// What came for it meanwhile is read within so long.
const CATCH_UP_DELAY: Duration = Duration::from_millis(300);
/// A replica that carries out another order is asked again after this.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(300);
/// An order that was not accepted so often has failed.
const MAX_FAILED_ATTEMPTS: u32 = 3;
/// So long after its lease a former owner's orders have surely arrived or failed.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(400);

/// How far a replica is with the weights that it was ordered to load.
pub(crate) struct OrderStage {
    /// Empty where it was ordered nothing.
    pub weights: String,
    /// One of `fleet_common`'s stages.
    pub stage: u8,
}

impl OrderStage {
    fn none() -> Self {
        OrderStage { weights: String::new(), stage: stage::NONE }
    }
}

/// What is known of a replica, by this node itself or by the reports of its owner.
struct KnownState {
    weights: String,
    order: OrderStage,
    down: bool,
    silent: bool,
}

/// An owned replica of the model of a rollout.
struct OwnedReplica {
    id: String,
    address: String,
    fencing_token: u64,
}

impl IndexNode {
    /// Which weights of a model a tracked replica was ordered to load, and how far it is.
    pub(crate) fn order_stage(&self, tracked: &TrackedReplica, model: &str) -> OrderStage {
        let Some(order) = tracked.orders.get(model) else { return OrderStage::none() };
        OrderStage { weights: order.weights.clone(), stage: self.stage_of(tracked, model, order) }
    }

    fn stage_of(&self, tracked: &TrackedReplica, model: &str, order: &LoadOrder) -> u8 {
        let load_time = self.now.saturating_sub(order.started_at);
        let says_that_it_loads = order.accepted && tracked.load.busy;
        let is_late = || self.late_after(model).is_some_and(|late| load_time > late);
        if order.done || tracked.table.weights_of(model) == order.weights {
            stage::SERVING
        } else if order.failed_attempts >= MAX_FAILED_ATTEMPTS {
            stage::FAILED
        } else if says_that_it_loads && is_late() {
            stage::LATE
        } else if !says_that_it_loads && load_time > LOAD_TIMEOUT {
            stage::FAILED
        } else {
            stage::LOADING
        }
    }

    /// How long a load of a model's wanted weights may take before others need not wait for it.
    fn late_after(&self, model: &str) -> Option<Duration> {
        late_after(self.rollouts.get(model)?.longest_load_time)
    }

    /// Whether a tracked replica was ordered to load weights of any model, and is not seen done.
    pub(crate) fn carries_out_an_order(&self, replica: &str) -> bool {
        let Some(tracked) = self.replicas.get(replica) else { return false };
        tracked.orders.keys().any(|model| is_loading(self.order_stage(tracked, model).stage))
    }

    /// Whether a replica carries out an order for another of its models: it takes one order at a time.
    fn loads_another_model(&self, replica: &str, model: &str) -> bool {
        let others = self.models_of(replica).iter().filter(|other| *other != model);
        others.into_iter().any(|other| is_loading(self.known_state(replica, other).order.stage))
    }

    /// All replicas of a model: those owned here as they are, the others as their owners reported lately.
    fn rollout_replicas(&self, model: &str, wanted: &str) -> Vec<RolloutReplica> {
        let listed = self.fleet.replicas.iter().filter(|replica| replica.has_model(model));
        listed.map(|replica| self.rollout_replica(replica, model, wanted)).collect()
    }

    fn rollout_replica(&self, replica: &ReplicaInfo, model: &str, wanted: &str) -> RolloutReplica {
        let KnownState { weights, order, down, silent } = self.known_state(&replica.id, model);
        let stage = if order.weights == wanted { order.stage } else { stage::NONE };
        // A replica's word that it runs them may come before its report does.
        let weights = if stage == stage::SERVING { wanted.to_string() } else { weights };
        // One that loads other released weights is not ordered anew before it has served those.
        let loads_other = is_loading(order.stage) && order.weights != wanted;
        let expired = !weights.is_empty() && !loads_other && self.has_expired(model, &weights);
        let not_ordered_now = silent || self.loads_another_model(&replica.id, model);
        let (id, draining) = (replica.id.clone(), replica.leaving);
        RolloutReplica { id, weights, stage, down, draining, silent: not_ordered_now, expired }
    }

    fn known_state(&self, replica: &str, model: &str) -> KnownState {
        if self.active_fencing_token(replica).is_some()
            && let Some(tracked) = self.replicas.get(replica)
        {
            let weights = tracked.table.weights_of(model).to_string();
            let order = self.order_stage(tracked, model);
            return KnownState { weights, order, down: tracked.down, silent: false };
        }
        let Some(received) = self.peer_reports.get(replica) else {
            return KnownState { weights: String::new(), order: OrderStage::none(), down: false, silent: true };
        };
        let state = received.state_of(model);
        KnownState {
            weights: state.weights.to_string(),
            order: OrderStage { weights: state.order.to_string(), stage: state.stage },
            down: received.report.down != 0,
            silent: self.now.saturating_sub(received.received_at) > PEER_REPORT_TIMEOUT,
        }
    }

    /// After a pause of this process its peers' silence is its own: their reports count as that much younger, and it
    /// orders nobody before it has read what came meanwhile. What it had announced and not sent is announced anew.
    pub(crate) fn detect_process_pause(&mut self) {
        let last_tick_at = self.last_tick_at.replace(self.now);
        let gap = last_tick_at.map_or(Duration::ZERO, |last| self.now.saturating_sub(last));
        if gap <= LONGEST_TICK_GAP {
            return;
        }
        for received in self.peer_reports.values_mut() {
            received.received_at += gap;
        }
        self.orders_resume_at = self.now + CATCH_UP_DELAY;
        for tracked in self.replicas.values_mut() {
            tracked.orders.retain(|_, order| order.sent);
        }
    }

    /// Announces and sends the orders that are due.
    pub(crate) fn advance_rollouts(&mut self) {
        if self.now < self.orders_resume_at {
            return;
        }
        let Some(configuration) = self.fleet.fleet_config.as_ref() else { return };
        let keep_serving_percent = configuration.limits.keep_serving;
        // Stores and the app service take no orders.
        let models =
            configuration.models.iter().filter(|(model, _)| ![STORE_MODEL, APP_MODEL].contains(&model.as_str()));
        let models: Vec<(String, String)> = models.map(|(name, model)| (name.clone(), model.weights.clone())).collect();
        let mut taken = BTreeSet::new();
        for (model, wanted) in &models {
            self.advance_rollout(model, wanted, keep_serving_percent, &mut taken);
        }
    }

    /// Orders the replicas of a model whose turn it is. `taken` are those with several models that the rollout of a model
    /// before this one takes first.
    fn advance_rollout(&mut self, model: &str, wanted: &str, keep_serving_percent: u64, taken: &mut BTreeSet<String>) {
        let mut replicas = self.rollout_replicas(model, wanted);
        for replica in replicas.iter_mut().filter(|replica| taken.contains(&replica.id)) {
            replica.silent |= !is_loading(replica.stage);
        }
        self.track_progress(model, wanted, &replicas);
        let choices = Rollout { replicas: &replicas, wanted, keep_serving_percent }.choices();
        let mut halted = None;
        for (owned, replica) in self.owned_replicas(&replicas) {
            let has_several_models = self.models_of(&owned.id).len() > 1;
            if has_several_models && choices.is_over_limit(replica) && self.withdraw_order(&owned.id, model) {
                continue;
            }
            match choices.decide(replica) {
                RolloutDecision::LoadNow if taken.contains(&owned.id) => {}
                RolloutDecision::LoadNow => self.announce_or_send_order(&owned, model, wanted),
                RolloutDecision::Halted { failed, up } => {
                    halted = Some(format!("{failed} of {up} replicas could not load {wanted}"));
                }
                RolloutDecision::AlreadyServes | RolloutDecision::Wait => {}
            }
        }
        self.note_halt(model, halted);
        let has_several = |replica: &&RolloutReplica| self.models_of(&replica.id).len() > 1;
        let next = replicas.iter().filter(has_several).filter(|replica| choices.is_taken(replica));
        taken.extend(next.map(|replica| replica.id.clone()));
    }

    fn owned_replicas<'a>(&self, replicas: &'a [RolloutReplica]) -> Vec<(OwnedReplica, &'a RolloutReplica)> {
        let owned = |replica: &'a RolloutReplica| {
            let fencing_token = self.owned_fencing_token(&replica.id)?;
            let listed = self.fleet.replicas.iter().find(|listed| listed.id == replica.id)?;
            Some((OwnedReplica { id: replica.id.clone(), address: listed.at.clone(), fencing_token }, replica))
        };
        replicas.iter().filter_map(owned).collect()
    }

    fn note_halt(&mut self, model: &str, halted: Option<String>) {
        let Some(cause) = halted else {
            self.halted.remove(model);
            return;
        };
        if self.halted.get(model) != Some(&cause) {
            self.log(format!("rollout of {model} halted: {cause}"));
            self.halted.insert(model.to_string(), cause);
        }
    }

    /// Whether routers let these weights of a model serve no more.
    fn has_expired(&self, model: &str, weights: &str) -> bool {
        let until = self.fleet.superseded_weights_until(model, weights, self.superseded_weights_bound);
        until.is_some_and(|until| until <= ProcessInstant::at(self.now))
    }

    fn track_progress(&mut self, model: &str, wanted: &str, replicas: &[RolloutReplica]) {
        let now = self.now;
        let start = || RolloutProgress::start(wanted, now);
        let rollout = self.rollouts.entry(model.to_string()).or_insert_with(start);
        if rollout.weights != wanted {
            *rollout = start();
        }
        rollout.observe_load_times(replicas, now);
        let completed = rollout.update(model, RolloutCounts::of(replicas, wanted), now);
        let releases = &self.fleet.releases;
        let released_at = releases.newest_at(model).filter(|_| releases.is_newest(model, wanted));
        let bound = self.superseded_weights_bound.interval;
        let overdue = released_at.and_then(|at| rollout.check_deadline(model, at.age(now), bound));
        self.overdue_rollouts += u64::from(overdue.is_some());
        for line in completed.into_iter().chain(overdue) {
            self.log(line);
        }
    }

    /// Whether this node is no longer the best owner: an assignment that is being released may be another's already,
    /// whose lease counts from its taking it.
    fn is_releasing(&self, replica: &str) -> bool {
        self.shutting_down
            || self.fleet.index_nodes_by_preference(replica).first().is_none_or(|best| **best != self.me.name)
    }

    /// Withdraws an order that was announced and not sent. Returns whether there was one.
    fn withdraw_order(&mut self, replica: &str, model: &str) -> bool {
        let Some(tracked) = self.replicas.get_mut(replica) else { return false };
        let is_unsent = tracked.orders.get(model).is_some_and(|order| !order.sent);
        if is_unsent {
            tracked.orders.remove(model);
        }
        is_unsent
    }

    /// Announces an order, and sends it once it was announced for long enough.
    fn announce_or_send_order(&mut self, owned: &OwnedReplica, model: &str, weights: &str) {
        if self.is_releasing(&owned.id) || self.loads_another_model(&owned.id, model) {
            return;
        }
        let has_several_models = self.models_of(&owned.id).len() > 1;
        // A former owner may have sent an order just before it released the assignment or lost it, or may have been given
        // a lease after its expiry was on its way: two owners' orders are kept a lease apart.
        let waits_for_former_owner = self.taken_over.contains(&owned.id);
        let now = self.now;
        let is_known = |tracked: &&mut TrackedReplica| {
            tracked.fencing_token == Some(owned.fencing_token) && tracked.reported && !tracked.down
        };
        let Some(tracked) = self.replicas.get_mut(&owned.id).filter(is_known) else { return };
        if waits_for_former_owner && now.saturating_sub(tracked.tracked_since) < NODE_LEASE + TAKEOVER_MARGIN {
            return;
        }
        let Some(order) = tracked.orders.get_mut(model).filter(|order| order.weights == weights) else {
            let order = LoadOrder::announced(weights, now, now + ANNOUNCEMENT_LEAD);
            tracked.orders.insert(model.to_string(), order);
            return;
        };
        if order.done || now < order.next_attempt_at {
            return;
        }
        order.next_attempt_at = now + RETRY_DELAY;
        // It loads, by its own word: another order would be one too many.
        if order.accepted && tracked.load.busy {
            return;
        }
        order.sent = true;
        self.outputs.push(Output::Order {
            replica: owned.id.clone(),
            at: owned.address.clone(),
            fence: owned.fencing_token,
            model: model.to_string(),
            has_several_models,
            weights: weights.to_string(),
        });
    }

    /// A replica has answered an order, or could not be reached.
    pub(crate) fn on_order_answered(&mut self, answer: OrderAnswer) {
        let now = self.now;
        let OrderAnswer { replica, model, weights, outcome } = answer;
        let order = self.replicas.get_mut(&replica).and_then(|tracked| tracked.orders.get_mut(&model));
        let Some(order) = order.filter(|order| order.weights == weights) else { return };
        let line = match outcome {
            Ok(OrderOutcome::Accepted) => {
                if !std::mem::replace(&mut order.accepted, true) {
                    order.started_at = now;
                }
                order.failed_attempts = 0;
                order.next_attempt_at = now + LOAD_TIMEOUT;
                format!("{replica} was ordered to load {weights} of {model}")
            }
            Ok(OrderOutcome::AlreadyLoaded) => {
                order.done = true;
                format!("{replica} runs {weights} of {model} already")
            }
            Ok(OrderOutcome::Busy) => {
                order.next_attempt_at = now + BUSY_RETRY_DELAY;
                format!("{replica} is busy with another order")
            }
            Err(cause) => {
                order.failed_attempts += 1;
                format!("{replica} did not accept the order to load {weights} of {model}: {cause}")
            }
        };
        self.log(line);
        self.on_state_changed();
    }
}

fn is_loading(stage: u8) -> bool {
    [stage::LOADING, stage::LATE].contains(&stage)
}
