//! A seeded world for four cores: a network that delays, drops and cuts, disks that lose what was not
//! synced, cores that crash, freeze and are emptied. Nothing here knows how the cores work inside.
#![allow(dead_code)]
pub mod disk;
pub mod edges;
pub mod history;
pub mod platform;

use control_chain::command::Replica;
use control_chain::core::{Core, Input, Output};
use control_chain::message::{Chain, Sent};
use control_chain::view::{CoreAt, Member, Meta, View};
use disk::Disk;
use fleet_common::ask::{Answer, Ask};
use fleet_common::hash::Dice;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A machine's own clock: it began elsewhere, and runs up to a hundredth faster.
fn clock(now: Duration, skew: Duration) -> Duration {
    now + skew + now * (skew.as_millis() % 10) as u32 / 1000
}

pub enum Event {
    Deliver(u32, Sent),
    Synced(u32, u64, u64),
    Tick(u32, u64),
    Listed(u32, u64, u64, Vec<Replica>),
}

pub struct Node {
    pub core: Option<Core>,
    pub disk: Disk,
    pub boot: u64,
    pub frozen_until: Duration,
    held: Vec<(u64, Event)>,
    skew: Duration,
}

/// How the disks behave: honest ones say synced when they are.
#[derive(Clone, Copy, PartialEq)]
pub enum Disks {
    Honest,
    Lying,
}

pub struct World {
    pub dice: Dice,
    pub now: Duration,
    pub nodes: BTreeMap<u32, Node>,
    pub cut: BTreeSet<(u32, u32)>,
    pub drop_percent: u64,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    last_on_wire: BTreeMap<(u32, u32), Duration>,
    pub answers: BTreeMap<u64, Answer>,
    next_token: u64,
    disks: Disks,
    /// What the platform lists now, if there is one, and how long its answers may take at the most.
    pub platform: Option<(Vec<Replica>, u64)>,
    /// The guard switched off: an answer is put to the core as a bare command, whoever is head by then.
    pub bare_listing: bool,
}

pub fn places() -> Vec<CoreAt> {
    let at = |id: u32| CoreAt { id, chain: "".into(), node: format!("{id}").into(), http: "".into() };
    (1..=4).map(at).collect()
}

impl World {
    pub fn new(seed: u64, disks: Disks) -> Self {
        let mut world = World {
            dice: Dice::new(seed),
            now: ms(1000),
            nodes: BTreeMap::new(),
            cut: BTreeSet::new(),
            drop_percent: 0,
            queue: BTreeMap::new(),
            order: 0,
            last_on_wire: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_token: 0,
            disks,
            platform: None,
            bare_listing: false,
        };
        for id in 1..=4u32 {
            let founding =
                Meta { incarnation: 1, view: View::founding(places()), promised: 0, accepted: vec![].into(), full: 1 };
            let skew = ms(world.dice.next(100_000));
            let node =
                Node { core: None, disk: Disk::with(founding), boot: 0, frozen_until: ms(0), held: vec![], skew };
            world.nodes.insert(id, node);
            world.start(id);
        }
        world
    }

    pub(super) fn at(&mut self, when: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((when, self.order), event);
    }

    pub fn start(&mut self, id: u32) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        node.boot += 1;
        let found = node.disk.found();
        let incarnation = found.meta.as_ref().map_or(0, |m| m.incarnation);
        let me = Member { id, incarnation };
        let core = Core::start(clock(now, node.skew), me, places(), found).expect("a simulated disk is never damaged");
        node.core = Some(core.capture_every(20));
        let boot = node.boot;
        self.at(now, Event::Tick(id, boot));
    }

    /// The power goes: the process ends and of what was not synced only some first part is there.
    pub fn power_loss(&mut self, id: u32) {
        let keep = self.dice.next(4);
        let node = self.nodes.get_mut(&id).unwrap();
        node.core = None;
        node.held.clear();
        node.frozen_until = ms(0);
        node.disk.power_loss(keep);
    }

    /// The machine is swapped for one with an empty disk.
    pub fn empty(&mut self, id: u32) {
        let incarnation = 100 + self.order;
        self.power_loss(id);
        let meta = Meta { incarnation, view: View::outside(places()), promised: 0, accepted: vec![].into(), full: 0 };
        self.nodes.get_mut(&id).unwrap().disk = Disk::with(meta);
        self.start(id);
    }

    pub fn ask(&mut self, id: u32, ask: Ask) -> Option<u64> {
        let frozen = self.nodes[&id].frozen_until > self.now;
        if self.nodes[&id].core.is_none() || frozen {
            return None;
        }
        self.next_token += 1;
        let token = self.next_token;
        self.step(id, Input::Asked(token, ask));
        Some(token)
    }

    pub(super) fn step(&mut self, id: u32, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let Some(core) = node.core.as_mut() else { return };
        let (outputs, boot) = (core.step(clock(now, node.skew), input), node.boot);
        for output in outputs {
            match output {
                Output::Send(to, message) => self.send(id, to, message),
                Output::Keep(ticket, records) => {
                    let took = ms(1 + self.dice.next(8));
                    let node = self.nodes.get_mut(&id).unwrap();
                    let slow = node.disk.stalled_until.saturating_sub(now);
                    node.disk.keep(ticket, records);
                    let when = if self.disks == Disks::Lying { now } else { now + took + slow };
                    self.at(when, Event::Synced(id, boot, ticket));
                }
                Output::Answer(token, answer) => _ = self.answers.insert(token, answer),
                Output::Poll(number) => self.poll(id, boot, number),
                Output::Note(_) => {}
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, message: Chain) {
        if self.cut.contains(&(from, to)) || self.dice.next(100) < self.drop_percent {
            return;
        }
        let incarnation = self.nodes[&from].disk.incarnation();
        // Streams keep their order.
        let soonest = self.last_on_wire.get(&(from, to)).copied().unwrap_or_default();
        let when = (self.now + ms(1 + self.dice.next(12))).max(soonest);
        self.last_on_wire.insert((from, to), when);
        self.at(when, Event::Deliver(to, Sent { from, incarnation, message }));
    }

    /// Lets time pass.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some(((when, order), event)) = self.queue.pop_first() {
            if when > end {
                self.queue.insert((when, order), event);
                break;
            }
            self.now = self.now.max(when);
            self.handle(order, event);
        }
        self.now = end;
    }

    fn handle(&mut self, order: u64, event: Event) {
        let id = match &event {
            Event::Deliver(id, _) | Event::Synced(id, ..) | Event::Tick(id, _) | Event::Listed(id, ..) => *id,
        };
        let node = self.nodes.get_mut(&id).unwrap();
        if node.frozen_until > self.now {
            // A frozen machine finds everything waiting when it wakes.
            let wake = node.frozen_until;
            self.queue.insert((wake, order), event);
            return;
        }
        let boot = node.boot;
        match event {
            Event::Deliver(_, sent) => self.step(id, Input::Heard(sent)),
            Event::Synced(_, of, ticket) if of == boot => {
                if self.disks == Disks::Honest {
                    self.nodes.get_mut(&id).unwrap().disk.sync(ticket);
                }
                let good = !self.nodes[&id].disk.failed;
                self.step(id, Input::Synced(ticket, good));
            }
            Event::Listed(_, of, number, rows) if of == boot => self.listed(id, number, rows),
            Event::Tick(_, of) if of == boot && self.nodes[&id].core.is_some() => {
                self.step(id, Input::Tick);
                let next = self.now + ms(20);
                self.at(next, Event::Tick(id, boot));
            }
            _ => {}
        }
    }

    /// Faults end: everything is up, joined and honest again.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.drop_percent = 0;
        for id in 1..=4u32 {
            let node = self.nodes.get_mut(&id).unwrap();
            node.frozen_until = ms(0);
            node.disk.stalled_until = ms(0);
            let failed = std::mem::take(&mut node.disk.failed);
            if failed {
                self.power_loss(id);
            }
            if self.nodes[&id].core.is_none() {
                self.start(id);
            }
        }
    }
}
