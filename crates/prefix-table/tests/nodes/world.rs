//! Several index nodes over 18 replicas and a wire, a millisecond at a time.
use super::{Core, identity, replica, report};
use control_state::process_instant::ProcessInstant;
use control_state::release_clock::ReleaseClock;
use prefix_table::event::CacheReport;
use prefix_table::index_node::{IndexNode, Input, OrderAnswer, OrderOutcome, Output};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(1);
const WIRE: Duration = Duration::from_millis(2);
const HELD: Duration = Duration::from_millis(200);
/// What a load takes unless a test says otherwise.
const LOAD: Duration = Duration::from_millis(1800);
const NEVER: Duration = Duration::from_secs(1 << 30);
pub const NODES: [&str; 6] = ["i1", "i2", "i3", "i4", "i5", "i6"];

pub struct Row {
    pub weights: String,
    pub loading: Option<(String, Duration)>,
    pub polls: Vec<(usize, u64, Duration)>,
    /// What it says instead of taking an order, in turn; an order without an answer is `None`.
    pub says: VecDeque<Option<OrderOutcome>>,
    pub orders: Vec<(Duration, usize, u64)>,
}

pub enum Wire {
    To(usize, Input),
    Tell(usize, fleet_common::rpc::Request),
    Poll(usize, String, u64),
    Order(usize, String, u64, String),
}

pub struct World {
    pub core: Core,
    pub index_nodes: Vec<IndexNode>,
    pub rows: BTreeMap<String, Row>,
    pub wire: BTreeMap<(Duration, u64), Wire>,
    pub sent: u64,
    pub now: Duration,
    pub most: usize,
    /// When each replica was first told to be loading, and what.
    pub announced: BTreeMap<(String, String), Duration>,
    /// A node that reaches nobody any more.
    pub cut: Option<usize>,
    /// When weights were named, as the control replicas tell it.
    pub namings: ReleaseClock,
    /// What a load takes.
    pub load: Duration,
    /// Replicas that say they load and never end.
    pub stuck: Vec<String>,
}

impl World {
    pub fn new(keep: u64) -> Self {
        let mut world = Self::begin(keep, "w1", &[]);
        (0..2000).for_each(|_| world.step());
        world
    }

    /// Weights are named from the beginning; some run them already.
    pub fn begin(keep: u64, named: &str, ahead: &[&str]) -> Self {
        let ids: Vec<String> = (0..18).map(|n| format!("r{n}")).collect();
        let mut core = Core::new(&NODES, &[], ids.iter().map(|id| replica(id, "m")).collect(), keep);
        core.blueprint.models.get_mut("m").unwrap().weights = named.into();
        let row = |id: &str| Row {
            weights: if ahead.contains(&id) { named.into() } else { "w1".into() },
            loading: None,
            polls: Vec::new(),
            says: VecDeque::new(),
            orders: Vec::new(),
        };
        let index_nodes = NODES.iter().map(|name| IndexNode::new(identity(name))).collect();
        let rows = ids.into_iter().map(|id| (id.clone(), row(&id))).collect();
        let (wire, now) = (BTreeMap::new(), Duration::ZERO);
        let mut world = World {
            core,
            index_nodes,
            rows,
            wire,
            sent: 0,
            now,
            most: 0,
            announced: BTreeMap::new(),
            cut: None,
            namings: ReleaseClock::default(),
            load: LOAD,
            stuck: Vec::new(),
        };
        // A first pull without duties, then each is given to whom it belongs to.
        world.pull_all();
        world.take_free();
        world.pull_all();
        world
    }

    /// What the nodes would have the core do: each free duty to its best live node.
    pub fn take_free(&mut self) {
        for id in self.rows.keys() {
            let best = self.index_nodes[0]
                .fleet
                .index_nodes_by_preference(id)
                .into_iter()
                .find(|n| self.core.members.contains_key(*n))
                .cloned();
            let free = self.core.duties.get(id).is_none_or(|duty| !self.core.members.contains_key(&duty.owner));
            if let Some(best) = best.filter(|_| free) {
                self.core.give(id, &best);
            }
        }
    }

    pub fn pull_all(&mut self) {
        let mut pulled = self.core.pulled();
        pulled.release_ages = self.namings.ages(self.now);
        for (at, name) in NODES.iter().enumerate() {
            if self.core.members.contains_key(*name) && self.cut != Some(at) {
                self.keep(at, Input::Pulled(self.now, pulled.clone()));
            }
        }
    }

    /// Older weights may serve for so long; until now "w1" was the newest.
    pub fn bound_older_weights(&mut self, bound: Duration) {
        self.namings.record_release("m", "w1", 1, ProcessInstant::at(Duration::ZERO));
        for index_node in std::mem::take(&mut self.index_nodes) {
            self.index_nodes.push(index_node.with_superseded_weights_bound(bound));
        }
    }

    pub fn name(&mut self, weights: &str) {
        self.namings.record_release("m", weights, self.sent + 2, ProcessInstant::at(self.now));
        self.core.blueprint.models.get_mut("m").unwrap().weights = weights.into();
        self.pull_all();
    }

    pub fn put(&mut self, after: Duration, message: Wire) {
        self.sent += 1;
        self.wire.insert((self.now + after, self.sent), message);
    }

    pub fn keep(&mut self, at: usize, input: Input) {
        for output in self.index_nodes[at].step(self.now, input) {
            match output {
                Output::Poll { replica, fence, .. } => self.put(WIRE, Wire::Poll(at, replica, fence)),
                Output::Order { replica, fence, weights, .. } => {
                    self.put(WIRE, Wire::Order(at, replica, fence, weights));
                }
                Output::Send(to, ask) => {
                    let to = NODES.iter().position(|name| *name == to).unwrap();
                    self.put(WIRE, Wire::Tell(to, ask));
                }
                Output::FetchSnapshot { replica, .. } => {
                    self.put(WIRE, Wire::To(at, Input::SnapshotFetched(replica, None)))
                }
                Output::Command(replica, _) => self.put(WIRE, Wire::To(at, Input::CommandAnswered(replica))),
                Output::Log(_) => {}
            }
        }
    }

    fn note_announced(&mut self, ask: &fleet_common::rpc::Request) {
        let fleet_common::rpc::Request::ReplicaReports(told) = ask else { return };
        let loads = told.items().iter().filter(|t| t.stage == fleet_common::rpc::stage::LOADING);
        for one in loads {
            let key = (one.replica.to_string(), one.order.to_string());
            self.announced.entry(key).or_insert(self.now);
        }
    }

    pub fn ordered(&mut self, at: usize, id: String, fence: u64, weights: String) {
        let now = self.now;
        let row = self.rows.get_mut(&id).unwrap();
        row.orders.push((now, at, fence));
        let said = row.says.pop_front().unwrap_or(Some(OrderOutcome::Accepted));
        if said == Some(OrderOutcome::Accepted) && row.loading.is_none() && row.weights != weights {
            let takes = if self.stuck.contains(&id) { NEVER } else { self.load };
            row.loading = Some((weights.clone(), now + takes));
        }
        if let Some(said) = said {
            self.put(
                WIRE,
                Wire::To(
                    at,
                    Input::OrderAnswered(OrderAnswer { replica: id, model: "m".into(), weights, outcome: Ok(said) }),
                ),
            );
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let later = self.wire.split_off(&(self.now + STEP, 0));
        for (_, message) in std::mem::replace(&mut self.wire, later) {
            match message {
                Wire::To(at, input) => self.keep(at, input),
                Wire::Tell(at, ask) => {
                    self.note_announced(&ask);
                    self.index_nodes[at].answer(self.now, ask);
                    if self.index_nodes[at].has_changed_state() {
                        self.keep(at, Input::StateChanged);
                    }
                }
                Wire::Poll(at, id, fence) => {
                    self.rows.get_mut(&id).unwrap().polls.push((at, fence, self.now + HELD));
                }
                Wire::Order(at, id, fence, weights) => self.ordered(at, id, fence, weights),
            }
        }
        self.most = self.most.max(self.rows.values().filter(|row| row.loading.is_some()).count());
        let mut answers = Vec::new();
        for (id, row) in &mut self.rows {
            let loaded = row.loading.take_if(|(_, until)| *until <= self.now);
            let changed = loaded.map(|(weights, _)| row.weights = weights).is_some();
            let due = row.polls.extract_if(.., |(_, _, until)| changed || *until <= self.now);
            let said = CacheReport { busy: Some(row.loading.is_some()), ..report(&row.weights, 0, 0, vec![]) };
            answers.extend(due.map(|(at, fence, _)| (at, id.clone(), fence, said.clone())));
        }
        for (at, id, fence, report) in answers {
            self.put(WIRE, Wire::To(at, Input::Polled(id, fence, Ok(report))));
        }
        for at in 0..NODES.len() {
            // Ticks of 50 ms, each node's at another time.
            if (self.now.as_millis() as usize + at * 7).is_multiple_of(50) {
                self.keep(at, Input::Tick);
            }
        }
        if self.now.as_millis().is_multiple_of(500) {
            self.pull_all();
        }
    }

    pub fn until_all_run(&mut self, weights: &str) -> Duration {
        let begun = self.now;
        while self.rows.values().any(|row| row.weights != weights) {
            self.step();
            assert!(self.now - begun < Duration::from_secs(60));
        }
        self.now - begun
    }

    pub fn orders(&self) -> usize {
        self.rows.values().map(|row| row.orders.len()).sum()
    }
}
