//! The decision on the next view: one decree by Paxos among the voters of the view that holds. Each promise and each
//! acceptance is on the disk before it is told.
//!
//! Safety rests on three rules. A voter promises a ballot only once the lease that it granted to the tail has ended.
//! It accepts nothing under a ballot below the one that it promised. A proposer that learns of an accepted view proposes
//! that one, of the highest ballot, in place of its own. So no two views of one number are ever chosen.
mod acceptor;
mod proposer;

pub use acceptor::{Acceptor, DelayedPrepare};
pub use proposer::{ProposalTurn, Proposer};
