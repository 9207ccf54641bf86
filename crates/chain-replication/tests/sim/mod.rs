//! A seeded world for four cores: a network that delays, drops and cuts, disks that lose what was not
//! synced, cores that crash, freeze and are emptied. Nothing here knows how the cores work inside.
#![allow(dead_code)]
pub mod calls;
pub mod disk;
pub mod edges;
pub mod history;
pub mod machines;
pub use machines::Node;
mod output_record;
pub mod platform;

use chain_replication::message::{Message, PeerMessage};
use chain_replication::step::{Input, Output};
use chain_replication::view::{MemberAddress, View};
use chain_replication::write_queue::WriteId;
use control_state::command::ReplicaInfo;
use fleet_common::hash::SeededRng;
use fleet_common::rpc::{Request, Response};
use sha2::Sha256;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub enum Event {
    Deliver(u32, PeerMessage),
    Synced(u32, u64, WriteId),
    Tick(u32, u64),
    /// The program tries to open a disk that failed.
    Reopen(u32, u64),
    Listed(u32, u64, u64, Vec<ReplicaInfo>),
    /// A call of an operator reaches a machine: its boot when called, the token, what is asked.
    Asked(u32, u64, u64, Request),
}

/// How the disks behave: honest ones say synced when they are.
#[derive(Clone, Copy, PartialEq)]
pub enum Disks {
    Honest,
    Lying,
}

pub struct World {
    pub rng: SeededRng,
    pub now: Duration,
    pub nodes: BTreeMap<u32, Node>,
    pub cut: BTreeSet<(u32, u32)>,
    pub drop_percent: u64,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    last_on_wire: BTreeMap<(u32, u32), Duration>,
    pub answers: BTreeMap<u64, Response>,
    /// When each answer was given.
    pub answered_at: BTreeMap<u64, Duration>,
    next_token: u64,
    disks: Disks,
    /// What the platform lists now, if there is one, and how long its answers may take at the most.
    pub platform: Option<(Vec<ReplicaInfo>, u64)>,
    /// Cores that the platform does not answer.
    pub without_platform: BTreeSet<u32>,
    /// The guard switched off: an answer is put to the core as a bare command, whoever is head by then.
    pub bare_listing: bool,
    /// What cores are told of each other beforehand, and whether they make themselves known.
    pub seeds: Vec<MemberAddress>,
    pub tolerance: u32,
    /// Entries between snapshots.
    pub snapshot_every: usize,
    pub open: bool,
    /// Every view that any core took on, by its number, and what was wrong with one.
    views: BTreeMap<u64, View>,
    pub torn: Vec<String>,
    /// When the process of a core last started.
    pub last_process_start: Duration,
    /// Whether what cores note is printed, to look into a run.
    pub shows_notes: bool,
    /// What cores logged, with their ids.
    pub log_lines: Vec<(u32, String)>,
    /// A digest of all outputs, where they are recorded.
    outputs: Option<Sha256>,
}

pub fn place(id: u32) -> MemberAddress {
    MemberAddress { id, peers: "".into(), nodes: format!("{id}").into(), operators: "".into() }
}

pub fn places() -> Vec<MemberAddress> {
    (1..=4).map(place).collect()
}

impl World {
    pub fn new(seed: u64, disks: Disks) -> Self {
        let mut world = World::bare(seed, disks);
        for id in 1..=4u32 {
            world.add(id, true);
        }
        world
    }

    /// A world without machines.
    fn bare(seed: u64, disks: Disks) -> Self {
        World {
            rng: SeededRng::new(seed),
            now: ms(1000),
            nodes: BTreeMap::new(),
            cut: BTreeSet::new(),
            drop_percent: 0,
            queue: BTreeMap::new(),
            order: 0,
            last_on_wire: BTreeMap::new(),
            answers: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            next_token: 0,
            disks,
            platform: None,
            without_platform: BTreeSet::new(),
            bare_listing: false,
            seeds: places(),
            tolerance: 1,
            snapshot_every: 20,
            open: false,
            views: BTreeMap::new(),
            torn: Vec::new(),
            last_process_start: ms(1000),
            shows_notes: std::env::var("SIM_NOTES").is_ok(),
            log_lines: Vec::new(),
            outputs: None,
        }
    }

    pub fn ids(&self) -> Vec<u32> {
        self.nodes.keys().copied().collect()
    }

    pub(super) fn at(&mut self, when: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((when, self.order), event);
    }

    pub fn ask(&mut self, id: u32, ask: Request) -> Option<u64> {
        let frozen = self.nodes[&id].frozen_until > self.now;
        if self.nodes[&id].core.is_none() || frozen {
            return None;
        }
        self.next_token += 1;
        let token = self.next_token;
        self.step(id, Input::Request { token, request: ask });
        Some(token)
    }

    /// Has a core react to something that comes from outside.
    pub fn step_input(&mut self, id: u32, input: Input) {
        self.step(id, input);
    }

    pub(super) fn step(&mut self, id: u32, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let own_now = node.clock(now);
        let Some(core) = node.core.as_mut() else { return };
        let (outputs, boot) = (core.step(own_now, input), node.boot);
        if core.view().number != node.last_view {
            node.last_view = core.view().number;
            let view = core.view().clone();
            self.saw(view);
        }
        for output in outputs {
            self.record_output(id, &output);
            match output {
                Output::Send { to, message } => self.send(id, to, message),
                Output::Write { id: write, records } => {
                    let took = ms(1 + self.rng.next(8));
                    let node = self.nodes.get_mut(&id).unwrap();
                    let slow = node.disk.stalled_until.saturating_sub(now).max(node.disk.sync_delay);
                    node.disk.keep(write, records);
                    let when = if self.disks == Disks::Lying { now } else { now + took + slow };
                    self.at(when, Event::Synced(id, boot, write));
                }
                Output::Respond { token, response: answer } => self.answered(token, answer),
                Output::PollReplicas { poll: number } => self.poll(id, boot, number),
                Output::Log(line) => {
                    if self.shows_notes {
                        println!("{now:?} {id}: {line}");
                    }
                    self.log_lines.push((id, line));
                }
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, message: Message) {
        if self.cut.contains(&(from, to)) || self.rng.next(100) < self.drop_percent {
            return;
        }
        if self.open && self.nodes[&from].core.as_ref().is_none_or(|core| core.address(to).is_none()) {
            return;
        }
        let incarnation = self.nodes[&from].disk.incarnation();
        // Streams keep their order.
        let soonest = self.last_on_wire.get(&(from, to)).copied().unwrap_or_default();
        let when = (self.now + ms(1 + self.rng.next(12))).max(soonest);
        self.last_on_wire.insert((from, to), when);
        self.at(when, Event::Deliver(to, PeerMessage { from, incarnation, message }));
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
            Event::Deliver(id, _) | Event::Synced(id, ..) | Event::Tick(id, _) => *id,
            Event::Listed(id, ..) | Event::Reopen(id, _) | Event::Asked(id, ..) => *id,
        };
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.frozen_until > self.now {
            // A frozen machine finds everything waiting when it wakes.
            let wake = node.frozen_until;
            self.queue.insert((wake, order), event);
            return;
        }
        let boot = node.boot;
        match event {
            Event::Deliver(_, sent) => self.step(id, Input::Message(sent)),
            Event::Synced(_, of, up_to) if of == boot => {
                if self.disks == Disks::Honest {
                    self.nodes.get_mut(&id).unwrap().disk.sync(up_to);
                }
                let good = !self.nodes[&id].disk.failed;
                self.step(id, if good { Input::Synced { up_to } } else { Input::DiskFailed });
                if !good {
                    let next = self.now + ms(300);
                    self.at(next, Event::Reopen(id, boot));
                }
            }
            Event::Asked(_, of, token, ask) if of == boot => self.step(id, Input::Request { token, request: ask }),
            Event::Reopen(_, of) if of == boot => self.reopen(id, boot),
            Event::Listed(_, of, number, rows) if of == boot => self.listed(id, number, rows),
            Event::Tick(_, of) if of == boot && self.nodes[&id].core.is_some() => {
                self.step(id, Input::Tick);
                let next = self.now + ms(20);
                self.at(next, Event::Tick(id, boot));
            }
            _ => {}
        }
    }
}
