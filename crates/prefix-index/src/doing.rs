//! The index node's I/O: polls, fetches, commands and orders, each told back to the state machine.
use crate::shared::Shared;
use control_chain::command::{Command, Envelope};
use crossbeam::channel::{Sender, bounded};
use fleet_common::ask::{Answer, Ask};
use fleet_common::frame::Caller;
use fleet_common::{http_out, json, ring};
use prefix_table::event::Batch;
use prefix_table::keeper::Input;
use std::sync::Arc;
use std::time::Duration;

const POLL_MS: u64 = 200;
const POLL_WAIT: Duration = Duration::from_millis(1500);
const ORDER_WAIT: Duration = Duration::from_millis(800);
const COPY_WAIT: Duration = Duration::from_millis(1500);

pub enum Job {
    Poll { replica: String, at: String, fence: u64, incarnation: String, from: u64 },
    Fetch { replica: String, at: String },
    Command(String, Command),
    Order { replica: String, at: String, fence: u64, weights: String },
}

pub fn job(shared: &Arc<Shared>, job: Job) {
    match job {
        Job::Poll { replica, at, fence, incarnation, from } => {
            // A long poll waits, so it has a thread of its own.
            let shared = shared.clone();
            std::thread::spawn(move || {
                let polled = poll(&at, &incarnation, from);
                shared.step(Input::Polled(replica, fence, polled));
            });
        }
        Job::Fetch { replica, at } => {
            let copy = at.parse().ok().and_then(|at| {
                match Caller::new(at, COPY_WAIT).ask(&Ask::TablePull(replica.as_str().into())) {
                    Ok(Answer::Table(copy)) => Some(copy),
                    _ => None,
                }
            });
            shared.step(Input::Copied(replica, copy));
        }
        Job::Command(replica, order) => {
            command(shared, order);
            shared.step(Input::Commanded(replica));
        }
        Job::Order { replica, at, fence, weights } => {
            let index = json::quote(&shared.keeper().me.name);
            let body = format!(
                "{{\"fence\":{fence},\"index\":{index},\"order\":\"load_weights\",\"weights\":{}}}",
                json::quote(&weights)
            );
            let sent = http_out::json("POST", &format!("http://{at}/orders"), &body, ORDER_WAIT);
            shared.step(Input::Ordered(replica, sent.map(|_| ()).map_err(|mishap| mishap.to_string())));
        }
    }
}

fn poll(at: &str, incarnation: &str, from: u64) -> Result<Batch, String> {
    let url = format!("http://{at}/events?from={from}&incarnation={incarnation}&wait_ms={POLL_MS}");
    let text = http_out::json("GET", &url, "", POLL_WAIT).map_err(|mishap| mishap.to_string())?;
    sonic_rs::from_str(&text).map_err(|e| format!("events cannot be read: {e}"))
}

pub fn command(shared: &Shared, command: Command) {
    let ask = Ask::Command(Envelope::bare(command).pack().into());
    let answer = shared.link.lock().unwrap_or_else(|held| held.into_inner()).ask(&ask);
    if let Err(mishap) = answer {
        ring::note(&mishap.to_string());
    }
}

pub fn hand_over(at: &str, ask: &Ask) {
    let Ok(to) = at.parse() else { return };
    let pushed = Caller::new(to, COPY_WAIT).ask::<Ask, Answer>(ask);
    ring::note(&format!("a table handed over to {at}: {}", pushed.is_ok()));
}

pub fn sender(at: &str) -> Sender<Ask> {
    let (sender, receiver) = bounded::<Ask>(64);
    let to = at.parse();
    std::thread::spawn(move || {
        let Ok(to) = to else { return };
        let mut caller = Caller::new(to, Duration::from_millis(1000));
        for ask in receiver {
            if caller.ask::<Ask, Answer>(&ask).is_err() {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    });
    sender
}
