//! Operators: commands by several at once, what each was told of them, and when.
use crate::clients::key;
use crate::control_calls::ControlCall;
use crate::shape::{DisabledGuard, configuration};
use crate::world::World;
use control_state::command::{Command, CommandRequest};
use control_state::outcome::Outcome;
use fleet_common::hash::key_digest;
use fleet_common::rpc::{self, FLEET_CONFIG, KEYS, Response};
use sonic_rs::JsonValueTrait;
use std::time::Duration;

/// What a command states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A configuration, by its number.
    Blueprint(u64),
    /// The digest of a key that is added.
    KeyAdd(String),
    /// The print of the key that is withdrawn.
    Withdraw(String),
    /// The weights that are released.
    Weights(String),
}

/// A command and what its operator knows of it.
#[derive(Clone, Debug)]
pub struct Order {
    /// The command's id.
    pub id: String,
    /// What it states.
    pub what: What,
    /// Its outcome, once known.
    pub outcome: Option<Outcome>,
    /// When it was accepted.
    pub accepted: Option<Duration>,
    /// When it was known to be in force.
    pub in_force: Option<Duration>,
    envelope: CommandRequest,
    call: Option<ControlCall>,
}

/// All operators.
#[derive(Default)]
pub struct Operators {
    /// All commands, in order.
    pub orders: Vec<Order>,
    /// The number of the last command.
    pub number: u64,
    weights: String,
}

const PATIENCE: Duration = Duration::from_secs(4);

impl Operators {
    /// States something, over the version that is known to hold.
    pub fn state(&mut self, world: &World, what: What) {
        let (source, command) = match &what {
            What::Blueprint(number) => {
                if self.weights.is_empty() {
                    self.weights = "w1".into();
                }
                (FLEET_CONFIG, Command::ReplaceFleetConfig { config: configuration(*number, &self.weights) })
            }
            What::Weights(weights) => {
                self.weights.clone_from(weights);
                (FLEET_CONFIG, Command::SetModelWeights { model: "m".into(), weights: weights.clone() })
            }
            What::KeyAdd(tenant) => {
                let print = key_digest(&key(tenant, self.number));
                (KEYS, Command::AddKey { key: print, tenant: tenant.clone() })
            }
            What::Withdraw(print) => (KEYS, Command::WithdrawKey { key: print.clone() }),
        };
        let id = format!("op-{}", self.orders.len());
        let expected_version = world.committed().map(|state| state.versions[source]);
        let envelope = CommandRequest { id: id.clone(), expected_version, command };
        self.orders.push(Order { id, what, outcome: None, accepted: None, in_force: None, envelope, call: None });
    }

    /// Sends, repeats and asks after what is open.
    pub fn step(&mut self, world: &mut World) {
        let now = world.now();
        for order in &mut self.orders {
            let over = order.outcome.as_ref().is_some_and(|o| !o.accepted()) || order.in_force.is_some();
            if over {
                continue;
            }
            let call = order.call.get_or_insert_with(|| {
                let ask = match &order.outcome {
                    None => order.envelope.to_request().expect("a command can be written"),
                    Some(_) => rpc::Request::Query(format!("command/{}", order.id).as_str().into()),
                };
                ControlCall::new(ask, now, now + PATIENCE)
            });
            let Some(answer) = call.step(&mut world.cores, true) else { continue };
            order.call = None;
            let Some(Response::Json(text)) = answer else { continue };
            match &order.outcome {
                None => {
                    order.outcome = sonic_rs::from_slice(text.as_slice()).ok();
                    if order.outcome.as_ref().is_some_and(Outcome::accepted) {
                        order.accepted = Some(now);
                        order.in_force = (world.disabled_guard == DisabledGuard::InForce).then_some(now);
                    }
                }
                Some(_) => {
                    let status = sonic_rs::get(text.as_slice(), ["status"]).ok();
                    if status.is_some_and(|s| s.as_str() == Some("in force")) {
                        order.in_force = Some(now);
                    }
                }
            }
        }
    }

    /// Whether all that was stated is answered, and in force if it was accepted.
    pub fn settled(&self) -> bool {
        self.orders.iter().all(|order| match &order.outcome {
            None => false,
            Some(outcome) => !outcome.accepted() || order.in_force.is_some(),
        })
    }
}
