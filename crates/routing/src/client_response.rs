//! What a client is told in place of a replica's answer: status, text, outcome and when to come back. All of these texts
//! are made here.
use control_state::command::ClaimStatus;

const FORBIDDEN: u16 = 403;
const CONFLICT: u16 = 409;
/// The client closed the connection (nginx's code: nobody reads it).
const CLIENT_CLOSED_REQUEST: u16 = 499;
const SERVICE_UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;
/// The client may come back after any short while.
const RETRY_SOON: Option<u64> = Some(0);

/// Whether a request may have been executed by a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No replica has executed it, and none will.
    NotExecuted,
    /// It may have been executed.
    Unknown,
}

impl Outcome {
    /// The outcome of a request that may have been executed or not.
    pub fn of(may_have_run: bool) -> Self {
        if may_have_run { Outcome::Unknown } else { Outcome::NotExecuted }
    }

    /// The value of the header `X-Outcome`.
    pub fn header_value(self) -> &'static str {
        match self {
            Outcome::NotExecuted => "not run",
            Outcome::Unknown => "unknown",
        }
    }

    /// The status with which the claim of such a request is completed.
    pub(crate) fn claim_status(self) -> ClaimStatus {
        match self {
            Outcome::NotExecuted => ClaimStatus::NotExecuted,
            Outcome::Unknown => ClaimStatus::Unknown,
        }
    }
}

/// Why a request is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The edge has no valid lease.
    NoLease,
    /// The client's key is withdrawn.
    KeyWithdrawn,
    /// The request's time budget is spent.
    TimeBudgetSpent,
    /// The client closed its connection.
    ClientGone,
}

/// What a client is told in place of a replica's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The status code.
    pub status: u16,
    /// Why, for people.
    pub reason: String,
    /// Whether the request may have been executed.
    pub outcome: Outcome,
    /// Seconds until the client may come back: none where coming back is no use, 0 where any short while will do.
    pub retry_after: Option<u64>,
}

impl ClientResponse {
    /// A stopped request.
    pub fn stopped(reason: StopReason, outcome: Outcome) -> Self {
        let (status, text, retry_after) = match reason {
            StopReason::NoLease => (SERVICE_UNAVAILABLE, "this edge holds no fresh term", RETRY_SOON),
            StopReason::KeyWithdrawn => (FORBIDDEN, "this key is withdrawn", None),
            StopReason::TimeBudgetSpent => (GATEWAY_TIMEOUT, "the budget ran out", Some(1)),
            StopReason::ClientGone => (CLIENT_CLOSED_REQUEST, "the caller left", None),
        };
        ClientResponse { status, reason: text.into(), outcome, retry_after }
    }

    /// Another request holds the claim: `claim` describes it.
    pub(crate) fn claimed_by_another(claim: &str) -> Self {
        let reason = format!("already claimed: {claim}");
        ClientResponse { status: CONFLICT, reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// The claim was rejected, and nobody else has it.
    pub(crate) fn claim_rejected(reason: String) -> Self {
        Self::unavailable(reason, Outcome::NotExecuted, 0)
    }

    /// Nobody can say whether the claim stands. The request was not sent and will not be.
    pub(crate) fn claim_unconfirmed() -> Self {
        Self::unavailable("the claim could not be confirmed".into(), Outcome::NotExecuted, 0)
    }

    /// No replica may take the request.
    pub(crate) fn no_replica(outcome: Outcome, retry_after: u64) -> Self {
        Self::unavailable("no fit replica".into(), outcome, retry_after)
    }

    /// The last attempt failed.
    pub(crate) fn attempt_failed(replica: &str, cause: &str, outcome: Outcome, retry_after: u64) -> Self {
        Self::unavailable(format!("{replica} failed: {cause}"), outcome, retry_after)
    }

    fn unavailable(reason: String, outcome: Outcome, retry_after: u64) -> Self {
        ClientResponse { status: SERVICE_UNAVAILABLE, reason, outcome, retry_after: Some(retry_after) }
    }
}
