//! What travels between the simulated machines that are not cores, and how it may fail.
use crate::clients::Request;
use crate::cores::ms;
use crate::world::World;
use fleet_common::rpc::{self, Response, TableSnapshot};
use prefix_table::event::EventBatch;
use prefix_table::index_node::OrderAnswer;
use routing::request_machine::Outcome;
use std::time::Duration;

/// A process that gets messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Router(usize),
    Index(usize),
    Replica(usize),
    Client,
}

/// A request as a replica gets it.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    /// Which try of which request: the name of its stream.
    pub stream: (u64, u64),
    pub router: usize,
    pub at_most_once_key: Option<String>,
    pub key_digest: String,
    pub wall: String,
    pub weights: String,
    pub blocks: Vec<u64>,
    pub tokens: u64,
    pub budget: Duration,
    /// The budget of its kind, which tells the blueprint.
    pub kind_budget_ms: u64,
    pub source: Option<usize>,
}

/// A message.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller's request to a router, a router's try to a replica.
    Request(Request),
    Forward(ReplicaRequest),
    CloseStream((u64, u64)),
    /// From a replica: a refusal that ran nothing, a piece, the end, a break.
    Refused((u64, u64), u16, Option<u64>),
    Chunk((u64, u64), u64, bool),
    StreamEnded((u64, u64)),
    ConnectionFailed((u64, u64), bool),
    Poll {
        by: usize,
        replica: String,
        fence: u64,
        incarnation: String,
        from: u64,
    },
    Polled(String, u64, Result<EventBatch, String>),
    FetchSnapshot {
        by: usize,
        replica: String,
    },
    SnapshotFetched(String, Option<TableSnapshot>),
    Order {
        by: usize,
        replica: String,
        fence: u64,
        model: String,
        weights: String,
    },
    OrderAnswered(OrderAnswer),
    Announce(rpc::Request),
    /// A router asks an index node, which answers.
    Query {
        by: usize,
        ask: rpc::Request,
        replica: String,
    },
    Answered {
        replica: String,
        answer: Response,
    },
    /// To the caller: a piece of a stream, the end of a whole one, a cut, or an answer instead.
    ClientChunk {
        call: u64,
        of: (u64, u64),
        number: u64,
    },
    ClientStreamEnded {
        call: u64,
        whole: bool,
    },
    ClientResponse {
        call: u64,
        status: u16,
        outcome: Outcome,
        retry_after: Option<u64>,
    },
}

impl Message {
    /// The stream from a replica that this is a part of.
    fn stream(&self) -> Option<(u64, u64)> {
        match self {
            Message::Refused(stream, ..) | Message::Chunk(stream, ..) => Some(*stream),
            Message::StreamEnded(stream) | Message::ConnectionFailed(stream, _) => Some(*stream),
            _ => None,
        }
    }
}

impl World {
    /// Whether a message can pass from one machine to another now.
    pub(crate) fn passes(&self, from: Endpoint, to: Endpoint) -> bool {
        let machine = |place: Endpoint| match place {
            Endpoint::Router(at) | Endpoint::Index(at) => at,
            Endpoint::Replica(at) => 100 + at,
            Endpoint::Client => 999,
        };
        !self.partitioned.contains(&(machine(from), machine(to)))
    }

    /// Sends what a stream carries: in order, or not at all.
    pub(crate) fn send(&mut self, from: Endpoint, to: Endpoint, message: Message) {
        // A stream that lost something is dead: nothing of it comes later.
        let stream = message.stream();
        if !self.passes(from, to) {
            self.dead_streams.extend(stream);
            return;
        }
        if stream.is_some_and(|stream| self.dead_streams.contains(&stream)) {
            return;
        }
        let soonest = self.last_on_wire.get(&(from, to)).copied().unwrap_or_default();
        let when = (self.now() + ms(1 + self.rng.next(6))).max(soonest);
        self.last_on_wire.insert((from, to), when);
        self.put(when, to, message);
    }

    /// Sends what may come late, twice, out of order or never.
    pub(crate) fn send_unreliably(&mut self, from: Endpoint, to: Endpoint, message: Message) {
        if !self.passes(from, to) || self.rng.next(100) < self.loss_percent {
            return;
        }
        let times = if self.rng.next(100) < self.loss_percent { 2 } else { 1 };
        for _ in 0..times {
            let late = if self.rng.next(100) < self.loss_percent { self.rng.next(3000) } else { 0 };
            let when = self.now() + ms(1 + self.rng.next(10) + late);
            self.put(when, to, message.clone());
        }
    }

    pub(crate) fn put(&mut self, when: Duration, to: Endpoint, message: Message) {
        self.message_count += 1;
        self.wire.insert((when, self.message_count), (to, message));
    }
}
