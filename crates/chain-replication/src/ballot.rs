//! Proposal numbers of Paxos.
use deku::{DekuRead, DekuWrite};
use std::fmt;

/// The bits of a ballot below its round hold the id of the proposer.
const ROUND_SHIFT: u32 = 32;

/// The number of a proposal: a round, and below it the id of the replica that proposes, so that no two replicas ever use
/// the same one. On the wire and on disk it is one 64-bit number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Ballot(u64);

impl Ballot {
    /// Below every ballot that is used: nothing was promised or proposed.
    pub const NONE: Ballot = Ballot(0);

    /// The ballot of a proposer in a round; rounds begin with 1.
    pub const fn new(round: u64, proposer: u32) -> Self {
        Ballot(round << ROUND_SHIFT | proposer as u64)
    }

    /// The round, which every later proposal exceeds.
    pub const fn round(self) -> u64 {
        self.0 >> ROUND_SHIFT
    }
}

impl fmt::Display for Ballot {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}
