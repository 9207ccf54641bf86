//! A replica's record of when weights were released: kept as entries are applied, told to the other replicas and, with
//! each pull, to the nodes.
//!
//! A replica applies a release before the operator's call is acknowledged, so its instant is never later than the
//! acknowledgement. One that was away learns the instant from the others. Only what is committed is told: a release that
//! a head took and lost has superseded nothing.
use crate::timing::{RARE_RELEASE_ANNOUNCE_INTERVAL, RECENT_RELEASE, RELEASE_ANNOUNCE_INTERVAL};
use control_state::process_instant::ProcessInstant;
use control_state::release_clock::ReleaseClock;
use control_state::state::State;
use fleet_common::rpc::ReleaseAges;
use std::collections::BTreeMap;
use std::time::Duration;

/// A process of another replica, and when it started, by this process's clock.
#[derive(Clone, Copy)]
struct PeerProcess {
    process: u64,
    started_at: ProcessInstant,
}

/// What a replica knows of releases and of the other replicas' processes.
#[derive(Clone, Default)]
pub(crate) struct ReleaseRecord {
    clock: ReleaseClock,
    /// The newest known process of each other replica.
    peer_processes: BTreeMap<u32, PeerProcess>,
    last_announced: Option<Duration>,
}

/// When this process began: its clock did then, however often its disk was opened since.
const OWN_START: Duration = Duration::ZERO;

impl ReleaseRecord {
    /// Takes over what the record of an earlier start in the same process knew, up to a committed entry.
    pub fn restore(&mut self, now: Duration, former: &ReleaseRecord, committed: u64) {
        let ages = former.clock.ages_up_to(committed, now);
        self.clock.merge(now, &ages);
        self.peer_processes.clone_from(&former.peer_processes);
    }

    /// Records the weights that a state holds as released, at the latest now. What is recorded already keeps its instant.
    pub fn record(&mut self, now: Duration, state: &State) {
        let at = ProcessInstant::at(now);
        for (model, weights) in state.current_weights() {
            self.clock.record_release(&model, &weights, state.seq, at);
        }
    }

    /// The entries after this number were dropped from the log.
    pub fn forget_after(&mut self, seq: u64) {
        self.clock.forget_after(seq);
    }

    /// What nodes are told with each pull: the releases up to a committed entry, and the latest start of any control
    /// process.
    pub fn ages_for_nodes(&self, now: Duration, committed: u64) -> ReleaseAges {
        let starts = self.peer_processes.values().map(|peer| peer.started_at);
        let latest_start = starts.fold(ProcessInstant::at(OWN_START), ProcessInstant::max);
        self.ages_with_start(now, committed, latest_start)
    }

    /// What the other replicas are told, if it is time to: the releases up to a committed entry, and the start of this
    /// process.
    pub fn announcement_due(&mut self, now: Duration, committed: u64) -> Option<ReleaseAges> {
        let newest = self.clock.newest_age(now)?;
        let interval = if newest < RECENT_RELEASE { RELEASE_ANNOUNCE_INTERVAL } else { RARE_RELEASE_ANNOUNCE_INTERVAL };
        if self.last_announced.is_some_and(|at| now.saturating_sub(at) < interval) {
            return None;
        }
        self.last_announced = Some(now);
        Some(self.ages_with_start(now, committed, ProcessInstant::at(OWN_START)))
    }

    fn ages_with_start(&self, now: Duration, committed: u64, control_start: ProcessInstant) -> ReleaseAges {
        let mut clock = self.clock.clone();
        clock.record_control_restart(control_start);
        clock.ages_up_to(committed, now)
    }

    /// Takes what another replica told. Of one start of its process the earliest instant counts: a later one is what a
    /// message took.
    pub fn on_announcement(&mut self, now: Duration, from: u32, process: u64, ages: &ReleaseAges) {
        let releases = ReleaseAges { releases: ages.releases.clone(), ..ReleaseAges::default() };
        self.clock.merge(now, &releases);
        let started_at = ProcessInstant::before(now, ages.control_restart_age_ms);
        let known = self.peer_processes.entry(from).or_insert(PeerProcess { process, started_at });
        if known.process != process {
            *known = PeerProcess { process, started_at };
        }
        known.started_at = known.started_at.min(started_at);
    }
}
