//! When weights were released, and when a control process last started, by the monotonic clock of the process that keeps
//! the record. Processes tell each other ages and never times, as their clocks have nothing in common.
use crate::process_instant::ProcessInstant;
use fleet_common::rpc::{ReleaseAges, WeightsRelease};
use std::collections::BTreeMap;
use std::time::Duration;

/// So many of the newest releases of a model are kept.
const MAX_RELEASES: usize = 16;
/// What telling an age may take: a smaller difference is no change.
const TELLING_TIME: Duration = Duration::from_millis(100);
/// The age that stands for "never" in messages.
const NEVER: u64 = u64::MAX;

/// Weights that were released for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Release {
    weights: String,
    /// The number of the log entry that released them; of a later one where the entry itself was not seen.
    seq: u64,
    at: ProcessInstant,
}

/// The releases of each model in the order of the log, and the latest known start of a control process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReleaseClock {
    releases_by_model: BTreeMap<String, Vec<Release>>,
    control_restart: Option<ProcessInstant>,
}

impl ReleaseClock {
    /// Records that these weights are the newest of a model from entry `seq` of the log on. What is recorded already keeps
    /// its instant.
    /// ```
    /// use control_state::{process_instant::ProcessInstant, release_clock::ReleaseClock};
    /// use std::time::Duration;
    /// let at = |seconds| ProcessInstant::at(Duration::from_secs(seconds));
    /// let mut clock = ReleaseClock::default();
    /// clock.record_release("m", "1", 4, at(1));
    /// clock.record_release("m", "2", 9, at(5));
    /// clock.record_release("m", "2", 9, at(8));
    /// assert_eq!(clock.superseded_at("m", "1"), Some(at(5)));
    /// ```
    pub fn record_release(&mut self, model: &str, weights: &str, seq: u64, at: ProcessInstant) {
        let releases = self.releases_by_model.entry(model.to_string()).or_default();
        if releases.last().is_none_or(|newest| newest.weights != weights) {
            merge_release(releases, Release { weights: weights.to_string(), seq, at });
        }
    }

    /// Forgets the releases of entries after `seq`: these were dropped from the log.
    pub fn forget_after(&mut self, seq: u64) {
        self.releases_by_model.values_mut().for_each(|releases| releases.retain(|release| release.seq <= seq));
    }

    /// Whether these weights are the newest that are recorded for the model.
    pub fn is_newest(&self, model: &str, weights: &str) -> bool {
        let newest = self.releases_by_model.get(model).and_then(|releases| releases.last());
        newest.is_some_and(|newest| newest.weights == weights)
    }

    /// Records that a control process started then, unless a later start is known, or the same one as precisely as
    /// telling allows: what is told again and again must not come out later each time.
    pub fn record_control_restart(&mut self, at: ProcessInstant) {
        if self.control_restart.is_none_or(|known| known.plus(TELLING_TIME) < at) {
            self.control_restart = Some(at);
        }
    }

    /// The latest start of a control process that is known.
    pub fn control_restart(&self) -> Option<ProcessInstant> {
        self.control_restart
    }

    /// Takes ages that another process told. `asked` is by the own clock and no later than the telling, so that no age
    /// comes out too small. Of two instants for one release the earlier counts.
    /// ```
    /// use control_state::{process_instant::ProcessInstant, release_clock::ReleaseClock};
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let (mut control, mut router) = (ReleaseClock::default(), ReleaseClock::default());
    /// control.record_release("m", "1", 4, ProcessInstant::at(seconds(100)));
    /// control.record_release("m", "2", 9, ProcessInstant::at(seconds(105)));
    /// router.merge(seconds(1), &control.ages(seconds(107)));
    /// assert_eq!(router.superseded_at("m", "1"), Some(ProcessInstant::before(seconds(1), 2000)));
    /// ```
    pub fn merge(&mut self, asked: Duration, ages: &ReleaseAges) {
        for told in ages.releases.items() {
            let at = ProcessInstant::before(asked, told.age_ms);
            let release = Release { weights: told.weights.to_string(), seq: told.seq, at };
            merge_release(self.releases_by_model.entry(told.model.to_string()).or_default(), release);
        }
        if ages.control_restart_age_ms != NEVER {
            self.record_control_restart(ProcessInstant::before(asked, ages.control_restart_age_ms));
        }
    }

    /// Whether merging this would change anything: a release, or an instant by more than telling takes.
    pub fn would_change(&self, asked: Duration, ages: &ReleaseAges) -> bool {
        let mut merged = self.clone();
        merged.merge(asked, ages);
        let is_restarted = merged.control_restart > self.control_restart.map(|at| at.plus(TELLING_TIME));
        let mut models = merged.releases_by_model.iter();
        is_restarted || models.any(|(model, releases)| differs(self.releases_by_model.get(model), releases))
    }

    /// All that is recorded, as ages.
    pub fn ages(&self, clock: Duration) -> ReleaseAges {
        self.ages_up_to(u64::MAX, clock)
    }

    /// What is recorded of entries up to `seq`, as ages.
    pub fn ages_up_to(&self, seq: u64, clock: Duration) -> ReleaseAges {
        let mut ages = Vec::new();
        for (model, releases) in &self.releases_by_model {
            for release in releases.iter().filter(|release| release.seq <= seq) {
                ages.push(WeightsRelease {
                    model: model.as_str().into(),
                    weights: release.weights.as_str().into(),
                    seq: release.seq,
                    age_ms: millis_up(release.at.age(clock)),
                });
            }
        }
        let control_restart_age_ms = self.control_restart.map_or(NEVER, |at| millis_up(at.age(clock)));
        ReleaseAges { releases: ages.into(), control_restart_age_ms }
    }

    /// How long ago the newest release of any model was; none where nothing was released.
    pub fn newest_age(&self, clock: Duration) -> Option<Duration> {
        let newest = self.releases_by_model.values().filter_map(|releases| releases.last());
        newest.map(|release| release.at.age(clock)).min()
    }

    /// When the newest weights of a model were released.
    pub fn newest_at(&self, model: &str) -> Option<ProcessInstant> {
        self.releases_by_model.get(model)?.last().map(|newest| newest.at)
    }

    /// When newer weights than these were first released; none where these are the newest, or the model is unknown.
    /// Weights that were never recorded are older than all that were, unless they bear a higher number.
    pub fn superseded_at(&self, model: &str, weights: &str) -> Option<ProcessInstant> {
        let releases = self.releases_by_model.get(model)?;
        if releases.iter().all(|release| is_newer(weights, &release.weights)) {
            return None;
        }
        let position = releases.iter().position(|release| release.weights == weights);
        let next = position.map_or(0, |position| position + 1);
        // A later release may be known from earlier than one before it: what follows it follows these as well.
        releases.get(next..)?.iter().map(|release| release.at).min()
    }
}

/// Whether there are other releases than before, or one is known to be earlier by more than telling takes.
fn differs(before: Option<&Vec<Release>>, now: &[Release]) -> bool {
    let before = before.map_or(&[] as &[Release], Vec::as_slice);
    let is_same =
        |one: &Release, other: &Release| one.weights == other.weights && one.at <= other.at.plus(TELLING_TIME);
    before.len() != now.len() || !before.iter().zip(now).all(|(one, other)| is_same(one, other))
}

/// Drops the oldest releases. What they superseded is still superseded since then.
fn trim(releases: &mut Vec<Release>) {
    let surplus = releases.len().saturating_sub(MAX_RELEASES);
    let dropped = releases.drain(..surplus).map(|release| release.at).min();
    if let (Some(at), Some(oldest)) = (dropped, releases.first_mut()) {
        oldest.at = oldest.at.min(at);
    }
}

/// Whether weights bear a higher number than others. Those without numbers are never newer.
/// ```
/// use control_state::release_clock::is_newer;
/// assert!(is_newer("10", "9") && !is_newer("9", "9") && !is_newer("w2", "w1"));
/// ```
pub fn is_newer(weights: &str, than: &str) -> bool {
    match (weights.parse::<u64>(), than.parse::<u64>()) {
        (Ok(weights), Ok(than)) => weights > than,
        _ => false,
    }
}

/// Inserts a release in its order. One of weights that are recorded already is the same release, unless others were
/// released in between: then they were released again, and count as new.
fn merge_release(releases: &mut Vec<Release>, told: Release) {
    if let Some(position) = releases.iter().position(|known| known.weights == told.weights) {
        if !released_between(releases, &releases[position], &told) {
            let known = &mut releases[position];
            known.at = known.at.min(told.at);
            known.seq = known.seq.min(told.seq);
            return;
        }
        if told.seq < releases[position].seq {
            return;
        }
        releases.remove(position);
    }
    let position = releases.partition_point(|known| known.seq <= told.seq);
    releases.insert(position, told);
    trim(releases);
}

/// Whether other weights were released between two entries that released the same ones.
fn released_between(releases: &[Release], one: &Release, other: &Release) -> bool {
    let (from, to) = (one.seq.min(other.seq), one.seq.max(other.seq));
    releases.iter().any(|release| release.weights != other.weights && from < release.seq && release.seq < to)
}

/// Whole milliseconds, rounded up.
fn millis_up(length: Duration) -> u64 {
    u64::try_from(length.as_micros().div_ceil(1000)).unwrap_or(NEVER - 1)
}
