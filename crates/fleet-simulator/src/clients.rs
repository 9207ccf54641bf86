//! Callers: steady calls of three kinds, some of them once-requests that are repeated elsewhere when
//! their outcome is not known, and what they see of their answers.
use crate::cores::ms;
use crate::shape::{EDGES, TENANTS};
use crate::wire::{Endpoint, Message};
use crate::world::{Observation, World};
use std::time::Duration;

/// A call to a router.
#[derive(Clone, Debug)]
pub struct Request {
    /// The number of the call, unique in a run.
    pub call: u64,
    /// The router that is called, by its index.
    pub edge: usize,
    /// The tenant's key.
    pub key: String,
    /// The tenant.
    pub tenant: &'static str,
    /// The id of the conversation.
    pub session: String,
    /// The prompt.
    pub prompt: String,
    /// How many tokens are asked for.
    pub tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
    /// The idempotency key, where the request may run only once.
    pub at_most_once_key: Option<String>,
}

/// A call whose end its caller has not seen.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// The request.
    pub request: Request,
    /// When it was sent.
    pub called_at: Duration,
    /// The chunks that came: the execution that each is of, and its number.
    pub chunks: Vec<((u64, u64), u64)>,
    /// Whether the client has seen its end.
    pub ended: bool,
    repeat_count: u64,
}

/// The nth key of a tenant.
pub fn key(tenant: &str, number: u64) -> String {
    format!("key-{tenant}-{number}")
}

/// Makes calls as time passes.
#[derive(Default)]
pub struct Clients {
    next_call_at: Duration,
    repeats: Vec<(Duration, Request, u64)>,
    observations_seen: usize,
    /// Of each tenant's keys, those below are withdrawn and used only now and then.
    pub withdrawn_keys: u64,
}

impl Clients {
    /// Calls that are due, and repeats of once-requests whose outcome was not known.
    pub fn step(&mut self, world: &mut World) {
        let now = world.now();
        if now >= self.next_call_at {
            self.next_call_at = now + ms(10 + world.rng.next(40));
            let request = self.request(world);
            world.call(request, 0);
        }
        for (at, saw) in world.observations[self.observations_seen..].iter().cloned() {
            let call = match saw {
                Observation::StreamEnded { call, whole: false, .. } => call,
                Observation::Response { call, status: 0 | 429 | 503 | 504, .. } => call,
                _ => continue,
            };
            let again =
                world.calls.get(&call).filter(|open| open.request.at_most_once_key.is_some() && open.repeat_count < 3);
            if let Some(open) = again.cloned() {
                let when = at + ms(300 + world.rng.next(4000));
                self.repeats.push((when, open.request, open.repeat_count + 1));
            }
        }
        self.observations_seen = world.observations.len();
        let (due, later) = std::mem::take(&mut self.repeats).into_iter().partition(|(when, ..)| *when <= now);
        self.repeats = later;
        let due: Vec<(Duration, Request, u64)> = due;
        for (_, mut request, repeats) in due {
            request.edge = (request.edge + 1 + world.rng.next(EDGES as u64 - 1) as usize) % EDGES;
            world.call(request, repeats);
        }
    }

    fn request(&mut self, world: &mut World) -> Request {
        let rng = &mut world.rng;
        let (tenant, _) = TENANTS[rng.next(4).min(rng.next(4)) as usize];
        let kind = rng.next(3);
        let shared = format!("{kind} the shared part of the prompt, always the same; ").repeat(12);
        let session = rng.next(12);
        let own = format!("session {session} {}", rng.next(1000)).repeat(4);
        let number =
            if self.withdrawn_keys > 0 && rng.next(4) == 0 { self.withdrawn_keys - 1 } else { self.withdrawn_keys };
        let tokens = match rng.next(20) {
            0 => 700,
            1..=4 => 40,
            _ => 3 + rng.next(8),
        };
        let once = rng.next(5) == 0;
        let edge = rng.next(EDGES as u64) as usize;
        let (stream, tag) = (rng.next(4) > 0, rng.next(1 << 40));
        Request {
            call: 0,
            edge,
            key: key(tenant, number),
            tenant,
            session: format!("{tenant}-{kind}-{session}"),
            prompt: format!("{shared}{own}"),
            tokens,
            stream,
            at_most_once_key: once.then(|| format!("once-{tag}")),
        }
    }
}

impl World {
    /// A caller asks an edge.
    pub(crate) fn call(&mut self, mut request: Request, repeats: u64) -> u64 {
        self.next_call += 1;
        request.call = self.next_call;
        let (call, edge, now) = (request.call, request.edge, self.now());
        let open = OpenCall {
            request: request.clone(),
            called_at: now,
            chunks: Vec::new(),
            ended: false,
            repeat_count: repeats,
        };
        self.calls.insert(call, open);
        self.send(Endpoint::Client, Endpoint::Router(edge), Message::Request(request));
        call
    }

    pub(crate) fn client_receives(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::ClientChunk { call, of, number } => {
                if let Some(open) = self.calls.get_mut(&call).filter(|open| !open.ended) {
                    open.chunks.push((of, number));
                }
            }
            Message::ClientStreamEnded { call, whole } => {
                if let Some(open) = self.calls.get_mut(&call).filter(|open| !open.ended) {
                    open.ended = true;
                    let (pieces, wanted) = (std::mem::take(&mut open.chunks), open.request.tokens);
                    self.observations.push((now, Observation::StreamEnded { call, whole, pieces, wanted }));
                }
            }
            Message::ClientResponse { call, status, outcome, retry_after } => {
                if let Some(open) = self.calls.get_mut(&call).filter(|open| !open.ended) {
                    open.ended = true;
                    let retry_after = retry_after.is_some();
                    self.observations.push((now, Observation::Response { call, status, outcome, retry_after }));
                }
            }
            _ => {}
        }
    }

    /// The router of an edge ended: its callers see their streams cut.
    pub(crate) fn reset_client_streams(&mut self, edge: usize) {
        let open = |(_, o): &(&u64, &OpenCall)| o.request.edge == edge && !o.ended;
        let calls: Vec<u64> = self.calls.iter().filter(open).map(|(call, _)| *call).collect();
        for call in calls {
            self.client_receives(Message::ClientStreamEnded { call, whole: false });
        }
    }
}
