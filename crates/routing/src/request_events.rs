//! What goes between a request's state machine and whoever drives it: events in, actions out.
pub use crate::client_response::{ClientResponse, Outcome, StopReason};
use control_state::command::ClaimStatus;
use control_state::fleet::Fleet;
use std::time::Duration;

/// What came of asking for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is this request's.
    Granted,
    /// Another request has it; the text describes that claim.
    Conflict(String),
    /// Nobody has it, and it is not to be had now; the text says why.
    Rejected(String),
    /// Nobody can say whether it was granted.
    Unconfirmed,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request came.
    Start,
    /// The claim was answered.
    Claimed(ClaimResult),
    /// The replica chosen for an attempt, if there is one.
    Placed(Option<String>),
    /// The head of a replica's response: `not_executed` is the replica's own word that it did not run the request,
    /// `retry_after` is in seconds.
    ResponseHead {
        /// The status code.
        status: u16,
        /// The replica's own word that it did not run the request.
        not_executed: bool,
        /// When to come back, in seconds.
        retry_after: Option<u64>,
    },
    /// A chunk of the response; `last` where it says itself that it is the last one.
    Chunk {
        /// Whether it says itself that it is the last one.
        last: bool,
    },
    /// The replica's stream ended as its protocol wants.
    StreamEnded,
    /// The connection to the replica failed; `sent` where any byte of the request had left.
    ConnectionFailed {
        /// Whether any byte of the request had left.
        sent: bool,
        /// What went wrong.
        cause: String,
    },
    /// The client closed its connection.
    ClientGone,
    /// Nothing came for a while.
    Idle,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request the control replicas for the claim.
    Claim,
    /// Choose a replica for an attempt.
    Place,
    /// Send the request to the chosen replica.
    Send,
    /// The first chunk came: the attempt's time to first token is known.
    FirstChunk,
    /// Forward the chunk to the client.
    ForwardChunk,
    /// The response is complete.
    CompleteResponse,
    /// Forward the replica's rejection as it is, with the request's outcome.
    ForwardRejection(Outcome),
    /// Close the connection to the replica at once.
    CloseUpstream,
    /// Close the client's stream so that it is seen to be truncated; the text says why.
    ResetClient(String),
    /// Complete the claim.
    CompleteClaim(ClaimStatus),
    /// Send the client this response.
    Respond(ClientResponse),
    /// Record a step for operators.
    Explain(String),
}

/// Whether a request may go on: the edge needs a valid lease, the client a key in use (its digest and its tenant), and
/// the request time left until its deadline.
pub fn check_allowed(
    fleet: &Fleet,
    has_valid_lease: bool,
    (key_digest, tenant): (&str, &str),
    now: Duration,
    deadline: Duration,
) -> Result<(), StopReason> {
    if !has_valid_lease {
        Err(StopReason::NoLease)
    } else if fleet.tenant(key_digest) != Ok(tenant) {
        Err(StopReason::KeyWithdrawn)
    } else if now >= deadline {
        Err(StopReason::TimeBudgetSpent)
    } else {
        Ok(())
    }
}
