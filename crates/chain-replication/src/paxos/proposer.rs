//! A proposer's part: when it proposes, and what it may ask the voters to accept.
use crate::ballot::Ballot;
use crate::fingerprint::age;
use crate::message::{Accept, Accepted, Promise};
use crate::timing::{PROPOSAL_RETRY, PROPOSAL_STAGGER, STARTUP_GRACE, VIEW_SETTLE_TIME};
use crate::view::{AcceptedView, View};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The longest delay of a proposer: beyond it ages make no difference.
const LONGEST_DELAY: Duration = Duration::from_secs(4);

/// An attempt to have a next view chosen.
#[derive(Clone, Debug)]
struct Proposal {
    view_number: u64,
    ballot: Ballot,
    /// What is proposed where no voter has accepted anything.
    desired: View,
    /// By voter: that it promised, with what it had accepted before.
    promises: BTreeMap<u32, Option<AcceptedView>>,
    /// What the voters were asked to accept, once a majority had promised.
    requested: Option<View>,
    accepted_by: BTreeSet<u32>,
    /// When it started, or when a voter last answered it for the first time in a phase.
    last_progress_at: Duration,
}

/// Where a replica stands among those that may propose.
#[derive(Clone, Copy, Debug)]
pub struct ProposalTurn {
    /// How many voters ahead of it in the list are alive.
    pub alive_ahead: u32,
    /// Its position in the list of voters.
    pub position: u32,
}

/// A replica's attempts to have a next view chosen.
#[derive(Clone, Debug, Default)]
pub struct Proposer {
    proposal: Option<Proposal>,
    /// The highest round of a ballot that was heard of.
    highest_round: u64,
    /// Since when another view is wanted.
    wanted_since: Option<Duration>,
    /// When a voter was last asked for a promise, by whomever.
    last_prepare_at: Option<Duration>,
}

impl Proposer {
    /// A ballot was heard of: later ones of this replica have a higher round.
    pub fn observe(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round());
    }

    /// Somebody asked for a promise: this replica holds its own proposal back for a while.
    pub fn note_prepare(&mut self, now: Duration) {
        self.last_prepare_at = Some(now);
    }

    /// No other view is wanted.
    pub fn stop(&mut self) {
        self.wanted_since = None;
        self.proposal = None;
    }

    /// A newer view holds.
    pub fn forget(&mut self) {
        self.stop();
        self.last_prepare_at = None;
    }

    /// Whether a proposal is due, where another view is wanted now. Voters propose one after the other, by their order,
    /// so that they rarely compete. A proposal that still gets answers is not replaced by another: under a higher ballot
    /// all voters would begin anew, and where their disks are slow would never come to an end.
    pub fn is_due(&mut self, now: Duration, turn: ProposalTurn, process_started: Duration) -> bool {
        let wanted_since = *self.wanted_since.get_or_insert(now);
        if let Some(proposal) = &self.proposal {
            let patience = PROPOSAL_RETRY + PROPOSAL_STAGGER * (turn.position + 1);
            return now.saturating_sub(proposal.last_progress_at) > patience;
        }
        let is_started = now.saturating_sub(process_started) >= STARTUP_GRACE;
        let other_proposes = self.last_prepare_at.is_some_and(|at| now.saturating_sub(at) < PROPOSAL_RETRY);
        let delay = PROPOSAL_STAGGER * turn.alive_ahead + VIEW_SETTLE_TIME;
        is_started && !other_proposes && now.saturating_sub(wanted_since) >= delay
    }

    /// Starts a proposal under a ballot that is higher than all that were heard of or used. The ballot must be on the
    /// disk before a voter sees it: no later process of this replica may use it for another view.
    pub fn start(&mut self, now: Duration, me: u32, desired: View, highest_used: Ballot) -> Ballot {
        self.observe(highest_used);
        self.highest_round += 1;
        let ballot = Ballot::new(self.highest_round, me);
        self.proposal = Some(Proposal {
            view_number: desired.number,
            ballot,
            desired,
            promises: BTreeMap::new(),
            requested: None,
            accepted_by: BTreeSet::new(),
            last_progress_at: now,
        });
        ballot
    }

    /// Whether this ballot is of the proposal that is under way.
    pub fn is_current(&self, view_number: u64, ballot: Ballot) -> bool {
        self.current(view_number, ballot).is_some()
    }

    fn current(&self, view_number: u64, ballot: Ballot) -> Option<&Proposal> {
        let is_same = |proposal: &&Proposal| proposal.view_number == view_number && proposal.ballot == ballot;
        self.proposal.as_ref().filter(is_same)
    }

    fn current_mut(&mut self, view_number: u64, ballot: Ballot) -> Option<&mut Proposal> {
        let is_same = |proposal: &&mut Proposal| proposal.view_number == view_number && proposal.ballot == ballot;
        self.proposal.as_mut().filter(is_same)
    }

    /// A voter promised. Once a majority has, gives what the voters are asked to accept: what one of them had accepted
    /// under the highest ballot, as it may be chosen already, or else the view that is desired here.
    pub fn on_promise(&mut self, now: Duration, voter: u32, promise: Promise, majority: usize) -> Option<Accept> {
        let proposal = self.current_mut(promise.view_number, promise.ballot)?;
        if proposal.requested.is_some() {
            return None;
        }
        if proposal.promises.insert(voter, promise.accepted.into_items().pop()).is_none() {
            proposal.last_progress_at = now;
        }
        if proposal.promises.len() < majority {
            return None;
        }
        let accepted = proposal.promises.values().flatten().max_by_key(|accepted| accepted.ballot);
        let view = accepted.map_or_else(|| proposal.desired.clone(), |accepted| accepted.view.clone());
        proposal.requested = Some(view.clone());
        Some(Accept { view_number: proposal.view_number, ballot: proposal.ballot, view })
    }

    /// A voter accepted. Gives the view once a majority has: it is chosen.
    pub fn on_accepted(&mut self, now: Duration, voter: u32, accepted: &Accepted, majority: usize) -> Option<View> {
        let proposal = self.current_mut(accepted.view_number, accepted.ballot)?;
        if proposal.accepted_by.insert(voter) {
            proposal.last_progress_at = now;
        }
        if proposal.accepted_by.len() < majority {
            return None;
        }
        proposal.requested.clone()
    }

    /// Feeds what decides later steps to `hasher`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        self.highest_round.hash(hasher);
        self.wanted_since.map(|at| age(now, at, LONGEST_DELAY)).hash(hasher);
        self.last_prepare_at.map(|at| age(now, at, LONGEST_DELAY)).hash(hasher);
        if let Some(proposal) = &self.proposal {
            (proposal.view_number, proposal.ballot, &proposal.desired, &proposal.promises).hash(hasher);
            (&proposal.requested, &proposal.accepted_by, age(now, proposal.last_progress_at, LONGEST_DELAY))
                .hash(hasher);
        }
    }
}
