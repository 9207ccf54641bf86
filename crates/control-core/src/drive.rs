//! Threads around the core's state machine: an inbox, a disk thread that syncs many tickets at once,
//! and answers to whoever asked.
use crate::disk::Store;
use crate::links::Links;
use control_chain::core::{Core, Input, Output, Record};
use control_chain::lister::Listed;
use control_chain::message::Sent;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use fleet_common::ask::{Answer, Ask};
use fleet_common::frame::Caller;
use fleet_common::{Mishap, Step, ring};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);
const ANSWER_WAIT: Duration = Duration::from_secs(4);

enum Inbox {
    Heard(Sent),
    Synced(u64, bool),
    Asked(Ask, Sender<Answer>),
    Listed(u64, Listed),
    Leave,
}

/// The way in to a running core.
#[derive(Clone)]
pub struct Driver {
    inbox: Sender<Inbox>,
}

impl Driver {
    /// What another core said.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// use control_chain::{message::{Chain, Sent}, view::View};
    /// driver.heard(Sent { from: 2, incarnation: 1, message: Chain::ViewIs(View::outside(vec![])) });
    /// # }
    /// ```
    pub fn heard(&self, sent: Sent) {
        let _ = self.inbox.send(Inbox::Heard(sent));
    }

    /// What the platform listed when it was asked under this number.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// driver.listed(1, Err("the platform is down".into()));
    /// # }
    /// ```
    pub fn listed(&self, number: u64, listed: Listed) {
        let _ = self.inbox.send(Inbox::Listed(number, listed));
    }

    /// Has this core leave the chain.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// driver.leave();
    /// # }
    /// ```
    pub fn leave(&self) {
        let _ = self.inbox.send(Inbox::Leave);
    }

    /// This core's place in the view it knows: head, chain N, tail, spare or outside.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// assert_eq!(driver.place().as_deref(), Some("spare"));
    /// # }
    /// ```
    pub fn place(&self) -> Option<String> {
        use sonic_rs::JsonValueTrait;
        match self.ask(Ask::Query("self".into())) {
            Answer::Json(text) => Some(sonic_rs::get(text.as_slice(), ["place"]).ok()?.as_str()?.to_string()),
            _ => None,
        }
    }

    /// Whether this core is in the chain of the view it knows.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// assert!(driver.in_chain());
    /// # }
    /// ```
    pub fn in_chain(&self) -> bool {
        self.place().is_some_and(|place| place != "spare" && place != "outside")
    }

    /// Asks this core. `Elsewhere` names the core that would answer, if it is known.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// use fleet_common::ask::Ask;
    /// println!("{:?}", driver.ask(Ask::Query("self".into())));
    /// # }
    /// ```
    pub fn ask(&self, ask: Ask) -> Answer {
        let (sender, receiver) = bounded(1);
        let _ = self.inbox.send(Inbox::Asked(ask, sender));
        receiver.recv_timeout(ANSWER_WAIT).unwrap_or_else(|_| Answer::Refused("unknown".into()))
    }

    /// Asks here or, when sent elsewhere, there.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// use fleet_common::ask::Ask;
    /// println!("{:?}", driver.ask_fleet(Ask::Query("holds".into()), std::time::Duration::from_secs(5)));
    /// # }
    /// ```
    pub fn ask_fleet(&self, ask: Ask, wait: Duration) -> Result<Answer, Mishap> {
        let until = Instant::now() + wait;
        let mut answer = self.ask(ask.clone());
        loop {
            let Answer::Elsewhere(at) = &answer else {
                return Ok(answer);
            };
            if Instant::now() >= until {
                return Err(Mishap::at(Step::Query, "cores", "no core holds the term to answer"));
            }
            answer = match at.as_str().parse() {
                Ok(to) => match Caller::new(to, ANSWER_WAIT).ask(&ask) {
                    Ok(answer) => answer,
                    Err(mishap) if mishap.step == Step::Connect => {
                        std::thread::sleep(Duration::from_millis(60));
                        self.ask(ask.clone())
                    }
                    Err(mishap) => return Err(mishap),
                },
                Err(_) => {
                    std::thread::sleep(Duration::from_millis(60));
                    self.ask(ask.clone())
                }
            };
        }
    }
}

fn disk_thread(mut store: impl Store + 'static, jobs: Receiver<(u64, Vec<Record>)>, inbox: Sender<Inbox>) {
    let mut failed = false;
    while let Ok((mut ticket, records)) = jobs.recv() {
        let mut kept = if failed { Err(std::io::ErrorKind::Other.into()) } else { store.keep(&records) };
        while kept.is_ok()
            && let Ok((next, records)) = jobs.try_recv()
        {
            kept = store.keep(&records);
            ticket = next;
        }
        let synced = kept.and_then(|_| store.sync());
        if let (Err(e), false) = (&synced, failed) {
            failed = true;
            ring::mishap(&Mishap::at(Step::Disk, "own disk", e));
        }
        if inbox.send(Inbox::Synced(ticket, synced.is_ok())).is_err() {
            return;
        }
    }
}

pub(crate) fn start(mut core: Core, store: impl Store + 'static, polls: Sender<u64>) -> Driver {
    let (inbox, receiver) = unbounded();
    let (jobs, job_receiver) = unbounded();
    let for_disk = inbox.clone();
    std::thread::spawn(move || disk_thread(store, job_receiver, for_disk));
    std::thread::spawn(move || {
        let begun = Instant::now();
        let mut links = Links::default();
        let mut asking: HashMap<u64, Sender<Answer>> = HashMap::new();
        let mut token = 0u64;
        let mut ticked = Instant::now();
        loop {
            let wait = TICK.saturating_sub(ticked.elapsed());
            let input = match receiver.recv_timeout(wait) {
                Ok(Inbox::Heard(sent)) => Input::Heard(sent),
                Ok(Inbox::Synced(ticket, good)) => Input::Synced(ticket, good),
                Ok(Inbox::Asked(ask, sender)) => {
                    token += 1;
                    asking.insert(token, sender);
                    Input::Asked(token, ask)
                }
                Ok(Inbox::Listed(number, listed)) => Input::Listed(number, listed),
                Ok(Inbox::Leave) => Input::Leave,
                Err(RecvTimeoutError::Timeout) => Input::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut outputs = core.step(begun.elapsed(), input);
            if ticked.elapsed() >= TICK {
                ticked = Instant::now();
                outputs.extend(core.step(begun.elapsed(), Input::Tick));
            }
            for output in outputs {
                match output {
                    Output::Send(to, message) => {
                        let at = core.address(to).and_then(|c| c.chain.as_str().parse().ok());
                        if let Some(at) = at {
                            links.send(at, core.signed(message));
                        }
                    }
                    Output::Keep(ticket, records) => _ = jobs.send((ticket, records)),
                    Output::Answer(token, answer) => {
                        if let Some(sender) = asking.remove(&token) {
                            let _ = sender.try_send(answer);
                        }
                    }
                    Output::Poll(number) => _ = polls.try_send(number),
                    Output::Note(line) => ring::note(&line),
                }
            }
        }
    });
    Driver { inbox }
}
