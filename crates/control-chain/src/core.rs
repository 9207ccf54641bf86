//! A core machine as a state machine: (now, input) gives outputs. Threads or a simulator drive it.
use crate::background::BackgroundWork;
use crate::catch_up::FollowerProgress;
use crate::command::{Envelope, Outcome};
use crate::log::{Entry, Position, ReplicationLog, Snapshot};
use crate::message::{Chain, Sent};
use crate::requests::{Parked, Seen};
use crate::snapshots::{SnapshotReceiver, SnapshotSender};
use crate::state::State;
use crate::steps::{After, Heard};
pub use crate::steps::{Found, Input, Output, Record};
use crate::view::{CoreAt, Member, Meta, View};
use crate::view_change::Proposal;
use fleet_common::ask::Vector;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A sign of life is sent this often.
pub const BEAT: Duration = Duration::from_millis(150);
/// A core unheard for so long is taken for lost.
pub const SUSPECT: Duration = Duration::from_millis(900);
/// How long a vote keeps out of the next view for the tail's sake.
pub const TAIL_LEASE: Duration = Duration::from_millis(1000);
/// A disk that has not synced for so long is sick.
pub const STALL: Duration = Duration::from_millis(1200);
/// One just started proposes nothing for so long.
pub const SETTLE: Duration = Duration::from_millis(1200);
/// Entries after a snapshot before another is made.
pub const SNAPSHOT_EVERY: usize = 2048;

/// What was forgotten at a restart counts for this much longer than a lease lasts.
const RESTART_MARGIN: Duration = Duration::from_millis(100);

/// Why a replica cannot start from what its disk held.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    #[error("the snapshot at {0} cannot be read")]
    Snapshot(u64),
    #[error("entry {0} is missing")]
    Missing(u64),
    #[error("entry {0} cannot be read")]
    Entry(u64),
    #[error("the empty state cannot be written: {0}")]
    Empty(String),
}

/// The log and the state that a snapshot and the entries after it stand for.
fn restore(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Result<(ReplicationLog, State), StartError> {
    let (snapshot, mut state) = match snapshot {
        Some(snapshot) => match State::unpack(snapshot.state.as_slice()) {
            Some(state) if state.seq == snapshot.at.seq => (snapshot, state),
            _ => return Err(StartError::Snapshot(snapshot.at.seq)),
        },
        None => {
            let empty = State::default().pack().map_err(|error| StartError::Empty(error.to_string()))?;
            (Snapshot { at: Position::START, state: empty.into() }, State::default())
        }
    };
    let mut log = ReplicationLog::after(snapshot);
    for entry in entries {
        let next = log.last().seq + 1;
        if entry.at.seq < next {
            continue;
        }
        if entry.at.seq > next {
            return Err(StartError::Missing(next));
        }
        let envelope = Envelope::unpack(entry.command.as_slice()).ok_or(StartError::Entry(next))?;
        state.apply(&envelope);
        log.append(entry);
    }
    Ok((log, state))
}

/// One core machine.
#[derive(Clone)]
pub struct Core {
    pub(crate) me: Member,
    pub(crate) now: Duration,
    pub(crate) meta: Meta,
    /// The state after the entries applied here: the synced ones, or at the head all.
    pub(crate) state: State,
    pub(crate) log: ReplicationLog,
    /// The last entry that is on the own disk.
    pub(crate) synced: Position,
    /// Up to here all members of the chain have synced.
    pub(crate) committed: u64,
    /// Whether the disk tells what `meta.full` does.
    pub(crate) full_is_synced: bool,
    pub(crate) progress: BTreeMap<u32, FollowerProgress>,
    pub(crate) snapshot_sender: SnapshotSender,
    pub(crate) snapshot_receiver: SnapshotReceiver,
    /// A snapshot that waits until all that it holds is committed.
    pub(crate) prepared_snapshot: Option<Snapshot>,
    pub(crate) writing_snapshot: bool,
    pub(crate) sick: bool,
    pub(crate) leaving: bool,
    pub(crate) stall_told: bool,
    pub(crate) heard: BTreeMap<u32, Heard>,
    pub(crate) tickets: VecDeque<(u64, Duration, After)>,
    pub(crate) next_ticket: u64,
    pub(crate) waiting: BTreeMap<u64, Vec<(u64, Outcome)>>,
    pub(crate) grants: BTreeMap<u32, Duration>,
    pub(crate) granted_until: Duration,
    /// The process of the tail that was granted the lease last.
    pub(crate) granted_to: Option<u64>,
    /// Until then a grant that an earlier process gave and forgot may hold.
    pub(crate) forgotten_grants_until: Duration,
    /// Tells this process from earlier ones of the same replica.
    pub(crate) process: u64,
    pub(crate) held_prepare: Option<(u32, crate::message::Prepare)>,
    pub(crate) proposal: Option<Proposal>,
    pub(crate) ballot_round: u64,
    pub(crate) trouble_since: Option<Duration>,
    pub(crate) prepare_heard: Option<Duration>,
    pub(crate) wanted_cores: Option<(u64, Vec<CoreAt>)>,
    pub(crate) parked: Vec<Parked>,
    pub(crate) seen: BTreeMap<String, Seen>,
    pub(crate) since: BTreeMap<usize, (u64, Duration)>,
    /// Since when the present view holds here.
    pub(crate) view_since: Duration,
    /// Lapses applied here, and since when all of them are known.
    pub(crate) lapses: BTreeMap<String, Duration>,
    pub(crate) lapses_known: Duration,
    pub(crate) lapse_asked: Duration,
    pub(crate) last_beat: Option<Duration>,
    pub(crate) begun: Duration,
    pub(crate) seeds: Vec<CoreAt>,
    /// Where this core is, if cores make themselves known, and who else did so lately.
    pub(crate) own: Option<CoreAt>,
    pub(crate) unlisted: BTreeMap<u32, (Duration, CoreAt)>,
    pub(crate) beats: u64,
    pub(crate) background: BackgroundWork,
    pub(crate) snapshot_every: usize,
    pub(crate) out: Vec<Output>,
}

impl Core {
    /// Starts from what the disk held. Without a meta record the core is outside every view and
    /// waits to be let in. What cannot be read is damage, not emptiness.
    /// ```
    /// use control_chain::{core::{Core, Found}, view::Member};
    /// let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert!(core.view().n == 0);
    /// ```
    pub fn start(now: Duration, me: Member, cores: Vec<CoreAt>, found: Found) -> Result<Self, StartError> {
        let (log, state) = restore(found.snapshot, found.entries)?;
        let outside = Meta {
            incarnation: me.incarnation,
            view: View::outside(cores.clone()),
            promised: 0,
            accepted: vec![].into(),
            full: 0,
            proposed: 0,
        };
        let meta = found.meta.unwrap_or(outside);
        // Whatever lease this replica granted before it stopped must have run out first.
        let forgotten_grants_until = now + TAIL_LEASE + RESTART_MARGIN;
        Ok(Core {
            me,
            now,
            full_is_synced: meta.full == 1,
            meta,
            state,
            synced: log.last(),
            committed: log.snapshot().at.seq,
            log,
            progress: BTreeMap::new(),
            snapshot_sender: SnapshotSender::default(),
            snapshot_receiver: SnapshotReceiver::default(),
            prepared_snapshot: None,
            writing_snapshot: false,
            sick: false,
            leaving: false,
            stall_told: false,
            heard: BTreeMap::new(),
            tickets: VecDeque::new(),
            next_ticket: 1,
            waiting: BTreeMap::new(),
            grants: BTreeMap::new(),
            granted_until: forgotten_grants_until,
            granted_to: None,
            forgotten_grants_until,
            process: 0,
            held_prepare: None,
            proposal: None,
            ballot_round: 0,
            trouble_since: None,
            prepare_heard: None,
            wanted_cores: None,
            parked: Vec::new(),
            seen: BTreeMap::new(),
            since: BTreeMap::new(),
            view_since: now,
            lapses: BTreeMap::new(),
            lapses_known: now,
            lapse_asked: now,
            last_beat: None,
            begun: now,
            seeds: cores,
            own: None,
            unlisted: BTreeMap::new(),
            beats: 0,
            background: BackgroundWork::default(),
            snapshot_every: SNAPSHOT_EVERY,
            out: Vec::new(),
        })
    }

    /// As this process of the replica, told from its earlier ones by a number of its own.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// let _core = core.in_process(77);
    /// ```
    pub fn in_process(mut self, process: u64) -> Self {
        self.process = process;
        self
    }

    /// With another number of entries between snapshots.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// let _core = core.snapshot_every(100);
    /// ```
    pub fn snapshot_every(mut self, entries: usize) -> Self {
        self.snapshot_every = entries;
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
            Some(_) => self.is_full(),
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

    /// Who this replica is in views.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert_eq!(core.member().incarnation, 9);
    /// ```
    pub fn member(&self) -> Member {
        self.me.clone()
    }

    /// The replication log as this replica has it.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let core = Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// assert_eq!(core.log().last().seq, 0);
    /// ```
    pub fn log(&self) -> &ReplicationLog {
        &self.log
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
                self.leaving = true;
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
