//! The index node's state machine behind one short lock, and the threads that do what it says: polls of
//! each replica, asks of colleagues and orders by a pool, news by a sender for each colleague.
//! Lock order: the keeper's lock is never held while anything else is waited for or locked.
use crate::doing::{self, Job};
use crossbeam::channel::{Receiver, Sender, unbounded};
use fleet_common::ask::{Answer, Ask, Pulled, Vector};
use fleet_common::node::{Identity, Link, Seeds};
use fleet_common::ring;
use prefix_table::keeper::{Input, Keeper, Output};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(50);
const WORKERS: usize = 6;

pub struct Shared {
    begun: Instant,
    keeper: Mutex<Keeper>,
    pub link: Mutex<Link>,
    jobs: (Sender<Job>, Receiver<Job>),
    senders: Mutex<HashMap<String, Sender<Ask>>>,
}

impl Shared {
    pub fn new(me: Identity, seeds: Seeds) -> Self {
        Shared {
            begun: Instant::now(),
            link: Mutex::new(Link::new(me.clone(), seeds)),
            keeper: Mutex::new(Keeper::new(me)),
            jobs: unbounded(),
            senders: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// The state machine, its clock set.
    pub fn keeper(&self) -> MutexGuard<'_, Keeper> {
        let mut keeper = self.keeper.lock().unwrap_or_else(|held| held.into_inner());
        keeper.at(self.now());
        keeper
    }

    pub fn answer(&self, ask: Ask) -> Answer {
        self.keeper().answer(self.now(), ask)
    }

    /// Takes what a pull brought; gives the versions now in use.
    pub fn take(&self, sent: Instant, pulled: Pulled) -> Vector {
        let sent = sent.saturating_duration_since(self.begun);
        self.step(Input::Pulled(sent, pulled));
        self.keeper().vector()
    }

    /// Steps the machine and has done what it says.
    pub fn step(&self, input: Input) {
        let outputs = self.keeper().step(self.now(), input);
        for output in outputs {
            match output {
                Output::Note(line) => ring::note(&line),
                Output::Tell(at, ask) => self.tell(&at, ask),
                Output::Poll { replica, at, fence, incarnation, from } => {
                    self.job(Job::Poll { replica, at, fence, incarnation, from })
                }
                Output::Fetch { replica, at } => self.job(Job::Fetch { replica, at }),
                Output::Command(replica, command) => self.job(Job::Command(replica, command)),
                Output::Order { replica, at, fence, weights } => self.job(Job::Order { replica, at, fence, weights }),
            }
        }
    }

    fn job(&self, job: Job) {
        let _ = self.jobs.0.send(job);
    }

    /// One sender a colleague, so that a dead one holds nobody up. What it has no room for is told again.
    fn tell(&self, at: &str, ask: Ask) {
        let mut senders = self.senders.lock().unwrap_or_else(|held| held.into_inner());
        if senders.len() > 256 {
            senders.clear();
        }
        let sender = senders.entry(at.to_string()).or_insert_with(|| doing::sender(at));
        let _ = sender.try_send(ask);
    }

    /// Does the last commands itself and returns when they are done.
    pub fn leave(&self) {
        let outputs = self.keeper().step(self.now(), Input::Leave);
        for output in outputs {
            match output {
                Output::Tell(at, ask) => doing::hand_over(&at, &ask),
                Output::Command(_, command) => doing::command(self, command),
                _ => {}
            }
        }
    }
}

pub fn start(shared: &Arc<Shared>) {
    for _ in 0..WORKERS {
        let shared = shared.clone();
        std::thread::spawn(move || {
            while let Ok(job) = shared.jobs.1.recv() {
                doing::job(&shared, job);
            }
        });
    }
    let shared = shared.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(TICK);
            shared.step(Input::Tick);
        }
    });
}
