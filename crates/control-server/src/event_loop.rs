//! The thread that runs a control replica's state machine: it takes events from a queue and carries out the outputs.
//! When the disk failed and was opened again, the replica restarts from what was recovered.
use crate::disk_thread::{DiskRequest, ReopeningStore, WriteRequest};
use crate::handle::Event;
pub use crate::handle::ReplicaHandle;
use crate::peer_connections::PeerConnections;
use chain_replication::control_replica::ControlReplica;
use chain_replication::recovery::StartError;
use chain_replication::step::{Input, Output, RecoveredDisk};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use fleet_common::rpc::Response;
use fleet_common::{PeerError, Step, ring};
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);
/// Makes a control replica from what its disk recovered, at a time on the event loop's clock.
pub type ReplicaFactory = Box<dyn FnMut(Duration, RecoveredDisk) -> Result<ControlReplica, StartError> + Send>;

struct EventLoop {
    make_replica: ReplicaFactory,
    replica: Option<ControlReplica>,
    /// A step panicked: the replica waits until it is started again from its disk.
    is_halted: bool,
    opening: u64,
    started: Instant,
    peers: PeerConnections,
    pending_responses: HashMap<u64, Sender<Response>>,
    last_token: u64,
    writes: Sender<DiskRequest>,
    polls: Sender<u64>,
}

impl EventLoop {
    fn input(&mut self, inbox: Event) -> Option<Input> {
        Some(match inbox {
            Event::Received(sent) => Input::Message(sent),
            Event::Opened(opening, found) => {
                self.opening = opening;
                // Clients of the former replica are told that the result is unknown: their channels close.
                self.pending_responses.clear();
                match (self.make_replica)(self.started.elapsed(), found) {
                    Ok(replica) => {
                        self.is_halted = false;
                        self.replica = Some(match &self.replica {
                            Some(former) => replica.restarted_from(former),
                            None => replica,
                        });
                    }
                    Err(e) => ring::error(&PeerError::at(Step::Disk, "own disk", e)),
                }
                Input::Tick
            }
            Event::Synced(opening, up_to, true) if opening == self.opening => Input::Synced { up_to },
            Event::Synced(opening, _, false) if opening == self.opening => Input::DiskFailed,
            Event::Synced(..) => return None,
            Event::Requested(_, sender) if self.replica.is_none() || self.is_halted => {
                let _ = sender.try_send(Response::Redirect("".into()));
                return None;
            }
            Event::Requested(ask, sender) => {
                self.last_token += 1;
                self.pending_responses.insert(self.last_token, sender);
                Input::Request { token: self.last_token, request: ask }
            }
            Event::ListingCompleted(number, listed) => Input::ReplicasListed { poll: number, result: listed },
            Event::Leave => Input::Shutdown,
        })
    }

    fn step(&mut self, input: Input) {
        if self.is_halted {
            return;
        }
        let Some(replica) = self.replica.as_mut() else { return };
        for output in replica.step(self.started.elapsed(), input) {
            match output {
                Output::Send { to, message } => {
                    let at = replica.address(to).and_then(|c| c.peers.as_str().parse().ok());
                    if let Some(at) = at {
                        self.peers.send(at, replica.signed(message));
                    }
                }
                Output::Write { id: write_id, records } => {
                    let write = WriteRequest { opening: self.opening, write_id, records };
                    _ = self.writes.send(DiskRequest::Write(write));
                }
                Output::Respond { token, response } => {
                    if let Some(sender) = self.pending_responses.remove(&token) {
                        let _ = sender.try_send(response);
                    }
                }
                Output::PollReplicas { poll } => _ = self.polls.send(poll),
                Output::Log(line) => ring::announce(&line),
            }
        }
    }

    /// Takes a step. After a panic nothing is known of the replica but what is on its disk, so it starts from there, as after a
    /// failure of the disk: the others see a member that was away.
    fn without_panic(&mut self, step: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| step(self))).is_err() {
            self.is_halted = true;
            self.pending_responses.clear();
            _ = self.writes.send(DiskRequest::Reopen { opening: self.opening });
        }
    }

    fn run(mut self, receiver: Receiver<Event>) {
        let mut ticked = Instant::now();
        loop {
            match receiver.recv_timeout(TICK.saturating_sub(ticked.elapsed())) {
                Ok(event) => self.without_panic(|running| {
                    if let Some(input) = running.input(event) {
                        running.step(input);
                    }
                }),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if ticked.elapsed() >= TICK {
                ticked = Instant::now();
                self.without_panic(|running| running.step(Input::Tick));
            }
        }
    }
}

/// Starts the threads of a control replica whose disk is opened by `disk`, now or as soon as it can be.
/// ```no_run
/// # fn example(disk: control_server::disk_thread::ReopeningStore, make: control_server::event_loop::ReplicaFactory) {
/// let (polls, _polled) = crossbeam::channel::unbounded();
/// let driver = control_server::event_loop::start(disk, make, polls);
/// # }
/// ```
pub fn start(disk: ReopeningStore, make: ReplicaFactory, polls: Sender<u64>) -> ReplicaHandle {
    let (inbox, receiver) = unbounded();
    let (jobs, to_do) = unbounded();
    disk.spawn(to_do, inbox.clone());
    let running = EventLoop {
        make_replica: make,
        replica: None,
        is_halted: false,
        opening: 0,
        started: Instant::now(),
        peers: PeerConnections::default(),
        pending_responses: HashMap::new(),
        last_token: 0,
        writes: jobs,
        polls,
    };
    fleet_common::threads::start("control replica", fleet_common::threads::STACK, move || running.run(receiver));
    ReplicaHandle { inbox }
}
