//! The control replica's record of when weights were named: kept as entries are applied, told to the other replicas
//! and, with each pull, to the nodes.
//!
//! A replica applies a naming before the operator's call is acknowledged, so its moment is never later than the
//! acknowledgement. One that was away learns the moment from the others.
use crate::command::Command;
use crate::core::Core;
use crate::message::Chain;
use crate::naming_clock::Moment;
use crate::state::State;
use std::time::Duration;

/// The other replicas are told this often, while a naming is recent.
const TELL_EVERY: Duration = Duration::from_millis(600);
/// A naming older than this is of no interest to anybody.
const RECENT: Duration = Duration::from_secs(120);

impl Core {
    /// Begins the record. The process began when its clock did, however often its disk was opened since. What the disk
    /// holds may have been named at any time: here it counts from now, until another replica tells of an earlier moment.
    pub(crate) fn begin_naming_clock(&mut self) {
        self.namings.note_control_restart(Moment::at(Duration::ZERO));
        self.note_named_weights();
    }

    /// As a replica that starts over in the process of `former`, whose disk was opened again: what that one knew of
    /// namings is still known.
    /// ```
    /// # use control_chain::{core::{Core, Found}, view::Member};
    /// # let start = || Core::start(Default::default(), Member { id: 1, incarnation: 9 }, vec![], Found::default()).unwrap();
    /// let (former, core) = (start(), start());
    /// let _core = core.starting_over(&former);
    /// ```
    pub fn starting_over(mut self, former: &Core) -> Self {
        let told = former.namings.ages(self.now);
        self.namings.merge(self.now, &told);
        self
    }

    /// Notes what a command named that was just applied.
    pub(crate) fn note_namings(&mut self, command: &Command) {
        let may_name = matches!(
            command,
            Command::NameWeights { .. }
                | Command::Configure { .. }
                | Command::Blueprint { .. }
                | Command::Weights { .. }
                | Command::Back
        );
        if may_name {
            self.note_named_weights();
        }
    }

    /// Takes on a state that was not reached by applying entries here.
    pub(crate) fn replace_state(&mut self, state: State) {
        self.state = state;
        self.note_named_weights();
    }

    fn note_named_weights(&mut self) {
        let (seq, at) = (self.state.seq, Moment::at(self.now));
        for (model, weights) in self.state.named_weights() {
            self.namings.note(&model, &weights, seq, at);
        }
    }

    /// Tells the other replicas how long ago weights were named.
    pub(crate) fn tell_naming_ages(&mut self) {
        let recent = self.namings.newest_age(self.now).is_some_and(|age| age < RECENT);
        let due = self.namings_told.is_none_or(|at| self.now.saturating_sub(at) >= TELL_EVERY);
        if !recent || !due {
            return;
        }
        self.namings_told = Some(self.now);
        let ages = self.namings.ages(self.now);
        for to in self.known() {
            self.send(to, Chain::NamingAges(ages.clone()));
        }
    }
}
