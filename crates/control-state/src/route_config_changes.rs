//! What a change of the configuration of routes does to the state, and releases of versions of weights.
use crate::accepted_changes::{ChangeIdentity, Lookup};
use crate::effect::{CommandError, CommandResult, Effect};
use crate::route_config::{Change, RouteConfig};
use crate::state::State;

impl State {
    /// Applies a change on top of version `base`. Whether it repeats an accepted one is judged before anything else: such
    /// a repeat changes nothing and is acknowledged again, whatever holds by now.
    pub(crate) fn change_route_config(&mut self, base: u64, change: &Change) -> CommandResult {
        let revision = change.revision();
        let identity = ChangeIdentity::of(base, change).map_err(|_| CommandError::UnwritableChange { revision })?;
        match self.accepted_changes.lookup(&identity) {
            Lookup::Accepted => return Ok(Effect::Unchanged),
            Lookup::Forgotten { up_to } => return Err(CommandError::ForgottenChange { revision, up_to }),
            Lookup::New => {}
        }
        let next = self.next_route_config(base, change)?;
        self.route_config = Some(next);
        self.accepted_changes.record(&identity);
        Ok(Effect::RouteConfigChanged)
    }

    /// What would hold after a new change, or why it is rejected.
    fn next_route_config(&self, base: u64, change: &Change) -> Result<RouteConfig, CommandError> {
        let empty = RouteConfig::default();
        let held = self.route_config.as_ref().unwrap_or(&empty);
        if held.revision != base {
            return Err(CommandError::OtherBase { held: held.revision, base });
        }
        let revision = change.revision();
        if revision <= held.revision {
            return Err(CommandError::RevisionNotAbove { revision, held: held.revision });
        }
        let next = change.applied_to(held);
        next.validate()?;
        Ok(next)
    }

    /// An older version than the one that holds changes nothing: it was released already.
    pub(crate) fn release_weights(&mut self, model: &str, version: u64) -> CommandResult {
        let held = self.released_weights.entry(model.to_string()).or_insert(0);
        if *held >= version {
            return Ok(Effect::Unchanged);
        }
        *held = version;
        Ok(Effect::WeightsReleased)
    }
}
