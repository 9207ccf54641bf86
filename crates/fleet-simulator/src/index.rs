//! A simulated index node: the index_node itself, its pulls, and what it wants done put on the wire.
use crate::control_calls::ControlCall;
use crate::cores::ms;
use crate::shape::{DisabledGuard, EDGES};
use crate::wire::{Endpoint, Message};
use crate::world::World;
use control_state::command::CommandRequest;
use fleet_common::node::Identity;
use fleet_common::rpc::{self, NODE_LEASE, Pull, Response};
use prefix_table::index_node::{IndexNode, Input, Output};
use std::time::Duration;

const TICK: Duration = ms(50);
const PULL_LOST: Duration = Duration::from_millis(6000);

pub(crate) struct IndexProcess {
    pub at: usize,
    pub up: bool,
    pub frozen: Duration,
    pub partitioned_until: Duration,
    incarnation: u64,
    index_node: IndexNode,
    pull: Option<(ControlCall, Duration)>,
    pull_after: Duration,
    lease_held_at: Duration,
    last_tick_at: Duration,
    commands: Vec<(String, ControlCall)>,
}

impl IndexProcess {
    pub fn new(at: usize, incarnation: u64) -> Self {
        let name = format!("i{}", at + 1);
        let me = Identity { name: name.clone(), kind: "index", incarnation, address: name, zone: "a".into() };
        IndexProcess {
            at,
            up: true,
            frozen: Duration::ZERO,
            partitioned_until: Duration::ZERO,
            incarnation,
            index_node: IndexNode::new(me),
            pull: None,
            pull_after: Duration::ZERO,
            lease_held_at: Duration::ZERO,
            last_tick_at: Duration::ZERO,
            commands: Vec::new(),
        }
    }

    /// Another process on the same machine.
    pub fn start(&mut self, now: Duration) {
        *self = IndexProcess {
            partitioned_until: self.partitioned_until,
            lease_held_at: now,
            ..IndexProcess::new(self.at, self.incarnation + 1)
        };
    }

    fn pull_request(&self, now: Duration) -> rpc::Request {
        let (me, have) = (&self.index_node.me, self.index_node.applied_versions().to_vec());
        rpc::Request::Pull(Pull {
            node: me.name.as_str().into(),
            kind: me.kind.into(),
            incarnation: me.incarnation,
            address: me.address.as_str().into(),
            zone: me.zone.as_str().into(),
            known_versions: have.clone().into(),
            applied_versions: have.into(),
            has_lease: (now.saturating_sub(self.lease_held_at) < NODE_LEASE + ms(300)).into(),
            wait_ms: 800,
        })
    }
}

impl World {
    pub(crate) fn index_step(&mut self, at: usize) {
        let now = self.now();
        let index = &mut self.indexes[at];
        if !index.up || now < index.frozen {
            return;
        }
        let reached = now >= index.partitioned_until;
        let mut inputs = Vec::new();
        if let Some((call, sent)) = &mut index.pull {
            match call.step(&mut self.cores, reached) {
                Some(Some(Response::Pull(pulled))) => {
                    index.lease_held_at = *sent;
                    index.pull_after = if pulled.lease_confirmed == 0 { now + ms(50) } else { now };
                    inputs.push(Input::Pulled(*sent, pulled));
                    index.pull = None;
                }
                Some(_) => (index.pull, index.pull_after) = (None, now + ms(100)),
                None => {}
            }
        }
        if index.pull.is_none() && now >= index.pull_after && reached {
            index.pull = Some((ControlCall::new(index.pull_request(now), now, now + PULL_LOST), now));
        }
        let mut done = Vec::new();
        index.commands.retain_mut(|(replica, call)| {
            let over = call.step(&mut self.cores, reached).is_some();
            done.extend(over.then(|| Input::CommandAnswered(replica.clone())));
            !over
        });
        inputs.extend(done);
        if now - index.last_tick_at >= TICK {
            index.last_tick_at = now;
            inputs.push(Input::Tick);
        }
        for input in inputs {
            self.index_node_step(at, input);
        }
    }

    fn index_node_step(&mut self, at: usize, input: Input) {
        let now = self.now();
        let index = &mut self.indexes[at];
        let outputs = index.index_node.step(now, input);
        if self.disabled_guard == DisabledGuard::FencingToken {
            index.index_node.taken_over.clear();
        }
        for output in outputs {
            self.perform_output(at, output);
        }
    }

    fn perform_output(&mut self, at: usize, output: Output) {
        let (now, me) = (self.now(), Endpoint::Index(at));
        let machine = |text: &str| text.parse::<usize>().unwrap_or(0);
        match output {
            Output::Poll { replica, at: to, fence, incarnation, from, .. } => {
                let to = Endpoint::Replica(machine(&to));
                if self.passes(me, to) && self.passes(to, me) {
                    self.send(me, to, Message::Poll { by: at, replica, fence, incarnation, from });
                } else {
                    let lost = Message::Polled(replica, fence, Err("no answer".into()));
                    self.put(now + ms(1500), me, lost);
                }
            }
            Output::FetchSnapshot { replica, at: to } => {
                if let Some(to) = endpoint_of(&to) {
                    self.send(me, to, Message::FetchSnapshot { by: at, replica });
                }
            }
            Output::Command(replica, command) => {
                let ask = CommandRequest::internal(command).to_request().expect("a command can be written");
                self.indexes[at].commands.push((replica, ControlCall::new(ask, now, now + ms(3000))));
            }
            Output::Order { replica, at: to, fence, model, weights, .. } => {
                let order = Message::Order { by: at, replica, fence, model, weights };
                let to = Endpoint::Replica(machine(&to));
                // An order may be long on its way, past its giver's term.
                let late = if self.rng.next(100) < self.loss_percent { self.rng.next(5000) } else { 0 };
                if self.passes(me, to) {
                    self.put(now + ms(2 + late), to, order);
                }
            }
            Output::Send(to, ask) => {
                if let Some(to) = endpoint_of(&to) {
                    self.send_unreliably(me, to, Message::Announce(ask));
                }
            }
            Output::Log(_) => {}
        }
    }

    pub(crate) fn index_receives(&mut self, at: usize, message: Message) {
        let (now, me) = (self.now(), Endpoint::Index(at));
        match message {
            Message::Polled(replica, fence, polled) => {
                self.index_node_step(at, Input::Polled(replica, fence, polled.map(Into::into)))
            }
            Message::SnapshotFetched(replica, copy) => self.index_node_step(at, Input::SnapshotFetched(replica, copy)),
            Message::OrderAnswered(answer) => self.index_node_step(at, Input::OrderAnswered(answer)),
            Message::FetchSnapshot { by, replica } => {
                let copy =
                    match self.indexes[at].index_node.answer(now, rpc::Request::TablePull(replica.as_str().into())) {
                        Response::Table(copy) => Some(copy),
                        _ => None,
                    };
                self.send(me, Endpoint::Index(by), Message::SnapshotFetched(replica, copy));
            }
            Message::Announce(ask) => {
                self.indexes[at].index_node.answer(now, ask);
                if self.indexes[at].index_node.has_changed_state() {
                    self.index_node_step(at, Input::StateChanged);
                }
            }
            Message::Query { by, ask, replica } => {
                let answer = self.indexes[at].index_node.answer(now, ask);
                self.send(me, Endpoint::Router(by), Message::Answered { replica, answer });
            }
            _ => {}
        }
    }
}

/// The process behind an address.
fn endpoint_of(at: &str) -> Option<Endpoint> {
    let number: usize = at.get(1..)?.parse().ok().filter(|n| (1..=EDGES).contains(n))?;
    match at.chars().next()? {
        'e' => Some(Endpoint::Router(number - 1)),
        'i' => Some(Endpoint::Index(number - 1)),
        _ => None,
    }
}
