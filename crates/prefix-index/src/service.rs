//! The index node's state machine behind one short lock, and the threads that do what it says: polls of
//! each replica by a thread of its own, asks of peers and orders by a pool, news by a sender for each peer.
//! Lock order: the index_node's lock is never held while anything else is waited for or locked.
use crate::replica_client::{OrderRequest, PollRequest, ReplicaApi};
use crate::tasks::{self, Task, Watch, Watcher};
use crossbeam::channel::{Receiver, Sender, TrySendError, unbounded};
use fleet_common::node::{ControlClient, Identity, KnownMembers, Seeds};
use fleet_common::ring;
use fleet_common::rpc::{PullResponse, Request, Response, VersionVector};
use fleet_common::threads::{self, STACK};
use prefix_table::index_node::{IndexNode, Input, Output};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Senders of peers that are gone go when there are more than a fleet has nodes.
const PEER_SENDERS_MAX: usize = 4096;
const TICK: Duration = Duration::from_millis(50);
const WORKER_COUNT: usize = 6;

/// An index node at work.
pub struct IndexService {
    started: Instant,
    index_node: Mutex<IndexNode>,
    pub(crate) identity: Identity,
    pub(crate) seeds: Seeds,
    pub(crate) replicas: Arc<dyn ReplicaApi>,
    /// For commands; pulls have a link of their own.
    pub(crate) link: Mutex<ControlClient>,
    pub(crate) control_members: KnownMembers,
    tasks: (Sender<Task>, Receiver<Task>),
    peer_senders: Mutex<HashMap<String, Sender<Request>>>,
    watchers: Mutex<HashMap<String, Watcher>>,
}

impl IndexService {
    pub(crate) fn new(identity: Identity, seeds: Seeds, replicas: Arc<dyn ReplicaApi>, index_node: IndexNode) -> Self {
        let control_members = KnownMembers::default();
        IndexService {
            started: Instant::now(),
            link: Mutex::new(ControlClient::new(identity.clone(), seeds.clone(), control_members.clone())),
            control_members,
            index_node: Mutex::new(index_node),
            identity,
            seeds,
            replicas,
            tasks: unbounded(),
            peer_senders: Mutex::default(),
            watchers: Mutex::default(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The state machine, its clock set. Its lock is to be held shortly.
    /// ```
    /// # use fleet_common::node::Identity;
    /// # let identity = Identity { name: "i1".into(), kind: "index", incarnation: 1, address: "".into(), zone: "a".into() };
    /// # let frames = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// # let replicas = std::sync::Arc::new(prefix_index::HttpReplicaClient);
    /// # let service = prefix_index::start(prefix_index::StartOptions { identity, seeds: Default::default(), frames, replicas,
    /// #     superseded_weights_bound: prefix_index::SUPERSEDED_WEIGHTS_BOUND.into() });
    /// assert!(service.index_node().replicas.is_empty());
    /// ```
    pub fn index_node(&self) -> MutexGuard<'_, IndexNode> {
        let mut index_node = self.index_node.lock().unwrap_or_else(|held| held.into_inner());
        index_node.advance_clock(self.now());
        index_node
    }

    /// Answers a router or a peer.
    /// ```
    /// # use fleet_common::node::Identity;
    /// # let identity = Identity { name: "i1".into(), kind: "index", incarnation: 1, address: "".into(), zone: "a".into() };
    /// # let frames = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// # let replicas = std::sync::Arc::new(prefix_index::HttpReplicaClient);
    /// # let service = prefix_index::start(prefix_index::StartOptions { identity, seeds: Default::default(), frames, replicas,
    /// #     superseded_weights_bound: prefix_index::SUPERSEDED_WEIGHTS_BOUND.into() });
    /// use fleet_common::rpc::{Response, Request};
    /// assert!(matches!(service.respond(Request::FilterPull("r1".into())), Response::Rejected(_)));
    /// ```
    pub fn respond(self: &Arc<Self>, ask: Request) -> Response {
        let (answer, stirred) = {
            let mut index_node = self.index_node();
            (index_node.answer(self.now(), ask), index_node.has_changed_state())
        };
        if stirred {
            self.step(Input::StateChanged);
        }
        answer
    }

    /// Takes what a pull brought; gives the versions now in use.
    pub(crate) fn apply_pull(self: &Arc<Self>, sent: Instant, pulled: PullResponse) -> VersionVector {
        let sent = sent.saturating_duration_since(self.started);
        self.step(Input::Pulled(sent, pulled));
        self.index_node().applied_versions()
    }

    /// Steps the machine and has done what it says.
    pub(crate) fn step(self: &Arc<Self>, input: Input) {
        let outputs = self.index_node().step(self.now(), input);
        for output in outputs {
            match output {
                Output::Log(line) => ring::info(&line),
                Output::Send(at, ask) => self.send_to_peer(&at, ask),
                Output::Poll { replica, at, fence, incarnation, from, is_store, ordered } => {
                    self.queue_poll((fence, PollRequest { replica, at, incarnation, from, is_store, ordered }))
                }
                Output::FetchSnapshot { replica, at } => self.queue_task(Task::Fetch { replica, at }),
                Output::Command(replica, command) => self.queue_task(Task::Command(replica, command)),
                Output::Order { replica, at, fence, model, has_several_models, weights } => {
                    let owner = self.identity.name.clone();
                    self.queue_task(Task::Order(OrderRequest {
                        replica,
                        at,
                        owner,
                        fencing_token: fence,
                        model,
                        has_several_models,
                        weights,
                    }))
                }
            }
        }
    }

    fn queue_task(&self, job: Task) {
        let _ = self.tasks.0.send(job);
    }

    /// Gives a poll to its replica's thread; one that has ended is replaced. A poll that finds its thread
    /// held up by an older one is lost, and asked again by the state machine.
    fn queue_poll(self: &Arc<Self>, watch: Watch) {
        let mut watchers = self.watchers.lock().unwrap_or_else(|held| held.into_inner());
        let replica = watch.1.replica.clone();
        let watch = match watchers.get(&replica) {
            None => watch,
            Some(watcher) => match watcher.sender.try_send(watch) {
                Err(TrySendError::Disconnected(watch)) => watch,
                Ok(()) | Err(TrySendError::Full(_)) => return,
            },
        };
        watchers.retain(|_, watcher| !watcher.thread.is_finished());
        if let Some(watcher) = tasks::spawn_watcher(self, watch) {
            watchers.insert(replica, watcher);
        }
    }

    /// One sender a peer, so that a dead one holds nobody up. What it has no room for is told again.
    fn send_to_peer(&self, at: &str, ask: Request) {
        let mut senders = self.peer_senders.lock().unwrap_or_else(|held| held.into_inner());
        if senders.len() > PEER_SENDERS_MAX {
            senders.clear();
        }
        if !senders.contains_key(at) {
            match tasks::spawn_peer_sender(at) {
                Ok(sender) => _ = senders.insert(at.to_string(), sender),
                Err(error) => return ring::info(&error.to_string()),
            }
        }
        let Some(sender) = senders.get(at) else { return };
        if matches!(sender.try_send(ask), Err(TrySendError::Disconnected(_))) {
            // Its thread panicked: the next request has another one.
            senders.remove(at);
        }
    }

    /// Does the last commands itself and returns when they are done.
    pub(crate) fn shut_down(&self) {
        let outputs = self.index_node().step(self.now(), Input::Leave);
        for output in outputs {
            match output {
                Output::Send(at, ask) => tasks::transfer_table(&at, &ask),
                Output::Command(_, command) => tasks::send_command(self, command),
                _ => {}
            }
        }
    }
}

pub(crate) fn spawn_threads(shared: &Arc<IndexService>) {
    for _ in 0..WORKER_COUNT {
        let shared = shared.clone();
        threads::start_restarting("index worker", STACK, move || {
            while let Ok(job) = shared.tasks.1.recv() {
                tasks::run_task(&shared, job);
            }
        });
    }
    let shared = shared.clone();
    threads::start_restarting("index clock", STACK, move || {
        loop {
            std::thread::sleep(TICK);
            shared.step(Input::Tick);
        }
    });
}
