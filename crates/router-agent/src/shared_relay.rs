//! The relay behind one short lock; waiting pulls of the router are woken when something new is in.
use control_state::relay::{PullPlan, RouterRelay};
use fleet_common::json;
use fleet_common::node::version_vector;
use fleet_common::rpc::{NamedVersions, Pull, PullResponse, Response};
use serde::Serialize;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How long a router's pull is parked at most while there is nothing new.
const PARK_MAX: Duration = Duration::from_millis(400);

/// The agent's status page.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct AgentStatus {
    versions: NamedVersions,
    router_uses: NamedVersions,
    /// The age of the newest pull in milliseconds; null before the first.
    pull_age_ms: Option<u64>,
}

/// A relay shared by the threads of an agent.
pub struct SharedRelay {
    started: Instant,
    relay: Mutex<RouterRelay>,
    changed: Condvar,
}

impl SharedRelay {
    /// The relay of a router whose lease lasts so long.
    pub fn starting(lease: Duration) -> SharedRelay {
        let relay = RouterRelay::starting(Duration::ZERO).with_lease(lease);
        SharedRelay { started: Instant::now(), relay: Mutex::new(relay), changed: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, RouterRelay> {
        self.relay.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn plan(&self) -> PullPlan {
        let mut relay = self.lock();
        relay.plan(self.now())
    }

    pub fn router_may_have_lease(&self) -> bool {
        self.lock().router_may_hold_lease(self.now())
    }

    pub fn apply(&self, sent: Instant, holding: bool, pulled: PullResponse) {
        self.lock().on_pull_response(sent.saturating_duration_since(self.started), holding, pulled);
        self.changed.notify_all();
    }

    /// Answers the router; waits for news, but not so long that freshness would suffer.
    pub fn respond(&self, pull: &Pull) -> Response {
        let have = version_vector(pull.known_versions.items());
        let asked = self.now();
        let until = Instant::now() + Duration::from_millis(pull.wait_ms.into()).min(PARK_MAX);
        let mut relay = self.lock();
        if pull.has_lease == 0 {
            relay.on_router_shutdown(pull.incarnation);
            self.changed.notify_all();
        }
        if !relay.has_shut_down(pull.incarnation) {
            relay.set_router_incarnation(pull.incarnation);
            relay.on_router_pull(self.now(), have);
        }
        loop {
            if relay.has_shut_down(pull.incarnation) {
                return Response::Rejected("this router said good-bye".into());
            }
            let wait = until.saturating_duration_since(Instant::now());
            if relay.has_newer_than(have) || wait.is_zero() {
                return Response::Pull(relay.pull_response(asked, self.now(), have));
            }
            relay = self.changed.wait_timeout(relay, wait).unwrap_or_else(|held| held.into_inner()).0;
        }
    }

    /// The versions that this agent and its router have, as JSON.
    pub fn status_json(&self) -> String {
        let relay = self.lock();
        let status = AgentStatus {
            versions: NamedVersions(relay.versions()),
            router_uses: NamedVersions(relay.confirmed()),
            pull_age_ms: relay.age(self.now()).map(|age| age.as_millis() as u64),
        };
        json::to_text(&status)
    }
}
