//! What came of a command: its effect on the state, or why it has none. Their texts and codes are part of the product's
//! interface: they stand in outcomes, which are stored and which operators read.
use crate::outcome::UNKNOWN_CODE;
use crate::route_config::RouteConfigError;
use std::fmt;
use thiserror::Error;

pub(crate) type CommandResult = Result<Effect, CommandError>;

/// The effect of an accepted command. Its text is the detail of the command's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// What the command asks for held already.
    Unchanged,
    FleetConfigReplaced,
    FleetConfigRestored,
    WeightsReleased,
    RouteConfigChanged,
    KeyAdded,
    KeyWithdrawn,
    ReplicasReplaced,
    Joined,
    LeaseExpired,
    AssignmentTaken {
        fencing_token: u64,
    },
    AssignmentReleased,
    Claimed,
    ClaimCompleted,
    /// That a request will not run came before its claim, and is kept so that the claim will be rejected.
    KeptAgainstLateClaim,
    MinuteCounted,
}

impl fmt::Display for Effect {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Effect::Unchanged => "nothing to change",
            Effect::FleetConfigReplaced => "blueprint replaced",
            Effect::FleetConfigRestored => "the blueprint before holds again",
            Effect::WeightsReleased => "weights named",
            Effect::RouteConfigChanged => "configuration taken",
            Effect::KeyAdded => "key added",
            Effect::KeyWithdrawn => "key withdrawn",
            Effect::ReplicasReplaced => "listing replaced",
            Effect::Joined => "joined",
            Effect::LeaseExpired => "lapsed",
            Effect::AssignmentTaken { fencing_token } => return write!(out, "fence {fencing_token}"),
            Effect::AssignmentReleased => "given up",
            Effect::Claimed => "claimed",
            Effect::ClaimCompleted => "settled",
            Effect::KeptAgainstLateClaim => "kept against a late claim",
            Effect::MinuteCounted => "a minute counted",
        };
        out.write_str(text)
    }
}

/// Why a command has no effect. The texts are the details of outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum CommandError {
    /// The command expects to replace another version of its source than the one that holds.
    #[error("version {held} holds, not {expected}")]
    OtherVersion { held: u64, expected: u64 },
    /// The change builds on another version of the configuration than the one that holds.
    #[error("version {held} holds, not {base}")]
    OtherBase { held: u64, base: u64 },
    #[error("/revision: {revision} is not above {held}")]
    RevisionNotAbove { revision: u64, held: u64 },
    #[error(transparent)]
    InvalidRouteConfig(#[from] RouteConfigError),
    /// The change may repeat an accepted one that is no longer remembered. This is no rejection: nobody can say.
    #[error("changes up to {up_to} are no longer remembered: nobody can say whether {revision} was taken")]
    ForgottenChange { revision: u64, up_to: u64 },
    /// The change cannot be encoded, so that it could not be recognised later.
    #[error("change {revision} cannot be written")]
    UnwritableChange { revision: u64 },
    #[error("no model {0}")]
    NoSuchModel(String),
    #[error("there was no blueprint before")]
    NoPreviousFleetConfig,
    #[error("no tenant {0}")]
    NoSuchTenant(String),
    #[error("no such key")]
    NoSuchKey,
    #[error("a withdrawn key never comes back")]
    KeyWithdrawn,
    #[error("the key is another tenant's")]
    KeyOfAnotherTenant,
    /// The node is not listed, so it holds no lease.
    #[error("no term is held")]
    NoLease,
    #[error("{owner} holds it")]
    Assigned { owner: String },
    #[error("not the holder")]
    NotTheOwner,
    #[error("no room for further once-claims")]
    TooManyClaims,
    /// Another request has the claim, or it is completed; the claim as JSON.
    #[error("{0}")]
    ClaimTaken(String),
    #[error("this request said already that it will not run")]
    RequestVoided,
    #[error("not this request's claim, or settled otherwise")]
    OtherClaim,
}

impl CommandError {
    /// The code of the outcome, after HTTP.
    pub(crate) fn code(&self) -> u16 {
        match self {
            CommandError::InvalidRouteConfig(_) | CommandError::RevisionNotAbove { .. } => 400,
            CommandError::NoLease => 403,
            CommandError::NoSuchModel(_)
            | CommandError::NoPreviousFleetConfig
            | CommandError::NoSuchTenant(_)
            | CommandError::NoSuchKey => 404,
            CommandError::OtherVersion { .. }
            | CommandError::KeyWithdrawn
            | CommandError::KeyOfAnotherTenant
            | CommandError::Assigned { .. }
            | CommandError::NotTheOwner
            | CommandError::ClaimTaken(_)
            | CommandError::OtherClaim => 409,
            CommandError::RequestVoided => 410,
            CommandError::OtherBase { .. } => 412,
            CommandError::TooManyClaims => 429,
            CommandError::ForgottenChange { .. } | CommandError::UnwritableChange { .. } => UNKNOWN_CODE,
        }
    }
}
