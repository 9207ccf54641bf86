//! A core machine as a state machine: (now, input) gives outputs. Threads or a simulator drive it.
use crate::background::Chores;
use crate::command::{Envelope, Outcome};
use crate::message::{Chain, Sent};
use crate::requests::{Parked, Seen};
use crate::state::State;
use crate::steps::{After, Heard};
pub use crate::steps::{Found, Input, Output, Record};
use crate::view::{CoreAt, Member, Meta, View};
use crate::view_change::Proposal;
use fleet_common::Bytes;
use fleet_common::ask::Vector;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A sign of life is sent this often.
pub const BEAT: Duration = Duration::from_millis(150);
/// A core unheard for so long is taken for lost.
pub const SUSPECT: Duration = Duration::from_millis(900);
/// How long a vote keeps out of the next view for the tail's sake.
pub const TAIL_TERM: Duration = Duration::from_millis(1000);
/// A disk that has not synced for so long is sick.
pub const STALL: Duration = Duration::from_millis(1200);
/// One just started proposes nothing for so long.
pub const SETTLE: Duration = Duration::from_millis(1200);
/// Entries kept beyond the last capture before another is made.
pub const CAPTURE_EVERY: usize = 2048;

/// One core machine.
#[derive(Clone)]
pub struct Core {
    pub(crate) me: Member,
    pub(crate) now: Duration,
    pub(crate) meta: Meta,
    pub(crate) state: State,
    pub(crate) log: VecDeque<(u64, Bytes)>,
    pub(crate) capture: (u64, Bytes),
    pub(crate) last: u64,
    pub(crate) synced: u64,
    pub(crate) committed: u64,
    pub(crate) sent_on: u64,
    pub(crate) sick: bool,
    pub(crate) leaving: bool,
    pub(crate) stall_told: bool,
    pub(crate) heard: BTreeMap<u32, Heard>,
    pub(crate) tickets: VecDeque<(u64, Duration, After)>,
    pub(crate) next_ticket: u64,
    pub(crate) waiting: BTreeMap<u64, Vec<(u64, Outcome)>>,
    pub(crate) grants: BTreeMap<u32, Duration>,
    pub(crate) granted_until: Duration,
    pub(crate) held_prepare: Option<(u32, crate::message::Prepare)>,
    pub(crate) proposal: Option<Proposal>,
    pub(crate) ballot_round: u64,
    pub(crate) trouble_since: Option<Duration>,
    pub(crate) prepare_heard: Option<Duration>,
    pub(crate) wanted_cores: Option<(u64, Vec<CoreAt>)>,
    pub(crate) parked: Vec<Parked>,
    pub(crate) seen: BTreeMap<String, Seen>,
    pub(crate) since: BTreeMap<usize, (u64, Duration)>,
    pub(crate) tail_since: Duration,
    /// Lapses applied here, and since when all of them are known.
    pub(crate) lapses: BTreeMap<String, Duration>,
    pub(crate) lapses_known: Duration,
    pub(crate) lapse_asked: Duration,
    pub(crate) last_beat: Option<Duration>,
    pub(crate) begun: Duration,
    pub(crate) seeds: Vec<CoreAt>,
    /// Where this core is, if cores make themselves known, and who else did so lately.
    pub(crate) own: Option<CoreAt>,
    pub(crate) strangers: BTreeMap<u32, (Duration, CoreAt)>,
    pub(crate) beats: u64,
    pub(crate) capturing: bool,
    pub(crate) chores: Chores,
    pub(crate) capture_every: usize,
    pub(crate) out: Vec<Output>,
}

impl Core {
    /// Starts from what the disk held. Without a meta record the core is outside every view and
    /// waits to be let in. A capture that cannot be read is damage, not emptiness.
    /// ```
    /// use control_chain::{core::{Core, Found}, view::Member};
    /// let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert!(core.view().n == 0);
    /// ```
    pub fn start(now: Duration, me: Member, cores: Vec<CoreAt>, found: Found) -> Result<Self, String> {
        let (capture, mut state) = match found.capture {
            Some((seq, bytes)) => match State::unpack(&bytes) {
                Some(state) if state.seq == seq => ((seq, bytes.into()), state),
                _ => return Err(format!("the capture at {seq} cannot be read")),
            },
            None => ((0, State::default().pack().into()), State::default()),
        };
        let mut last = capture.0;
        let mut log = VecDeque::new();
        for (seq, entry) in found.entries.into_iter().filter(|(seq, _)| *seq > capture.0) {
            if seq != last + 1 {
                return Err(format!("entry {} is missing", last + 1));
            }
            let Some(envelope) = Envelope::unpack(entry.as_slice()) else {
                return Err(format!("entry {seq} cannot be read"));
            };
            state.apply(&envelope);
            log.push_back((seq, entry));
            last = seq;
        }
        let outside = Meta {
            incarnation: me.incarnation,
            view: View::outside(cores.clone()),
            promised: 0,
            accepted: vec![].into(),
            full: 0,
        };
        let meta = found.meta.unwrap_or(outside);
        Ok(Core {
            me,
            now,
            meta,
            state,
            log,
            capture,
            last,
            synced: last,
            committed: 0,
            sent_on: last,
            sick: false,
            leaving: false,
            stall_told: false,
            heard: BTreeMap::new(),
            tickets: VecDeque::new(),
            next_ticket: 1,
            waiting: BTreeMap::new(),
            grants: BTreeMap::new(),
            // Whatever term this core granted before it stopped must have run out first.
            granted_until: now + TAIL_TERM + Duration::from_millis(100),
            held_prepare: None,
            proposal: None,
            ballot_round: 0,
            trouble_since: None,
            prepare_heard: None,
            wanted_cores: None,
            parked: Vec::new(),
            seen: BTreeMap::new(),
            since: BTreeMap::new(),
            tail_since: now,
            lapses: BTreeMap::new(),
            lapses_known: now,
            lapse_asked: now,
            last_beat: None,
            begun: now,
            seeds: cores,
            own: None,
            strangers: BTreeMap::new(),
            beats: 0,
            capturing: false,
            chores: Chores::default(),
            capture_every: CAPTURE_EVERY,
            out: Vec::new(),
        })
    }

    /// With another number of entries kept between captures.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// let _core = core.capture_every(100);
    /// ```
    pub fn capture_every(mut self, entries: usize) -> Self {
        self.capture_every = entries;
        self
    }

    /// The view this core is in.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert_eq!(core.view().n, 0);
    /// ```
    pub fn view(&self) -> &View {
        &self.meta.view
    }

    /// Whether this core has all that its place asks for: a chain member is full, a spare is up to date.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert!(!core.holds_all_of_its_place());
    /// ```
    pub fn holds_all_of_its_place(&self) -> bool {
        match self.place() {
            Some(_) => self.meta.full == 1,
            None => self.meta.view.holds(&self.me),
        }
    }

    /// The state as this core has it, with how far all of the chain has synced it.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert_eq!((core.state().0.seq, core.state().1), (0, 0));
    /// ```
    pub fn state(&self) -> (&State, u64) {
        (&self.state, self.committed)
    }

    /// The versions of all sources as this core has them.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert_eq!(core.vector(), [0; 8]);
    /// ```
    pub fn vector(&self) -> Vector {
        let mut vector = self.state.versions;
        vector[fleet_common::ask::CORES] = self.meta.view.n;
        vector
    }

    /// One step.
    /// ```
    /// # use control_chain::{core::{Core, Found, Input}, view::Member};
    /// # let mut core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert!(core.step(std::time::Duration::from_millis(1), Input::Tick).is_empty());
    /// ```
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Heard(sent) => self.on_heard(sent),
            Input::Synced(ticket, true) => self.on_synced(ticket),
            Input::Synced(_, false) => self.on_disk_failed(),
            Input::Leave => {
                (self.sick, self.leaving) = (true, true);
                self.note("warned: leaving the chain".into());
                self.beat_all();
            }
            Input::Listed(number, listed) => self.on_listed(number, listed),
            Input::Asked(token, ask) => self.on_asked(token, ask),
        }
        std::mem::take(&mut self.out)
    }

    /// A message with this core's name on it.
    /// ```
    /// # use control_chain::{core::{Core, Found}, message::Chain, view::{Member, View}};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert_eq!(core.signed(Chain::ViewIs(View::outside(vec![]))).from, 1);
    /// ```
    pub fn signed(&self, message: Chain) -> Sent {
        Sent { from: self.me.id, incarnation: self.me.incarnation, message }
    }
}
