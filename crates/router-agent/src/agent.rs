//! The control link beside a router: pulls from the core for it, feeds it, and passes its commands on.
use crate::shared_relay::SharedRelay;
use control_state::command::{Command, CommandRequest};
use fleet_common::node::{ControlClient, Identity, KnownMembers, Seeds};
use fleet_common::rpc::{NODE_LEASE, Request, Response};
use fleet_common::{frame, ring};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a warned agent goes on feeding a router that drains.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(50);
const PULL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An agent: what it holds for its router, and links for the router's commands, opened as needed.
pub struct Agent {
    identity: Identity,
    seeds: Seeds,
    control_members: KnownMembers,
    relay: SharedRelay,
    idle_clients: Mutex<Vec<ControlClient>>,
}

/// Serves the router's asks on a listener. Pulling begins with `Agent::follow`.
/// ```
/// use fleet_common::node::Identity;
/// let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
/// let agent = router_agent::start(me, Default::default(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
/// assert!(agent.status_json().contains("\"pullAgeMs\":null"));
/// ```
pub fn start(identity: Identity, seeds: Seeds, frames: TcpListener) -> Arc<Agent> {
    start_for_lease(NODE_LEASE, identity, seeds, frames)
}

/// As [`start`], beside a router whose lease lasts for `lease`, so that it is renewed in time.
pub fn start_for_lease(lease: Duration, identity: Identity, seeds: Seeds, frames: TcpListener) -> Arc<Agent> {
    let relay = SharedRelay::starting(lease);
    let (control_members, idle_clients) = Default::default();
    let agent = Arc::new(Agent { identity, seeds, control_members, relay, idle_clients });
    let for_router = agent.clone();
    frame::serve(frames, move |ask: Request| Some(for_router.respond(&ask)));
    agent
}

impl Agent {
    /// Answers the router; a pull waits for news a while, a command goes to the core.
    /// ```
    /// # use fleet_common::node::Identity;
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// # let agent = router_agent::start(me, Default::default(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    /// use fleet_common::rpc::{Response, Request};
    /// assert!(matches!(agent.respond(&Request::FilterPull("r1".into())), Response::Rejected(_)));
    /// ```
    pub fn respond(&self, ask: &Request) -> Response {
        match ask {
            Request::Pull(pull) => self.relay.respond(pull),
            Request::Command(_) | Request::Query(_) => self.forward(ask),
            _ => Response::Rejected("not an agent's to answer".into()),
        }
    }

    fn control_client(&self) -> ControlClient {
        ControlClient::new(self.identity.clone(), self.seeds.clone(), self.control_members.clone())
    }

    fn forward(&self, ask: &Request) -> Response {
        let idle = self.idle_clients.lock().unwrap_or_else(|held| held.into_inner()).pop();
        let mut link = idle.unwrap_or_else(|| self.control_client());
        match link.call(ask) {
            Ok(answer) => {
                self.idle_clients.lock().unwrap_or_else(|held| held.into_inner()).push(link);
                answer
            }
            Err(error) => {
                ring::info(&error.to_string());
                Response::Rejected(error.to_string().as_str().into())
            }
        }
    }

    /// Pulls for ever; the core is told what the router has confirmed, and whether the router still can
    /// hold a term that this agent passed on.
    /// ```no_run
    /// # use fleet_common::node::Identity;
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// # let agent = router_agent::start(me, Default::default(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    /// agent.pull_forever();
    /// ```
    pub fn pull_forever(&self) -> ! {
        let mut link = self.control_client();
        loop {
            let plan = self.relay.plan();
            match link.pull(plan.have, plan.confirmed, plan.holding, plan.wait_ms) {
                Ok((sent, pulled)) => {
                    let member = pulled.lease_confirmed != 0;
                    self.relay.apply(sent, plan.holding, pulled);
                    if !member {
                        std::thread::sleep(LEASE_RETRY_DELAY);
                    }
                }
                Err(error) => {
                    ring::info(&error.to_string());
                    std::thread::sleep(PULL_RETRY_DELAY);
                }
            }
        }
    }

    /// Feeds the router for as long as it may hold a term, then says good-bye to the core.
    /// ```
    /// # use fleet_common::node::Identity;
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// # let agent = router_agent::start(me, Default::default(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    /// agent.shut_down();
    /// ```
    pub fn shut_down(&self) {
        let until = Instant::now() + DRAIN_TIMEOUT;
        while self.relay.router_may_have_lease() && Instant::now() < until {
            std::thread::sleep(LEASE_RETRY_DELAY);
        }
        let bye = Command::ExpireLease { node: self.identity.name.clone(), incarnation: self.identity.incarnation };
        if !self.relay.router_may_have_lease() {
            match CommandRequest::internal(bye).to_request() {
                Ok(ask) => _ = self.forward(&ask),
                Err(error) => ring::error(&error),
            }
        }
    }

    /// What this agent holds, as JSON.
    /// ```
    /// # use fleet_common::node::Identity;
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// # let agent = router_agent::start(me, Default::default(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    /// assert!(agent.status_json().starts_with("{\"versions\":"));
    /// ```
    pub fn status_json(&self) -> String {
        self.relay.status_json()
    }
}
