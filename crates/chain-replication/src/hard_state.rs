//! What a replica must find again on its disk, beside the log: its view and what it promised and accepted.
use crate::ballot::Ballot;
use crate::view::{AcceptedView, View};
use fleet_common::List;

fleet_common::messages! {
    /// The replica's incarnation, the view it is in, its part in the decision on the next view, whether it holds all
    /// entries, and the highest ballot under which it may have asked for votes.
    pub struct HardState {
        /// Drawn when the disk was formatted.
        pub incarnation: u64,
        /// The view that this replica is in.
        pub view: View,
        /// Nothing is accepted under a lower ballot. `Ballot::NONE` until a promise is given in this view.
        pub promised_ballot: Ballot,
        /// The next view that was accepted last, if any: a list of at most one.
        pub accepted: List<AcceptedView>,
        /// Whether this replica holds all that its predecessor in the chain held when they last compared.
        pub holds_all: bool,
        /// The highest ballot that was written down for a proposal of this replica.
        pub proposed_ballot: Ballot,
    }
}

impl HardState {
    /// The state of a replica that has taken no part in a decision on a next view.
    pub fn new(incarnation: u64, view: View, holds_all: bool) -> Self {
        HardState {
            incarnation,
            view,
            promised_ballot: Ballot::NONE,
            accepted: Vec::new().into(),
            holds_all,
            proposed_ballot: Ballot::NONE,
        }
    }

    /// Whether a next view may be under way: from the first promise on the tail's lease is not extended.
    pub(crate) fn has_promised(&self) -> bool {
        self.promised_ballot != Ballot::NONE
    }
}
