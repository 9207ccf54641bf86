//! What each command does to the state, or why it is rejected.
use crate::command::{Command, NodeInfo, ReplicaInfo};
use crate::effect::{CommandError, CommandResult, Effect};
use crate::fleet_config::FleetConfig;
use crate::state::{Assignment, Key, State};

impl State {
    pub(crate) fn apply_command(&mut self, command: &Command) -> CommandResult {
        match command {
            Command::ReplaceFleetConfig { config } => self.replace_fleet_config(config),
            Command::SetModelWeights { model, weights } => self.set_model_weights(model, weights),
            Command::RestorePrevious => self.restore_previous_fleet_config(),
            Command::ChangeRouteConfig { over, change } => self.change_route_config(*over, change),
            Command::ReleaseWeights { model, version } => self.release_weights(model, *version),
            Command::AddKey { key, tenant } => self.add_key(key, tenant),
            Command::WithdrawKey { key } => self.withdraw_key(key),
            Command::ReplaceReplicas { replicas } => self.replace_replicas(replicas),
            Command::Join { node, info } => self.join(node, info),
            Command::ExpireLease { node, incarnation } => self.expire_lease(node, *incarnation),
            Command::TakeAssignment { replica, node } => self.take_assignment(replica, node),
            Command::ReleaseAssignment { replica, node, fencing_token } => {
                self.release_assignment(replica, node, *fencing_token)
            }
            Command::Claim { tenant, key, edge, request } => self.claim(tenant, key, edge, request),
            Command::CompleteClaim { tenant, key, request, status } => {
                self.complete_claim(tenant, key, request, *status)
            }
            Command::MinutePassed => self.count_minute(),
        }
    }

    fn replace_fleet_config(&mut self, config: &FleetConfig) -> CommandResult {
        self.previous_fleet_config = self.fleet_config.take();
        self.fleet_config = Some(config.clone());
        Ok(Effect::FleetConfigReplaced)
    }

    fn set_model_weights(&mut self, name: &str, weights: &str) -> CommandResult {
        let before = self.fleet_config.clone();
        let model = self.fleet_config.as_mut().and_then(|config| config.models.get_mut(name));
        let Some(model) = model else {
            return Err(CommandError::NoSuchModel(name.to_string()));
        };
        model.weights = weights.to_string();
        self.previous_fleet_config = before;
        Ok(Effect::WeightsReleased)
    }

    /// The present one can be restored in its turn.
    fn restore_previous_fleet_config(&mut self) -> CommandResult {
        let Some(previous) = self.previous_fleet_config.take() else {
            return Err(CommandError::NoPreviousFleetConfig);
        };
        self.previous_fleet_config = self.fleet_config.take();
        self.fleet_config = Some(previous);
        Ok(Effect::FleetConfigRestored)
    }

    fn add_key(&mut self, key: &str, tenant: &str) -> CommandResult {
        if !self.fleet_config.as_ref().is_some_and(|config| config.tenants.contains_key(tenant)) {
            return Err(CommandError::NoSuchTenant(tenant.to_string()));
        }
        match self.keys.get(key) {
            Some(known) if known.withdrawn => Err(CommandError::KeyWithdrawn),
            Some(known) if known.tenant != tenant => Err(CommandError::KeyOfAnotherTenant),
            Some(_) => Ok(Effect::Unchanged),
            None => {
                self.keys.insert(key.to_string(), Key { tenant: tenant.to_string(), withdrawn: false });
                Ok(Effect::KeyAdded)
            }
        }
    }

    fn withdraw_key(&mut self, key: &str) -> CommandResult {
        match self.keys.get_mut(key) {
            None => Err(CommandError::NoSuchKey),
            Some(known) if known.withdrawn => Ok(Effect::Unchanged),
            Some(known) => {
                known.withdrawn = true;
                Ok(Effect::KeyWithdrawn)
            }
        }
    }

    fn replace_replicas(&mut self, replicas: &[ReplicaInfo]) -> CommandResult {
        if self.replicas == replicas {
            return Ok(Effect::Unchanged);
        }
        self.replicas = replicas.to_vec();
        Ok(Effect::ReplicasReplaced)
    }

    fn join(&mut self, name: &str, info: &NodeInfo) -> CommandResult {
        if self.nodes.get(name) == Some(info) {
            return Ok(Effect::Unchanged);
        }
        self.nodes.insert(name.to_string(), info.clone());
        Ok(Effect::Joined)
    }

    fn expire_lease(&mut self, name: &str, incarnation: u64) -> CommandResult {
        if self.nodes.get(name).is_none_or(|node| node.incarnation != incarnation) {
            return Ok(Effect::Unchanged);
        }
        self.nodes.remove(name);
        self.mark_claims_unknown(name);
        Ok(Effect::LeaseExpired)
    }

    /// A replica that another node owns is not given away while that node, as the same process, is listed.
    fn take_assignment(&mut self, replica: &str, node: &str) -> CommandResult {
        let Some(taker) = self.nodes.get(node) else {
            return Err(CommandError::NoLease);
        };
        let (incarnation, last_owner) = (taker.incarnation, format!("{node}@{}", taker.at));
        let (mut after_expiry, mut moved) = (false, false);
        if let Some(present) = self.assignments.get(replica) {
            after_expiry = !present.owner.is_empty();
            moved = present.moved || present.last_owner != last_owner;
            let owner = self.nodes.get(&present.owner);
            let owner_is_listed = owner.is_some_and(|owner| owner.incarnation == present.incarnation);
            if present.owner == node && owner_is_listed {
                return Ok(Effect::Unchanged);
            }
            if owner_is_listed {
                return Err(CommandError::Assigned { owner: present.owner.clone() });
            }
        }
        self.last_fencing_token += 1;
        let fencing_token = self.last_fencing_token;
        let owner = node.to_string();
        let assignment = Assignment { owner, incarnation, fencing_token, after_expiry, last_owner, moved };
        self.assignments.insert(replica.to_string(), assignment);
        Ok(Effect::AssignmentTaken { fencing_token })
    }

    fn release_assignment(&mut self, replica: &str, node: &str, fencing_token: u64) -> CommandResult {
        match self.assignments.get_mut(replica) {
            Some(present) if present.owner == node && present.fencing_token == fencing_token => {
                present.owner.clear();
                Ok(Effect::AssignmentReleased)
            }
            _ => Err(CommandError::NotTheOwner),
        }
    }

    fn count_minute(&mut self) -> CommandResult {
        self.minutes_passed += 1;
        self.forget_old_claims();
        Ok(Effect::MinuteCounted)
    }
}
