//! What a pull brings: the fleet as it is now, and which assignments another node had before. And what follows at once
//! from a changed state.
use crate::index_node::IndexNode;
use control_state::command::ReplicaInfo;
use fleet_common::rpc::{PullResponse, REPLICAS, ROUTE_CONFIG};
use std::collections::BTreeMap;
use std::time::Duration;

impl IndexNode {
    /// A pull that was sent at `sent` was answered.
    pub(crate) fn on_pulled(&mut self, sent: Duration, pulled: PullResponse) {
        let before: BTreeMap<String, u64> = self
            .fleet
            .assignments
            .iter()
            .map(|(replica, assignment)| (replica.clone(), assignment.fencing_token))
            .collect();
        let taken = self.fleet.apply_pull(sent, &pulled);
        self.refresh_listed_models();
        for (replica, assignment) in &self.fleet.assignments {
            if self.fleet.fencing_token(replica, &self.me).is_none()
                || before.get(replica) == Some(&assignment.fencing_token)
            {
                continue;
            }
            match assignment.moved {
                true => self.taken_over.insert(replica.clone()),
                false => self.taken_over.remove(replica),
            };
        }
        let assignments = &self.fleet.assignments;
        self.taken_over.retain(|replica| assignments.contains_key(replica));
        if pulled.lease_confirmed != 0 && taken {
            self.lease_confirmed_at = self.lease_confirmed_at.max(Some(sent));
            self.member_since.get_or_insert(self.now);
        }
    }

    fn refresh_listed_models(&mut self) {
        let sources = [self.fleet.versions[REPLICAS], self.fleet.versions[ROUTE_CONFIG]];
        if self.models_as_of == Some(sources) {
            return;
        }
        self.models_as_of = Some(sources);
        let models = |replica: &ReplicaInfo| replica.models().map(str::to_string).collect();
        let listed = self.fleet.replicas.iter();
        self.listed_models = listed.map(|replica| (replica.id.clone(), models(replica))).collect();
    }

    /// For how long this node has been a member.
    pub(crate) fn member_for(&self) -> Option<Duration> {
        self.member_since.map(|since| self.now.saturating_sub(since))
    }

    /// What follows from a changed state: the next orders, and its announcement.
    pub(crate) fn on_state_changed(&mut self) {
        self.state_changed = false;
        if !self.shutting_down {
            self.advance_rollouts();
            self.announce();
        }
    }

    /// Whether a report changed a replica's state; a step with `Input::StateChanged` is due then.
    pub fn has_changed_state(&self) -> bool {
        self.state_changed
    }
}
