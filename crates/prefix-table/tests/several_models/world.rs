//! Index nodes over replicas with several models, a few milliseconds at a time, and what is checked.
use crate::nodes::{Core, identity, replica as listed_replica};
use crate::plan::{Change, Event, Plan, REPLICAS};
use crate::replica::{Poll, Replica};
use control_state::command::ReplicaInfo;
use control_state::fleet_config::ModelConfig;
use control_state::process_instant::ProcessInstant;
use control_state::release_clock::ReleaseClock;
use fleet_common::rpc::Request;
use prefix_table::index_node::{IndexNode, Input, OrderAnswer, Output};
use prefix_table::rollout_planner::max_loading;
use std::collections::BTreeMap;
use std::time::Duration;

const NODES: [&str; 4] = ["i1", "i2", "i3", "i4"];
const STEP: Duration = Duration::from_millis(5);
const TICK_MS: u128 = 50;
const PULL_MS: u128 = 500;
/// A message between two processes takes so long.
const WIRE: Duration = Duration::from_millis(5);
const POLL_WAIT: Duration = Duration::from_millis(200);
const KEEP_SERVING_PERCENT: u64 = 70;

/// What the platform's list says of a replica's models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedModels {
    All,
    FirstOnly,
}

/// What must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A replica does not run the released weights of a model in time.
    Late { replica: String, model: String, runs: u64, released: u64 },
    /// It was ordered to load what is not newer than what it ran.
    WentBack { replica: String, model: String, ran: u64, ordered: u64 },
    /// It was ordered to load weights of a model that it does not have.
    ForeignModel { replica: String, model: String },
}

#[derive(Clone, Debug)]
enum Message {
    ToNode(usize, Box<Input>),
    Announce(usize, Request),
    Poll { node: usize, replica: String, fence: u64 },
    Order { node: usize, replica: String, model: String, weights: String },
}

pub struct World {
    now: Duration,
    core: Core,
    nodes: Vec<IndexNode>,
    replicas: BTreeMap<String, Replica>,
    models: Vec<String>,
    released: BTreeMap<String, u64>,
    release_clock: ReleaseClock,
    releases: u64,
    listed: ListedModels,
    wire: BTreeMap<(Duration, u64), Message>,
    sent: u64,
    most_loading: usize,
    pub violations: Vec<Violation>,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} at {:?}: {:?}", self.released, self.now, self.replicas)
    }
}

fn replica_id(number: usize) -> String {
    format!("r{number}")
}

impl World {
    pub fn new(plan: &Plan, listed: ListedModels) -> World {
        let models: Vec<String> = (0..plan.models).map(|number| format!("m{number}")).collect();
        let mut core = Core::new(&NODES, &[], Vec::new(), KEEP_SERVING_PERCENT);
        let config = || ModelConfig { weights: "1".into(), prefill_us_per_block: 1 };
        core.blueprint.models = models.iter().map(|model| (model.clone(), config())).collect();
        let mut world = World {
            now: Duration::ZERO,
            core,
            nodes: NODES.iter().map(|name| IndexNode::new(identity(name))).collect(),
            replicas: BTreeMap::new(),
            released: models.iter().map(|model| (model.clone(), 1)).collect(),
            models,
            release_clock: ReleaseClock::default(),
            releases: 0,
            listed,
            wire: BTreeMap::new(),
            sent: 0,
            most_loading: 0,
            violations: Vec::new(),
        };
        for model in world.models.clone() {
            world.note_release(&model, 1);
        }
        world.pull();
        (0..plan.listed_at_first).for_each(|number| world.list(&replica_id(number)));
        world.pull();
        world
    }

    /// Adds a replica to the platform's list, and gives its assignment to the node that is preferred.
    fn list(&mut self, id: &str) {
        let (first, others) = self.models.split_first().expect("a model");
        let others = if self.listed == ListedModels::All { others.to_vec() } else { Vec::new() };
        self.core.replicas.push(ReplicaInfo { other_models: others, ..listed_replica(id, first) });
        self.replicas.insert(id.to_string(), Replica::new(&self.models));
        let best = self.nodes[0].fleet.index_nodes_by_preference(id).first().map(|name| name.to_string());
        self.core.give(id, &best.expect("a node"));
    }

    fn note_release(&mut self, model: &str, version: u64) {
        self.releases += 1;
        let at = ProcessInstant::at(self.now);
        self.release_clock.record_release(model, &version.to_string(), self.releases, at);
    }

    pub fn apply(&mut self, event: &Event) {
        match &event.change {
            Change::Release { model, version } => self.release(&self.models[*model].clone(), *version),
            Change::Crash { replica } => self.replica_mut(&replica_id(*replica)).crash(),
            Change::Start { replica, forgets } => {
                let forgets = forgets.map(|model| self.models[model].clone());
                self.replica_mut(&replica_id(*replica)).start(forgets.as_deref());
            }
            Change::Join { replica } => {
                self.list(&replica_id(*replica));
                let released = self.released.clone();
                self.replica_mut(&replica_id(*replica)).versions = released;
            }
        }
        self.pull();
    }

    /// As the control state does, a version that is not above the released one changes nothing.
    fn release(&mut self, model: &str, version: u64) {
        if self.released[model] >= version {
            return;
        }
        self.released.insert(model.to_string(), version);
        let config = self.core.blueprint.models.get_mut(model).expect("a model of the configuration");
        config.weights = version.to_string();
        self.note_release(model, version);
    }

    fn replica_mut(&mut self, id: &str) -> &mut Replica {
        self.replicas.get_mut(id).expect("a replica of the run")
    }

    fn pull(&mut self) {
        let mut pulled = self.core.pulled();
        pulled.release_ages = self.release_clock.ages(self.now);
        for node in 0..NODES.len() {
            self.step_node(node, Input::Pulled(self.now, pulled.clone()));
        }
    }

    fn send(&mut self, message: Message) {
        self.sent += 1;
        self.wire.insert((self.now + WIRE, self.sent), message);
    }

    fn step_node(&mut self, node: usize, input: Input) {
        for output in self.nodes[node].step(self.now, input) {
            match output {
                Output::Poll { replica, fence, .. } => self.send(Message::Poll { node, replica, fence }),
                Output::Order { replica, model, weights, .. } => {
                    self.send(Message::Order { node, replica, model, weights });
                }
                Output::Send(to, request) => {
                    let to = NODES.iter().position(|name| *name == to).expect("an index node");
                    self.send(Message::Announce(to, request));
                }
                Output::FetchSnapshot { replica, .. } => {
                    self.send(Message::ToNode(node, Box::new(Input::SnapshotFetched(replica, None))));
                }
                Output::Command(replica, _) => {
                    self.send(Message::ToNode(node, Box::new(Input::CommandAnswered(replica))));
                }
                Output::Log(_) => {}
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToNode(node, input) => self.step_node(node, *input),
            Message::Announce(node, request) => {
                self.nodes[node].answer(self.now, request);
                if self.nodes[node].has_changed_state() {
                    self.step_node(node, Input::StateChanged);
                }
            }
            Message::Poll { node, replica, fence } => {
                let until = self.now + POLL_WAIT;
                let polled = self.replica_mut(&replica);
                if polled.is_up {
                    return polled.polls.push(Poll { node, fence, until });
                }
                let failed = Input::Polled(replica, fence, Err("no answer".into()));
                self.send(Message::ToNode(node, Box::new(failed)));
            }
            Message::Order { node, replica, model, weights } => self.order(node, replica, model, weights),
        }
    }

    fn order(&mut self, node: usize, replica: String, model: String, weights: String) {
        let (now, version) = (self.now, weights.parse().expect("a version"));
        let ordered = self.replica_mut(&replica);
        let ran = ordered.versions.get(&model).copied();
        let outcome = ordered.order(now, &model, version);
        match ran {
            None => self.violations.push(Violation::ForeignModel { replica: replica.clone(), model: model.clone() }),
            Some(ran) if ran > version => {
                let (replica, model) = (replica.clone(), model.clone());
                self.violations.push(Violation::WentBack { replica, model, ran, ordered: version });
            }
            Some(_) => {}
        }
        let answer = OrderAnswer { replica, model, weights, outcome };
        self.send(Message::ToNode(node, Box::new(Input::OrderAnswered(answer))));
    }

    pub fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            let later = self.wire.split_off(&(self.now, u64::MAX));
            let due = std::mem::replace(&mut self.wire, later);
            due.into_values().for_each(|message| self.deliver(message));
            self.step_replicas();
            let now_ms = self.now.as_millis();
            if now_ms.is_multiple_of(TICK_MS) {
                (0..NODES.len()).for_each(|node| self.step_node(node, Input::Tick));
            }
            if now_ms.is_multiple_of(PULL_MS) {
                self.pull();
            }
        }
    }

    fn step_replicas(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        for (id, replica) in &mut self.replicas {
            for poll in replica.step(now) {
                answers.push((poll.node, Input::Polled(id.clone(), poll.fence, Ok(replica.report()))));
            }
        }
        for (node, input) in answers {
            self.send(Message::ToNode(node, Box::new(input)));
        }
        for model in &self.models {
            let loading = self.replicas.values().filter(|replica| replica.loaded_model() == Some(model)).count();
            self.most_loading = self.most_loading.max(loading);
        }
    }

    /// Looks for replicas that do not run the released weights of each of their models.
    pub fn check_replicas(&mut self) {
        for (id, replica) in self.replicas.iter().filter(|(_, replica)| replica.is_up) {
            for (model, runs) in &replica.versions {
                let released = self.released[model];
                if *runs != released {
                    let (replica, model) = (id.clone(), model.clone());
                    self.violations.push(Violation::Late { replica, model, runs: *runs, released });
                }
            }
        }
    }

    pub fn orders(&self) -> usize {
        self.replicas.values().map(|replica| replica.orders).sum()
    }

    pub fn loads(&self) -> usize {
        self.replicas.values().map(|replica| replica.loads).sum()
    }

    pub fn pairs(&self) -> usize {
        self.replicas.len() * self.models.len()
    }

    pub fn most_loading_of_a_model(&self) -> usize {
        self.most_loading
    }

    /// The share that may load, and a replica more for each node that has not heard of another's choice yet.
    pub fn may_load_at_once(&self) -> usize {
        max_loading(REPLICAS, KEEP_SERVING_PERCENT) + NODES.len() - 1
    }
}
