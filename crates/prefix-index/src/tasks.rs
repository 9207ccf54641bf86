//! The index node's I/O: polls, fetches, commands and orders, each told back to the state machine.
use crate::replica_client::{OrderRequest, PollRequest};
use crate::service::IndexService;
use control_state::command::{Command, CommandRequest};
use crossbeam::channel::{Sender, bounded};
use fleet_common::frame::Client;
use fleet_common::ring;
use fleet_common::rpc::{Request, Response};
use fleet_common::threads::{self, SMALL_STACK, STACK, ThreadError};
use prefix_table::index_node::{Input, OrderAnswer};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A watching thread that was given nothing for so long ends.
const WATCHER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);

pub enum Task {
    Fetch { replica: String, at: String },
    Command(String, Command),
    Order(OrderRequest),
}

/// A poll of a replica, under the fence of its duty.
pub type Watch = (u64, PollRequest);

/// The thread that watches a replica, and how it is given polls.
pub struct Watcher {
    pub sender: Sender<Watch>,
    pub thread: JoinHandle<()>,
}

/// One long-lived thread for each replica that is watched: a poll waits for events, and its answer
/// brings the next. It ends when nothing was asked of it for a while.
pub fn spawn_watcher(shared: &Arc<IndexService>, first: Watch) -> Option<Watcher> {
    let (sender, receiver) = bounded::<Watch>(2);
    let _ = sender.try_send(first);
    let shared = shared.clone();
    let watch = move || {
        while let Ok((fence, ask)) = receiver.recv_timeout(WATCHER_IDLE_TIMEOUT) {
            let polled = shared.replicas.poll(&ask);
            shared.step(Input::Polled(ask.replica, fence, polled));
        }
    };
    let thread = threads::spawn_named("watch", SMALL_STACK, watch).ok()?;
    Some(Watcher { sender, thread })
}

pub fn run_task(shared: &Arc<IndexService>, job: Task) {
    match job {
        Task::Fetch { replica, at } => {
            let copy = at.parse().ok().and_then(|at| {
                match Client::new(at, TRANSFER_TIMEOUT).call(&Request::TablePull(replica.as_str().into())) {
                    Ok(Response::Table(copy)) => Some(copy),
                    _ => None,
                }
            });
            shared.step(Input::SnapshotFetched(replica, copy));
        }
        Task::Command(replica, order) => {
            send_command(shared, order);
            shared.step(Input::CommandAnswered(replica));
        }
        Task::Order(ask) => {
            // Since the order was decided the process may have stood still, and connecting may have taken a while.
            let is_owner = || shared.index_node().owned_fencing_token(&ask.replica) == Some(ask.fencing_token);
            let outcome = shared.replicas.order_while(&ask, &is_owner);
            let OrderRequest { replica, model, weights, .. } = ask;
            shared.step(Input::OrderAnswered(OrderAnswer { replica, model, weights, outcome }));
        }
    }
}

pub fn send_command(shared: &IndexService, command: Command) {
    let mut link = shared.link.lock().unwrap_or_else(|held| held.into_inner());
    let answer = CommandRequest::internal(command).to_request().and_then(|ask| link.call(&ask));
    drop(link);
    if let Err(error) = answer {
        ring::info(&error.to_string());
    }
}

pub fn transfer_table(at: &str, ask: &Request) {
    let Ok(to) = at.parse() else { return };
    let pushed = Client::new(to, TRANSFER_TIMEOUT).call::<Request, Response>(ask);
    ring::info(&format!("a table handed over to {at}: {}", pushed.is_ok()));
}

pub fn spawn_peer_sender(at: &str) -> Result<Sender<Request>, ThreadError> {
    let (sender, receiver) = bounded::<Request>(64);
    let to = at.parse();
    threads::spawn_named("sender", STACK, move || {
        let Ok(to) = to else { return };
        let mut caller = Client::new(to, Duration::from_millis(1000));
        for ask in receiver {
            if caller.call::<Request, Response>(&ask).is_err() {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    })?;
    Ok(sender)
}
