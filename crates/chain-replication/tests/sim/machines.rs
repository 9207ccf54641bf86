//! Machines in the simulated world: they start, lose power, are emptied, come and go.
use super::disk::Disk;
use super::{Disks, Event, World, ms, place};
use chain_replication::ballot::Ballot;
use chain_replication::control_replica::ControlReplica;
use chain_replication::hard_state::HardState;
use chain_replication::message::Accept;
use chain_replication::view::{Member, View};
use std::time::Duration;

pub struct Node {
    pub core: Option<ControlReplica>,
    pub disk: Disk,
    pub boot: u64,
    pub frozen_until: Duration,
    pub(super) held: Vec<(u64, Event)>,
    pub(super) skew: Duration,
    pub(super) booted: Duration,
    pub(super) last_view: u64,
}

impl Node {
    /// The clock of the process: it begins anew with each process, and runs up to a hundredth faster.
    pub(super) fn clock(&self, now: Duration) -> Duration {
        let running = now - self.booted;
        running + running * (self.skew.as_millis() % 10) as u32 / 1000
    }
}

impl World {
    /// A world whose cores make themselves known; nobody is up yet.
    pub fn open(seed: u64, tolerance: u32) -> Self {
        let mut world = World::bare(seed, Disks::Honest);
        (world.open, world.tolerance) = (true, tolerance);
        world.seeds = (1..=3).map(place).collect();
        world
    }

    /// One machine that founded a fleet of its own, and stopped right after it had accepted the next view.
    pub fn alone_with_accepted_view(seed: u64) -> Self {
        let mut world = World::bare(seed, Disks::Honest);
        world.seeds = vec![place(1)];
        let view = View::founding(world.seeds.clone(), world.tolerance);
        let next = View { number: view.number + 1, ..view.clone() };
        let mut hard_state = HardState::new(1, view, true);
        hard_state.accept(Accept { view_number: next.number, ballot: Ballot::new(0, 3), view: next });
        world.insert(1, Disk::with(hard_state));
        world
    }

    /// An empty disk, of an incarnation of its own.
    pub(super) fn blank(&mut self) -> Disk {
        self.order += 1;
        let (incarnation, view) = (100 + self.order, View::outside(self.seeds.clone()));
        Disk::with(HardState::new(incarnation, view, false))
    }

    /// A machine comes, with an empty disk. At the first start the seeds found the fleet.
    pub fn add(&mut self, id: u32, founding: bool) {
        let disk = if founding && self.seeds.iter().any(|seed| seed.id == id) {
            let view = View::founding(self.seeds.clone(), self.tolerance);
            Disk::with(HardState::new(1, view, true))
        } else {
            self.blank()
        };
        self.insert(id, disk);
    }

    fn insert(&mut self, id: u32, disk: Disk) {
        let skew = ms(self.rng.next(100_000));
        let node =
            Node { core: None, disk, boot: 0, frozen_until: ms(0), booted: ms(0), held: vec![], skew, last_view: 0 };
        self.nodes.insert(id, node);
        self.start(id);
    }

    /// A machine is taken away for good.
    pub fn retire(&mut self, id: u32) {
        self.nodes.remove(&id);
    }

    /// The newest view that any core is in.
    pub fn top(&self) -> View {
        let cores = self.nodes.values().filter_map(|node| node.core.as_ref());
        cores.map(|core| core.view()).max_by_key(|view| view.number).expect("a core is up").clone()
    }

    /// No view number may ever stand for two views.
    pub(super) fn saw(&mut self, view: View) {
        if view.number == 0 {
            return;
        }
        let held = self.views.entry(view.number).or_insert_with(|| view.clone());
        if *held != view {
            self.torn.push(format!("{} is also {}", view.summary(), held.summary()));
        }
    }

    pub fn start(&mut self, id: u32) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        node.booted = now;
        node.core = None;
        self.last_process_start = now;
        self.start_core(id);
    }

    /// A core starts from what the disk holds; in a process that runs on, it starts over.
    fn start_core(&mut self, id: u32) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        node.boot += 1;
        let found = node.disk.found();
        let incarnation = found.hard_state.as_ref().map_or(0, |m| m.incarnation);
        let me = Member { id, incarnation };
        let mut core = ControlReplica::start(node.clock(now), me, self.seeds.clone(), found)
            .expect("a simulated disk is never damaged");
        if self.open {
            core = core.with_announced_address(place(id));
        }
        if let Some(former) = &node.core {
            core = core.restarted_from(former);
        }
        node.core = Some(core.with_snapshot_interval(self.snapshot_every).with_process_id(node.boot));
        let boot = node.boot;
        self.at(now, Event::Tick(id, boot));
    }

    /// The power goes: the process ends and of what was not synced only some first part is there.
    pub fn power_loss(&mut self, id: u32) {
        let keep = self.rng.next(4);
        let node = self.nodes.get_mut(&id).unwrap();
        node.core = None;
        node.held.clear();
        node.frozen_until = ms(0);
        node.disk.power_loss(keep);
    }

    /// The machine is swapped for one with an empty disk.
    pub fn empty(&mut self, id: u32) {
        self.power_loss(id);
        self.nodes.get_mut(&id).unwrap().disk = self.blank();
        self.start(id);
    }

    /// A disk that works again: in the same process the core starts over from what is on it.
    pub(super) fn reopen(&mut self, id: u32, boot: u64) {
        let keep = self.rng.next(4);
        let node = self.nodes.get_mut(&id).unwrap();
        if node.disk.fails_until.is_some_and(|until| self.now >= until) {
            (node.disk.failed, node.disk.fails_until) = (false, None);
        }
        if node.disk.failed {
            let next = self.now + ms(300);
            return self.at(next, Event::Reopen(id, boot));
        }
        node.disk.power_loss(keep);
        self.start_core(id);
    }

    /// Faults end: everything is up, joined and honest again.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.drop_percent = 0;
        for id in self.ids() {
            let node = self.nodes.get_mut(&id).unwrap();
            node.frozen_until = ms(0);
            node.disk.stalled_until = ms(0);
            (node.disk.failed, node.disk.fails_until) = (false, None);
            if self.nodes[&id].core.is_none() {
                self.start(id);
            }
        }
    }
}
