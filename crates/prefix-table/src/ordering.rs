//! Orders to replicas: load the weights that the blueprint names, when it is their turn. Each carries the
//! fence, and a replica refuses an older one.
use crate::keeper::{Keeper, Ordered, Output};
use crate::kept::Order;
use crate::rolling::{LOAD_BOUND, Row, Turn, turn};
use control_chain::fleet::{APP, STORE};
use fleet_common::ask::{TERM, stage};
use std::time::Duration;

const AGAIN: Duration = Duration::from_secs(2);
/// Orders not taken so often count as a failure.
const REFUSALS: u32 = 3;
const LAPSE_WAIT: Duration = Duration::from_millis(400);

impl Keeper {
    /// Which weights a replica was ordered to load, and how far it is.
    pub(crate) fn stage(&self, replica: &str) -> (String, u8) {
        let Some((kept, order)) = self.kept.get(replica).and_then(|k| Some((k, k.order.as_ref()?))) else {
            return (String::new(), stage::NONE);
        };
        let late = self.now.saturating_sub(order.first) > LOAD_BOUND;
        let at = match kept.table.facts().0 == order.weights {
            true => stage::SERVES,
            false if late || order.refused >= REFUSALS => stage::FAILED,
            false => stage::LOADING,
        };
        (order.weights.clone(), at)
    }

    /// All replicas of a model: those held here as they are, the others as colleagues told lately.
    fn rows(&self, model: &str, wanted: &str) -> Vec<Row> {
        let of_model = self.fleet.replicas.iter().filter(|row| row.model == model);
        of_model
            .map(|row| {
                let (weights, (order, at), down) = match (self.held_now(&row.id), self.kept.get(&row.id)) {
                    (Some(_), Some(kept)) => (kept.table.facts().0.to_string(), self.stage(&row.id), kept.down),
                    _ => match self.news.get(&row.id) {
                        Some((told, _)) => {
                            (told.weights.to_string(), (told.order.to_string(), told.stage), told.down != 0)
                        }
                        None => (String::new(), (String::new(), stage::NONE), false),
                    },
                };
                let stage = if order == wanted { at } else { stage::NONE };
                Row { id: row.id.clone(), weights, stage, down, leaving: row.leaving }
            })
            .collect()
    }

    pub(crate) fn orders_tick(&mut self) {
        let Some(blueprint) = self.fleet.blueprint.clone() else { return };
        // Stores and the app take no orders.
        for (model, facts) in blueprint.models.iter().filter(|(model, _)| ![STORE, APP].contains(&model.as_str())) {
            let rows = self.rows(model, &facts.weights);
            let at = |id: &str| self.fleet.replicas.iter().find(|row| row.id == id).map(|row| row.at.clone());
            let held: Vec<(String, String, u64)> =
                rows.iter().filter_map(|row| Some((row.id.clone(), at(&row.id)?, self.holds(&row.id)?))).collect();
            let mut halted = None;
            for (replica, at, fence) in held {
                match turn(&rows, &replica, &facts.weights, blueprint.limits.keep_serving) {
                    Turn::Now => self.order(&replica, at, fence, model, &facts.weights),
                    Turn::Halted(failed, of) => {
                        halted = Some(format!("{failed} of {of} replicas could not load {}", facts.weights));
                    }
                    Turn::Serves | Turn::Wait => {}
                }
            }
            match halted {
                Some(why) if self.halted.get(model) != Some(&why) => {
                    self.note(format!("roll-out of {model} halted: {why}"));
                    self.halted.insert(model.clone(), why);
                }
                Some(_) => {}
                None => _ = self.halted.remove(model),
            }
        }
    }

    fn order(&mut self, replica: &str, at: String, fence: u64, model: &str, weights: &str) {
        // A holder that lapsed may have been given a term after its lapse was on its way: until that
        // has run out two might give orders.
        let after_lapse = self.fleet.duties.get(replica).is_some_and(|duty| duty.after_lapse);
        let now = self.now;
        let Some(kept) = self.kept.get_mut(replica).filter(|kept| kept.fence == Some(fence) && !kept.down) else {
            return;
        };
        if after_lapse && now.saturating_sub(kept.since) < TERM + LAPSE_WAIT {
            return;
        }
        match kept.order.as_mut().filter(|order| order.weights == weights) {
            Some(order) if now.saturating_sub(order.last) < AGAIN => return,
            Some(order) => order.last = now,
            None => kept.order = Some(Order { weights: weights.into(), first: now, last: now, refused: 0 }),
        }
        let (replica, model, weights) = (replica.to_string(), model.to_string(), weights.to_string());
        self.out.push(Output::Order { replica, at, fence, model, weights });
    }

    pub(crate) fn on_ordered(&mut self, replica: &str, taken: Result<Ordered, String>) {
        let Some(order) = self.kept.get_mut(replica).and_then(|kept| kept.order.as_mut()) else { return };
        let weights = order.weights.clone();
        match taken {
            Ok(Ordered::Taken | Ordered::Holds | Ordered::Busy) => {
                order.refused = 0;
                self.note(format!("{replica} was ordered to load {weights}"));
            }
            Err(what) => {
                order.refused += 1;
                self.note(format!("{replica} did not take the order to load {weights}: {what}"));
            }
        }
    }
}
