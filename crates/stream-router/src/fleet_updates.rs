//! What a router does when its view of the fleet changes: it reassigns subsets, and drops what belongs to replicas
//! that are not listed any more.
use crate::agent_client::{AgentFollower, PullIdentity};
use crate::backlog_key::BacklogKey;
use crate::client_limits::limits_of;
use crate::state::RouterState;
use crate::subsets::{Router, Subsets};
use control_state::fleet::Fleet;
use control_state::relay::wait_within;
use fleet_common::Rcu;
use routing::lease::Lease;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the agent may delay an answer while nothing has changed.
const MAX_PULL_WAIT: Duration = Duration::from_millis(400);
/// The kind of node that a router is.
const ROUTER_KIND: &str = "edge";

impl AgentFollower for RouterState {
    fn identity(&self) -> PullIdentity<'_> {
        PullIdentity {
            name: &self.settings.name,
            zone: &self.settings.zone,
            incarnation: self.incarnation,
            agent: self.settings.agent_address,
            max_wait_ms: wait_within(self.settings.lease, MAX_PULL_WAIT).as_millis() as u32,
        }
    }

    fn fleet(&self) -> &Rcu<Fleet> {
        &self.fleet
    }

    fn lease(&self) -> &Lease {
        &self.lease
    }

    fn now(&self) -> Duration {
        RouterState::now(self)
    }

    fn fleet_changed(&self) {
        let fleet = self.fleet.read();
        self.limits_watch.announce(limits_of(&fleet));
        let routers = routers(&fleet);
        self.retry_budget().set_router_count(routers.len());
        let replicas = fleet.replicas.iter().map(|replica| replica.id.as_str());
        let subsets = Subsets::assign(&self.settings.name, &routers, replicas);
        self.subsets.update(|current| *current = subsets);
    }

    fn prune(&self) {
        self.log_readiness();
        drop_unlisted(self);
    }
}

/// The routers of the fleet that can be reached.
fn routers(fleet: &Fleet) -> Vec<Router> {
    let members = fleet.nodes.iter().filter(|(_, member)| member.kind == ROUTER_KIND);
    members.filter_map(|(name, member)| Some(Router { name: name.clone(), address: member.at.parse().ok()? })).collect()
}

/// Drops what belongs to replicas that are not listed any more.
fn drop_unlisted(state: &RouterState) {
    let fleet = state.fleet.read();
    let is_listed = |id: &str| fleet.replicas.iter().any(|replica| replica.id == id);
    let addresses: Vec<SocketAddr> = fleet.replicas.iter().filter_map(|replica| replica.at.parse().ok()).collect();
    state.pool.prune(|address| addresses.contains(address));
    state.filter_copies.retain(is_listed);
    if state.load_reports.read().keys().any(|id| !is_listed(id)) {
        state.load_reports.update(|reports| reports.retain(|id, _| is_listed(id)));
    }
    let keys = backlog_keys(&fleet);
    state.link_backlogs().retain(|key| keys.contains(&key));
    state.in_flight().retain(|key| keys.contains(&key));
    state.local_loads().retain(|id, load| load.running > 0 || is_listed(id));
}

/// The keys of the listed replicas and of their links.
fn backlog_keys(fleet: &Fleet) -> HashSet<u64> {
    let keys = |id: &str| [BacklogKey::Replica(id).number(), BacklogKey::Link(id).number()];
    fleet.replicas.iter().flat_map(|replica| keys(&replica.id)).collect()
}
