//! Once-requests: claimed through the chain before anything is sent, settled afterwards.
use crate::passage::{Flow, Passage, Reply};
use crate::shared::Shared;
use control_chain::command::{Command, Envelope, Outcome, Ran};
use fleet_common::ask::{Answer, Ask};
use fleet_common::ring;
use std::sync::Arc;
use std::time::Duration;

/// Puts a command through the agent. `None` when nobody can say what came of it.
fn command(shared: &Shared, command: Command) -> Option<Outcome> {
    let mut agent = shared.agent();
    match agent.ask(&Ask::Command(Envelope::bare(command).pack().into())) {
        Ok(Answer::Json(text)) => {
            shared.give_agent_back(agent);
            sonic_rs::from_slice(text.as_slice()).ok()
        }
        Ok(other) => {
            shared.give_agent_back(agent);
            ring::note(&format!("command answered {other:?}"));
            None
        }
        Err(mishap) => {
            ring::note(&mishap.to_string());
            None
        }
    }
}

pub fn claim(shared: &Arc<Shared>, passage: &mut Passage) -> Flow {
    let Some(key) = passage.once.clone() else { return Flow::Next };
    if key.len() > 256 {
        return Flow::Reply(Reply::new(400, "", "Idempotency-Key: at most 256 bytes"));
    }
    let claim =
        Command::Claim { tenant: passage.tenant.clone(), key, edge: shared.name.clone(), request: passage.id.clone() };
    match command(shared, claim) {
        Some(outcome) if outcome.accepted() => {
            passage.claimed = true;
            passage.explain.step("claimed to run once");
            Flow::Next
        }
        Some(outcome) => Flow::Reply(Reply::new(409, "", format!("already claimed: {}", outcome.detail)).unknown()),
        None => {
            // Nothing was sent and nothing will be; the claim may stand, so it is settled as not run.
            passage.claimed = true;
            settle(shared, passage, Ran::NotRun);
            Flow::Reply(Reply::later(503, "the claim could not be confirmed"))
        }
    }
}

/// Settles the passage's claim, trying for a while in the background.
pub fn settle(shared: &Arc<Shared>, passage: &mut Passage, ran: Ran) {
    let (true, Some(key)) = (passage.claimed, passage.once.clone()) else { return };
    passage.claimed = false;
    passage.explain.step(format!("settled as {ran:?}"));
    let settle = Command::Settle { tenant: passage.tenant.clone(), key, request: passage.id.clone(), ran };
    let shared = shared.clone();
    std::thread::spawn(move || {
        for turn in 1..40 {
            if command(&shared, settle.clone()).is_some() {
                return;
            }
            std::thread::sleep(Duration::from_millis(100 * turn));
        }
    });
}
