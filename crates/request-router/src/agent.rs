//! The router's side of its agent, from which it takes its view of the fleet and its lease.
use crate::state::RouterState;
use control_state::fleet::Fleet;
use fleet_common::Rcu;
use routing::lease::Lease;
use std::time::Duration;
use stream_router::agent_client::{AgentFollower, PullIdentity};

/// How long the agent may delay an answer while nothing has changed, in milliseconds.
const MAX_PULL_WAIT_MS: u32 = 300;

impl AgentFollower for RouterState {
    fn identity(&self) -> PullIdentity<'_> {
        PullIdentity {
            name: &self.name,
            zone: &self.zone,
            incarnation: self.incarnation,
            agent: self.agent_address,
            max_wait_ms: MAX_PULL_WAIT_MS,
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
}
