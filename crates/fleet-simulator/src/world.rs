//! The world: all machines, the wire between them, and time in steps of ten milliseconds.
pub use crate::control_calls::ControlCall;
use crate::cores::edges::Off as EdgeOff;
use crate::cores::{Disks, World as Cores, ms};
use crate::index::IndexProcess;
use crate::replica::Replica;
use crate::router::Router;
use crate::shape::{DisabledGuard, EDGES, REPLICAS, STORE, ZONES};
use crate::wire::{Endpoint, Message};
use control_state::command::ReplicaInfo as Row;
use fleet_common::hash::SeededRng;
use routing::request_machine::Outcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long one step of the world is.
pub const STEP: Duration = ms(10);

/// What somebody outside the fleet saw; judges read nothing else.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A client got a response that is no stream.
    Response {
        /// The call's number.
        call: u64,
        /// The HTTP status.
        status: u16,
        /// What the response says of the execution.
        outcome: Outcome,
        /// Whether it says when to come back.
        retry_after: bool,
    },
    /// A client's stream ended.
    StreamEnded {
        /// The call's number.
        call: u64,
        /// Whether it ended complete, or was reset.
        whole: bool,
        /// The chunks that came: the execution that each is of, and its number.
        pieces: Vec<((u64, u64), u64)>,
        /// How many chunks were asked for.
        wanted: u64,
    },
}

/// All of it.
pub struct World {
    /// The control replicas with their disks and network.
    pub cores: Cores,
    /// The run's source of randomness.
    pub rng: SeededRng,
    /// The guard that is switched off.
    pub disabled_guard: DisabledGuard,
    /// The routers, by edge.
    pub routers: Vec<Router>,
    pub(crate) indexes: Vec<IndexProcess>,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) wire: BTreeMap<(Duration, u64), (Endpoint, Message)>,
    pub(crate) message_count: u64,
    /// What frozen processes will find when they wake.
    undelivered: BTreeMap<Endpoint, Vec<Message>>,
    pub(crate) last_on_wire: BTreeMap<(Endpoint, Endpoint), Duration>,
    /// Machines that do not hear each other, from one to the other.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// Of what may be lost, doubled or late, so many in a hundred are.
    pub loss_percent: u64,
    /// Streams that lost a message to a cut.
    pub(crate) dead_streams: BTreeSet<(u64, u64)>,
    /// Claims are held up on their way to the cores, some of them past their asker's patience.
    pub late_claims: bool,
    /// Links between replicas take so many times as long.
    pub slow_links: u64,
    /// What the platform lists; the mark of leaving is the last part.
    pub listing: Vec<Row>,
    /// What was seen outside the fleet, with when.
    pub observations: Vec<(Duration, Observation)>,
    pub(crate) calls: BTreeMap<u64, crate::clients::OpenCall>,
    pub(crate) starts: u64,
    /// How often replicas were asked for each call.
    pub(crate) attempts: BTreeMap<u64, u64>,
    /// When routers were frozen or cut off from replicas: which, from, until.
    pub(crate) frozen_routers: Vec<(usize, Duration, Duration)>,
    pub(crate) next_call: u64,
    /// The replica being replaced, counted from the first, and since when.
    pub(crate) replacing: Option<(usize, Duration)>,
    /// How long the platform takes to answer, at the most.
    pub slow_platform: u64,
}

impl World {
    /// A fleet that has just been founded, with nothing asked of it yet.
    pub fn new(seed: u64, off: DisabledGuard) -> Self {
        let mut cores = Cores::new(seed, Disks::Honest);
        let row = |at: usize, model: &str| Row {
            id: format!("r{}", at + 1),
            at: at.to_string(),
            model: model.into(),
            zone: ZONES[at % 4].into(),
            leaving: false,
            ..Row::default()
        };
        let mut listing: Vec<Row> = (0..REPLICAS).map(|at| row(at, "m")).collect();
        listing.push(row(STORE, control_state::fleet::STORE_MODEL));
        listing.sort_by(|a, b| a.id.cmp(&b.id));
        cores.platform = Some((listing.clone(), 40));
        let edge_off = if off == DisabledGuard::Lease { EdgeOff::NoTerm } else { EdgeOff::Nothing };
        World {
            cores,
            rng: SeededRng::new(seed ^ 0x0066_6c65_6574),
            disabled_guard: off,
            routers: (0..EDGES).map(|at| Router::new(at, edge_off)).collect(),
            indexes: (0..EDGES).map(|at| IndexProcess::new(at, 1)).collect(),
            replicas: (0..=STORE).map(Replica::new).collect(),
            wire: BTreeMap::new(),
            message_count: 0,
            undelivered: BTreeMap::new(),
            last_on_wire: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            loss_percent: 0,
            dead_streams: BTreeSet::new(),
            late_claims: false,
            slow_links: 1,
            listing,
            observations: Vec::new(),
            calls: BTreeMap::new(),
            starts: EDGES as u64,
            attempts: BTreeMap::new(),
            frozen_routers: Vec::new(),
            next_call: 0,
            replacing: None,
            slow_platform: 40,
        }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.cores.now
    }

    /// Lets one step of time pass everywhere.
    pub fn step(&mut self) {
        if let Some((rows, slowest)) = &mut self.cores.platform {
            *slowest = self.slow_platform;
            rows.clone_from(&self.listing);
        }
        self.cores.run(STEP);
        let now = self.now();
        let woke: Vec<Endpoint> =
            self.undelivered.keys().copied().filter(|place| now >= self.frozen_until(*place).1).collect();
        for place in woke {
            for message in self.undelivered.remove(&place).unwrap_or_default() {
                self.deliver(place, message);
            }
        }
        while let Some(((when, order), (to, message))) = self.wire.pop_first() {
            if when > now {
                self.wire.insert((when, order), (to, message));
                break;
            }
            self.deliver(to, message);
        }
        for at in 0..EDGES {
            self.router_step(at);
            self.index_step(at);
        }
        for at in 0..=STORE {
            self.replica_step(at);
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, length: Duration) {
        let end = self.now() + length;
        while self.now() < end {
            self.step();
        }
    }

    fn frozen_until(&self, to: Endpoint) -> (bool, Duration) {
        match to {
            Endpoint::Router(at) => (self.routers[at].up, self.routers[at].edge.router_frozen),
            Endpoint::Index(at) => (self.indexes[at].up, self.indexes[at].frozen),
            Endpoint::Replica(at) => (self.replicas[at].up, self.replicas[at].frozen),
            Endpoint::Client => (true, Duration::ZERO),
        }
    }

    fn deliver(&mut self, to: Endpoint, message: Message) {
        let (up, frozen) = self.frozen_until(to);
        if self.now() < frozen {
            // A frozen process finds everything waiting, in order, when it wakes.
            return self.undelivered.entry(to).or_default().push(message);
        }
        match (up, to, message) {
            (true, Endpoint::Router(at), message) => self.router_receives(at, message),
            (true, Endpoint::Index(at), message) => self.index_receives(at, message),
            (true, Endpoint::Replica(at), message) => self.replica_receives(at, message),
            (true, Endpoint::Client, message) => self.client_receives(message),
            // A closed door is seen at once by whoever knocks.
            (false, Endpoint::Replica(at), Message::Forward(asked)) => {
                self.send(
                    Endpoint::Replica(at),
                    Endpoint::Router(asked.router),
                    Message::ConnectionFailed(asked.stream, false),
                );
            }
            (false, Endpoint::Replica(at), Message::Poll { by, replica, fence, .. }) => {
                let polled = Message::Polled(replica, fence, Err("closed".into()));
                self.send(Endpoint::Replica(at), Endpoint::Index(by), polled);
            }
            (false, Endpoint::Router(_), Message::Request(request)) => {
                self.client_receives(Message::ClientStreamEnded { call: request.call, whole: false });
            }
            (false, ..) => {}
        }
    }

    /// The versions of the listing, blueprint and keys in the newest committed state of any core.
    pub(crate) fn committed(&self) -> Option<&control_state::state::State> {
        let cores = self.cores.nodes.values().filter_map(|node| node.core.as_ref());
        let committed = cores.filter(|core| core.state().seq <= core.committed());
        committed.map(|core| core.state()).max_by_key(|state| state.seq)
    }
}
