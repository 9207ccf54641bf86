//! The thread that runs a control replica's state machine: it takes events from a queue and carries out the outputs.
//! When the disk failed and was opened again, the replica restarts from what was recovered.
use crate::disk_thread::{ReopeningStore, WriteRequest};
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
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);
/// Makes a control replica from what its disk recovered, at a time on the event loop's clock.
pub type ReplicaFactory = Box<dyn FnMut(Duration, RecoveredDisk) -> Result<ControlReplica, StartError> + Send>;

struct EventLoop {
    make_replica: ReplicaFactory,
    replica: Option<ControlReplica>,
    opening: u64,
    started: Instant,
    peers: PeerConnections,
    pending_responses: HashMap<u64, Sender<Response>>,
    last_token: u64,
    writes: Sender<WriteRequest>,
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
            Event::Requested(_, sender) if self.replica.is_none() => {
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
                    _ = self.writes.send(WriteRequest { opening: self.opening, write_id, records })
                }
                Output::Respond { token, response } => {
                    if let Some(sender) = self.pending_responses.remove(&token) {
                        let _ = sender.try_send(response);
                    }
                }
                Output::PollReplicas { poll } => _ = self.polls.send(poll),
                Output::Log(line) => ring::info(&line),
            }
        }
    }

    fn run(mut self, receiver: Receiver<Event>) {
        let mut ticked = Instant::now();
        loop {
            match receiver.recv_timeout(TICK.saturating_sub(ticked.elapsed())) {
                Ok(inbox) => {
                    if let Some(input) = self.input(inbox) {
                        self.step(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if ticked.elapsed() >= TICK {
                ticked = Instant::now();
                self.step(Input::Tick);
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
