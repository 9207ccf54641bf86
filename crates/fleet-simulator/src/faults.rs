//! What goes wrong in a run, and how it ends.
use crate::cores::ms;
use crate::shape::{EDGES, REPLICAS, STORE};
use crate::wire::{Endpoint, Message};
use crate::world::World;
use std::time::Duration;

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Each fault of the brief.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[allow(missing_docs, reason = "most names say what happens; the others have a comment")]
        pub enum Fault { $($(#[$doc])* $name),* }
        /// All of them.
        pub const ALL: &[Fault] = &[$(Fault::$name),*];
        impl std::str::FromStr for Fault {
            type Err = String;
            fn from_str(text: &str) -> Result<Self, String> {
                match text {
                    $(stringify!($name) => Ok(Fault::$name),)*
                    _ => Err(format!("no fault {text}: {}", [$(stringify!($name)),*].join(", "))),
                }
            }
        }
    };
}

faults! {
    /// No fault.
    Nothing,
    RouterFreezes, AgentFreezes, EdgeCutOff, EdgeKilled,
    /// Six of nine edges at once.
    ManyEdgesKilled,
    IndexFreezes, IndexKilled,
    ReplicaCrashes, ReplicaFreezes,
    /// Three of four requests are refused by all replicas.
    ReplicasRefuse,
    /// So many replicas never finish loading that a roll-out is halted.
    LoadsForEver,
    /// An edge machine and replicas hear each other in one direction only, or not at all.
    EdgeAndReplicasCut,
    /// All replicas, one after the other, each by another.
    ReplicasReplaced,
    CoreCrashes, CoreFreezes, CoreCutOff, CoreSplit, CoreEmptied, AllCoresLosePower, DiskStalls, DiskFails,
    EventsLate, EventsLost, LinksSlow, StoreEmptied,
    /// News and filters are lost, doubled and late; orders and claims are held up.
    NewsLost,
    /// Orders are held up on their way while those who gave them freeze.
    OrdersHeldUp,
    /// Sixty commands at once.
    Storm,
    /// The platform answers late or not at all.
    PlatformSlow,
    /// A district: its core, edges, index nodes and replicas.
    DistrictLost,
    Anything,
}

fn one(world: &mut World, below: usize) -> usize {
    world.rng.next(below as u64) as usize
}

impl World {
    fn for_a_while(&mut self) -> Duration {
        self.now() + ms(500 + self.rng.next(7000))
    }

    fn freeze_router(&mut self, at: usize, until: Duration) {
        let now = self.now();
        self.routers[at].edge.router_frozen = until;
        self.frozen_routers.push((at, now, until));
    }

    /// Kills an edge's three processes. Their streams are closed by the machine.
    pub(crate) fn kill_edge(&mut self, at: usize) {
        let streams: Vec<_> = self.routers[at]
            .active_requests
            .iter()
            .map(|(call, g)| ((*call, g.attempts), g.placement.clone()))
            .collect();
        for (stream, found) in streams {
            if let Some(to) = found.and_then(|found| found.replica.address.parse().ok()) {
                self.send(Endpoint::Router(at), Endpoint::Replica(to), Message::CloseStream(stream));
            }
        }
        self.routers[at].kill();
        self.indexes[at].up = false;
        self.routers[at].edge.agent_frozen = Duration::MAX;
        self.reset_client_streams(at);
    }

    fn start_edge(&mut self, at: usize) {
        let now = self.now();
        if !self.routers[at].up {
            self.routers[at].start();
            self.routers[at].edge.agent_frozen = Duration::ZERO;
            self.routers[at].edge.restart_agent(now);
            self.starts += 1;
        }
        if !self.indexes[at].up {
            self.indexes[at].start(now);
        }
    }

    fn cut_edge_from_cores(&mut self, at: usize, until: Duration) {
        self.routers[at].edge.cut_until = until;
        self.indexes[at].partitioned_until = until;
    }

    /// Brings a fault about. Some last a while, some until `heal`.
    pub fn bring_about(&mut self, fault: Fault) {
        let (edge, until) = (one(self, EDGES), self.for_a_while());
        let replica = one(self, REPLICAS);
        let core = 1 + one(self, 4) as u32;
        let now = self.now();
        match fault {
            Fault::Nothing | Fault::Storm => {}
            Fault::ReplicasRefuse => self.replicas.iter_mut().for_each(|r| r.rejection_percent = 75),
            Fault::LoadsForEver => {
                (0..6).for_each(|n| self.replicas[(replica + n * 3) % REPLICAS].load_time = None);
            }
            Fault::EdgeAndReplicasCut => {
                let (there, back) = (self.rng.next(3) > 0, self.rng.next(3) > 0);
                for at in (0..REPLICAS).filter(|at| (at + replica).is_multiple_of(2)) {
                    self.partitioned.extend(there.then_some((edge, 100 + at)));
                    self.partitioned.extend(back.then_some((100 + at, edge)));
                }
                self.frozen_routers.push((edge, now, Duration::MAX));
            }
            Fault::OrdersHeldUp => {
                self.loss_percent = 60;
                (0..5).for_each(|n| self.indexes[(edge + n) % EDGES].frozen = now + ms(8000));
            }
            Fault::RouterFreezes => self.freeze_router(edge, until),
            Fault::AgentFreezes => self.routers[edge].edge.agent_frozen = until,
            Fault::EdgeCutOff => self.cut_edge_from_cores(edge, until),
            Fault::EdgeKilled => {
                self.kill_edge(edge);
                if self.rng.next(2) == 0 {
                    self.start_edge(edge);
                }
            }
            Fault::ManyEdgesKilled => (0..6).for_each(|n| self.kill_edge((edge + n) % EDGES)),
            Fault::IndexFreezes => self.indexes[edge].frozen = until,
            Fault::IndexKilled => self.indexes[edge].up = false,
            Fault::ReplicaCrashes => {
                self.replicas[replica].crash(now);
                if self.rng.next(2) == 0 {
                    self.replicas[replica].start();
                }
            }
            Fault::ReplicaFreezes => self.replicas[replica].freeze(now, until),
            Fault::ReplicasReplaced => self.replacing = Some((0, now)),
            Fault::CoreCrashes => {
                self.cores.power_loss(core);
                if self.rng.next(2) == 0 {
                    self.cores.start(core);
                }
            }
            Fault::CoreFreezes => self.cores.nodes.get_mut(&core).into_iter().for_each(|n| n.frozen_until = until),
            Fault::CoreCutOff => {
                let others = (1..=4).filter(|o| *o != core);
                self.cores.cut.extend(others.flat_map(|o| [(core, o), (o, core)]));
            }
            Fault::CoreSplit => {
                let side = |n: u32| n == core || n == core % 4 + 1;
                let pairs = (1..=4u32).flat_map(|a| (1..=4u32).map(move |b| (a, b)));
                self.cores.cut.extend(pairs.filter(|(a, b)| side(*a) != side(*b)));
            }
            Fault::CoreEmptied => {
                if self.cores.whole_chain() {
                    self.cores.empty(core);
                }
            }
            Fault::AllCoresLosePower => {
                (1..=4).for_each(|id| self.cores.power_loss(id));
                (1..=4).for_each(|id| self.cores.start(id));
            }
            Fault::DiskStalls => {
                self.cores.nodes.get_mut(&core).into_iter().for_each(|n| n.disk.stalled_until = until);
            }
            Fault::DiskFails => self.cores.nodes.get_mut(&core).into_iter().for_each(|n| n.disk.failed = true),
            Fault::EventsLate => self.replicas.iter_mut().for_each(|r| r.event_delay = ms(3000)),
            Fault::EventsLost => self.replicas.iter_mut().for_each(|r| r.event_loss_percent = 30),
            Fault::LinksSlow => self.slow_links = 30,
            Fault::StoreEmptied => {
                self.replicas[STORE].crash(now);
                self.replicas[STORE].start();
            }
            Fault::NewsLost => (self.loss_percent, self.late_claims) = (30, true),
            Fault::PlatformSlow => self.slow_platform = 4000,
            Fault::DistrictLost => {
                let district = edge % 4;
                (0..EDGES).filter(|at| at % 4 == district).for_each(|at| self.kill_edge(at));
                (0..REPLICAS).filter(|at| at % 4 == district).for_each(|at| self.replicas[at].crash(now));
                self.cores.power_loss(district as u32 + 1);
            }
            Fault::Anything => {
                let all: Vec<Fault> = ALL.iter().copied().filter(|f| *f != Fault::Anything).collect();
                let fault = all[one(self, all.len())];
                self.bring_about(fault);
            }
        }
    }

    /// Ends all faults: what was down is started, what was cut hears again.
    pub fn heal(&mut self) {
        let now = self.now();
        self.cores.heal();
        for at in 0..EDGES {
            self.start_edge(at);
            let edge = &mut self.routers[at].edge;
            edge.router_frozen = edge.router_frozen.min(now);
            edge.agent_frozen = edge.agent_frozen.min(now);
            edge.cut_until = edge.cut_until.min(now);
            let index = &mut self.indexes[at];
            (index.frozen, index.partitioned_until) = (index.frozen.min(now), index.partitioned_until.min(now));
        }
        self.frozen_routers.iter_mut().for_each(|numb| numb.2 = numb.2.min(now));
        for replica in &mut self.replicas {
            replica.frozen = replica.frozen.min(now);
            replica.frozen_intervals.iter_mut().for_each(|numb| numb.1 = numb.1.min(now));
            (replica.event_delay, replica.event_loss_percent, replica.rejection_percent) = (Duration::ZERO, 0, 0);
            if replica.load_time.is_none() {
                (replica.load_time, replica.loading) = (Some(ms(2500)), None);
            }
            if !replica.up {
                replica.start();
            }
        }
        self.partitioned.clear();
        (self.loss_percent, self.late_claims, self.slow_links, self.slow_platform) = (0, false, 1, 40);
    }

    /// A service whose replicas are replaced: one leaves, ends when it has had time, and another takes
    /// its machine under another name.
    pub(crate) fn replace_step(&mut self) {
        let Some((number, since)) = self.replacing else { return };
        let now = self.now();
        let (at, took) = (number % REPLICAS, now - since);
        let place = self.listing.iter().position(|row| row.at == at.to_string());
        let Some(place) = place else { return };
        if !self.listing[place].leaving {
            self.listing[place].leaving = true;
        } else if took > ms(4000) {
            self.replicas[at].crash(now);
            self.replicas[at].start();
            let row = &mut self.listing[place];
            row.leaving = false;
            row.id = format!("{}'", row.id);
            self.listing.sort_by(|a, b| a.id.cmp(&b.id));
            self.replacing = Some((number + 1, now)).filter(|_| number + 1 < 2 * REPLICAS);
        }
    }
}
