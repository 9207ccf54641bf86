//! Threads around the core's state machine: an inbox, a disk thread, and answers to whoever
//! asked. A disk that failed is opened again as soon as it can be, and the core starts over from it.
use crate::keeping::{Disk, Job};
use crate::links::Links;
use control_chain::core::{Core, Found, Input, Output, StartError};
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
/// A replica that may answer is looked for no longer than this.
const SEARCH_WAIT: Duration = Duration::from_millis(400);
/// The pause between two looks for one.
const SEARCH_PAUSE: Duration = Duration::from_millis(60);

pub(crate) enum Inbox {
    Heard(Sent),
    /// The disk was opened for the so manieth time: a core starts from what it held.
    Opened(u64, Found),
    /// Of that opening, the tickets up to this one are synced, or not.
    Synced(u64, u64, bool),
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
        self.ask_within(ask, ANSWER_WAIT)
    }

    fn ask_within(&self, ask: Ask, wait: Duration) -> Answer {
        let (sender, receiver) = bounded(1);
        let _ = self.inbox.send(Inbox::Asked(ask, sender));
        receiver.recv_timeout(wait).unwrap_or_else(|_| Answer::Refused("unknown".into()))
    }

    /// Asks here or, when sent elsewhere, there. Where no replica is found that may answer, this is said
    /// after at most 400 ms; one that was found is waited for until `wait` is over.
    /// ```no_run
    /// # fn example(driver: &control_core::drive::Driver) {
    /// use fleet_common::ask::Ask;
    /// println!("{:?}", driver.ask_fleet(Ask::Query("holds".into()), std::time::Duration::from_secs(5)));
    /// # }
    /// ```
    pub fn ask_fleet(&self, ask: Ask, wait: Duration) -> Result<Answer, Mishap> {
        let begun = Instant::now();
        let left = || wait.saturating_sub(begun.elapsed());
        let mut answer = self.ask_within(ask.clone(), wait);
        loop {
            let next = match &answer {
                Answer::Elsewhere(at) => at.as_str().parse().ok(),
                Answer::Unavailable(_) => None,
                _ => return Ok(answer),
            };
            if left().is_zero() || (next.is_none() && begun.elapsed() >= SEARCH_WAIT) {
                return Err(Mishap::at(Step::Query, "cores", "no core holds the term to answer"));
            }
            answer = match next.map(|to| Caller::new(to, left().min(ANSWER_WAIT)).ask(&ask)) {
                Some(Ok(answer)) => answer,
                Some(Err(mishap)) if mishap.step != Step::Connect => return Err(mishap),
                Some(Err(_)) | None => {
                    std::thread::sleep(SEARCH_PAUSE.min(left()));
                    self.ask_within(ask.clone(), left())
                }
            };
        }
    }
}

/// Makes a core of what its disk held.
pub type Make = Box<dyn FnMut(Duration, Found) -> Result<Core, StartError> + Send>;

struct Running {
    make: Make,
    core: Option<Core>,
    opening: u64,
    begun: Instant,
    links: Links,
    asking: HashMap<u64, Sender<Answer>>,
    token: u64,
    jobs: Sender<Job>,
    polls: Sender<u64>,
}

impl Running {
    fn input(&mut self, inbox: Inbox) -> Option<Input> {
        Some(match inbox {
            Inbox::Heard(sent) => Input::Heard(sent),
            Inbox::Opened(opening, found) => {
                self.opening = opening;
                // Whoever asked the core that was is told that nobody can say.
                self.asking.clear();
                match (self.make)(self.begun.elapsed(), found) {
                    Ok(core) => self.core = Some(core),
                    Err(e) => ring::mishap(&Mishap::at(Step::Disk, "own disk", e)),
                }
                Input::Tick
            }
            Inbox::Synced(opening, ticket, good) if opening == self.opening => Input::Synced(ticket, good),
            Inbox::Synced(..) => return None,
            Inbox::Asked(_, sender) if self.core.is_none() => {
                let _ = sender.try_send(Answer::Elsewhere("".into()));
                return None;
            }
            Inbox::Asked(ask, sender) => {
                self.token += 1;
                self.asking.insert(self.token, sender);
                Input::Asked(self.token, ask)
            }
            Inbox::Listed(number, listed) => Input::Listed(number, listed),
            Inbox::Leave => Input::Leave,
        })
    }

    fn step(&mut self, input: Input) {
        let Some(core) = self.core.as_mut() else { return };
        for output in core.step(self.begun.elapsed(), input) {
            match output {
                Output::Send(to, message) => {
                    let at = core.address(to).and_then(|c| c.chain.as_str().parse().ok());
                    if let Some(at) = at {
                        self.links.send(at, core.signed(message));
                    }
                }
                Output::Keep(ticket, records) => _ = self.jobs.send(Job { opening: self.opening, ticket, records }),
                Output::Answer(token, answer) => {
                    if let Some(sender) = self.asking.remove(&token) {
                        let _ = sender.try_send(answer);
                    }
                }
                Output::Poll(number) => _ = self.polls.try_send(number),
                Output::Note(line) => ring::note(&line),
            }
        }
    }

    fn run(mut self, receiver: Receiver<Inbox>) {
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

/// Starts the threads of a core whose disk is opened by `disk`, now or as soon as it can be.
/// ```no_run
/// # fn example(disk: control_core::keeping::Disk, make: control_core::drive::Make) {
/// let (polls, _polled) = crossbeam::channel::bounded(4);
/// let driver = control_core::drive::start(disk, make, polls);
/// # }
/// ```
pub fn start(disk: Disk, make: Make, polls: Sender<u64>) -> Driver {
    let (inbox, receiver) = unbounded();
    let (jobs, to_do) = unbounded();
    disk.run(to_do, inbox.clone());
    let running = Running {
        make,
        core: None,
        opening: 0,
        begun: Instant::now(),
        links: Links::default(),
        asking: HashMap::new(),
        token: 0,
        jobs,
        polls,
    };
    fleet_common::threads::start("core", fleet_common::threads::STACK, move || running.run(receiver));
    Driver { inbox }
}
