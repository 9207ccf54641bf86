//! Requests of operators that a head has taken and not yet answered.
use crate::view::MemberAddress;
use control_state::outcome::Outcome;
use std::collections::BTreeMap;

/// A command that waits until its entry is committed.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingCommand {
    pub token: u64,
    pub outcome: Outcome,
}

/// The commands that wait, by the numbers of their entries.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct PendingCommands {
    by_seq: BTreeMap<u64, Vec<PendingCommand>>,
}

impl PendingCommands {
    pub fn is_empty(&self) -> bool {
        self.by_seq.is_empty()
    }

    pub fn push(&mut self, seq: u64, command: PendingCommand) {
        self.by_seq.entry(seq).or_default().push(command);
    }

    /// Those whose entries are committed, in order.
    pub fn take_committed(&mut self, committed: u64) -> Vec<PendingCommand> {
        let later = self.by_seq.split_off(&(committed + 1));
        std::mem::replace(&mut self.by_seq, later).into_values().flatten().collect()
    }

    /// All of them, in order.
    pub fn take_all(&mut self) -> Vec<PendingCommand> {
        std::mem::take(&mut self.by_seq).into_values().flatten().collect()
    }
}

/// A list of control machines that an operator asked for: answered once a view has it.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingMembers {
    pub token: u64,
    pub addresses: Vec<MemberAddress>,
}
