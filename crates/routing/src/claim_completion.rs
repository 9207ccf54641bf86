//! Claims on their way to being completed: each completion is sent to the control replicas until one of them answers,
//! with a backoff, for as long as it may matter.
use control_state::command::Command;
use std::collections::BTreeMap;
use std::time::Duration;

/// After so long the expiry of the edge's lease or an operator has completed the claim as unknown.
pub const KEPT_FOR: Duration = Duration::from_secs(80);
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// An attempt whose end was never reported is made again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);

struct PendingCompletion {
    command: Command,
    added_at: Duration,
    next_attempt_at: Duration,
    backoff: Duration,
}

/// All completions that nobody has answered yet.
#[derive(Default)]
pub struct ClaimCompletions {
    pending: BTreeMap<u64, PendingCompletion>,
    last_id: u64,
}

impl ClaimCompletions {
    /// Adds a command that completes a claim.
    pub fn add(&mut self, now: Duration, command: Command) {
        self.last_id += 1;
        let completion = PendingCompletion { command, added_at: now, next_attempt_at: now, backoff: INITIAL_BACKOFF };
        self.pending.insert(self.last_id, completion);
    }

    /// What is to be sent now, with the id under which its end is to be reported.
    pub fn due(&mut self, now: Duration) -> Vec<(u64, Command)> {
        self.pending.retain(|_, completion| now.saturating_sub(completion.added_at) < KEPT_FOR);
        let due = self.pending.iter_mut().filter(|(_, completion)| completion.next_attempt_at <= now);
        due.map(|(id, completion)| {
            completion.next_attempt_at = now + ATTEMPT_TIMEOUT;
            (*id, completion.command.clone())
        })
        .collect()
    }

    /// An attempt has ended. A completion that nobody answered is sent again after its backoff.
    pub fn on_attempt_ended(&mut self, now: Duration, id: u64, answered: bool) {
        if answered {
            self.pending.remove(&id);
        } else if let Some(completion) = self.pending.get_mut(&id) {
            completion.next_attempt_at = now + completion.backoff;
            completion.backoff = (completion.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// How many are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
