//! A voter's part: what it promises and accepts. Both are part of its [`HardState`]; here is only what it may forget.
use crate::ballot::Ballot;
use crate::hard_state::HardState;
use crate::message::{Accept, Accepted, Prepare, Promise};
use crate::view::AcceptedView;

/// A prepare that waits for the end of the lease that was granted to the tail.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DelayedPrepare {
    /// The proposer.
    pub from: u32,
    /// What it asked.
    pub prepare: Prepare,
}

/// What a voter remembers of a decision beside its hard state.
#[derive(Clone, Debug, Default, Hash)]
pub struct Acceptor {
    delayed: Option<DelayedPrepare>,
}

impl Acceptor {
    /// Answers a prepare later. Of several the one of the highest ballot is kept.
    pub fn delay(&mut self, from: u32, prepare: Prepare) {
        let is_higher = |held: &DelayedPrepare| held.prepare.ballot < prepare.ballot;
        if self.delayed.as_ref().is_none_or(is_higher) {
            self.delayed = Some(DelayedPrepare { from, prepare });
        }
    }

    /// Whether a prepare waits: the tail's lease is not extended, or it would wait for ever.
    pub fn is_delaying(&self) -> bool {
        self.delayed.is_some()
    }

    /// The prepare that waits.
    pub fn take_delayed(&mut self) -> Option<DelayedPrepare> {
        self.delayed.take()
    }
}

impl HardState {
    /// Whether a promise under this ballot can still be given.
    pub fn can_promise(&self, prepare: &Prepare) -> bool {
        prepare.view_number == self.view.number + 1 && prepare.ballot > self.promised_ballot
    }

    /// Promises to accept nothing under lower ballots, and tells what was accepted.
    pub fn promise(&mut self, prepare: &Prepare) -> Promise {
        self.promised_ballot = prepare.ballot;
        let accepted = self.accepted.clone();
        Promise { view_number: prepare.view_number, ballot: prepare.ballot, accepted }
    }

    /// Accepts a view under a ballot that is no lower than what was promised.
    pub fn accept(&mut self, accept: Accept) -> Accepted {
        let Accept { view_number, ballot, view } = accept;
        self.promised_ballot = ballot;
        self.accepted = vec![AcceptedView { ballot, view }].into();
        Accepted { view_number, ballot }
    }

    /// A newer view holds: its successor is a decision of its own.
    pub fn forget_votes(&mut self) {
        self.promised_ballot = Ballot::NONE;
        self.accepted = Vec::new().into();
    }
}
