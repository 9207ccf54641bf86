//! A node's link to the core: long pulls under a term, from three seeds onwards.
use crate::frame::Client;
use crate::rpc::{CONTROL_MEMBERS, NODE_LEASE, Pull, PullResponse, Request, Response, SOURCES, VersionVector};
use crate::{PeerError, Rcu, Step, ring};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ASK_WAIT: Duration = Duration::from_millis(1500);

/// Who a node is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name, unique in the fleet.
    pub name: String,
    /// `edge` or `index`.
    pub kind: &'static str,
    /// Which start of its process this is.
    pub incarnation: u64,
    /// IP and port where peers reach it; may be empty.
    pub address: String,
    /// The failure domain that it stands in.
    pub zone: String,
}

/// Turns a list from a frame into a vector, absent entries being 0.
/// ```
/// assert_eq!(fleet_common::node::version_vector(&[4])[0], 4);
/// ```
pub fn version_vector(items: &[u64]) -> VersionVector {
    std::array::from_fn(|at| items.get(at).copied().unwrap_or(0))
}

/// Seed addresses, which a changed settings file may replace.
pub type Seeds = Arc<Rcu<Vec<SocketAddr>>>;

/// Where the members of the control side are reached, as far as pulls told. All clients of a node share it: whatever one of
/// them learns holds for the others, which would only know the seeds otherwise.
pub type KnownMembers = Arc<Rcu<Vec<SocketAddr>>>;

/// The link: knows the cores and which of them answered last.
pub struct ControlClient {
    identity: Identity,
    seeds: Seeds,
    members: KnownMembers,
    turn: usize,
    caller: Option<Client>,
}

impl ControlClient {
    /// Prepares a link from seeds and the members that the node's other links have learned of.
    /// ```
    /// use fleet_common::node::{Identity, ControlClient};
    /// let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// let seeds = std::sync::Arc::new(fleet_common::Rcu::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// let _link = ControlClient::new(me, seeds, Default::default());
    /// ```
    pub fn new(identity: Identity, seeds: Seeds, members: KnownMembers) -> Self {
        ControlClient { identity, seeds, members, turn: 0, caller: None }
    }

    /// Learns the list of control machines from the `cores` source (a JSON array of addresses).
    /// ```
    /// # use fleet_common::node::{Identity, ControlClient};
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// let mut link = ControlClient::new(me, Default::default(), Default::default());
    /// link.learn_members(br#"["127.0.0.1:9"]"#);
    /// ```
    pub fn learn_members(&mut self, value: &[u8]) {
        if let Ok(list) = sonic_rs::from_slice::<Vec<String>>(value) {
            let addresses: Vec<SocketAddr> = list.iter().filter_map(|at| at.parse().ok()).collect();
            self.members.update(|members| *members = addresses.clone());
        }
    }

    fn next_core(&mut self) -> Option<SocketAddr> {
        let all: Vec<_> = self.members.read().iter().chain(self.seeds.read().iter()).copied().collect();
        self.turn += 1;
        all.get(self.turn % all.len().max(1)).copied()
    }

    /// Asks the core that answers (the tail, or the head for commands), following its pointers.
    /// ```
    /// # use fleet_common::{rpc::Request, node::{Identity, ControlClient}};
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// assert!(ControlClient::new(me, Default::default(), Default::default()).call(&Request::Query("holds".into())).is_err());
    /// ```
    pub fn call(&mut self, ask: &Request) -> Result<Response, PeerError> {
        for _ in 0..4 {
            let mut caller = match self.caller.take() {
                Some(caller) => caller,
                None => match self.next_core() {
                    Some(to) => Client::new(to, ASK_WAIT),
                    None => return Err(PeerError::at(Step::Pull, "any core", "no core is known")),
                },
            };
            match caller.call(ask)? {
                Response::Redirect(at) => match at.as_str().parse() {
                    Ok(to) => self.caller = Some(Client::new(to, ASK_WAIT)),
                    Err(_) => {
                        return Err(PeerError::at(Step::Pull, caller.peer(), "no tail holds its term"));
                    }
                },
                Response::Unavailable(reason) => return Err(PeerError::at(Step::Pull, caller.peer(), reason)),
                answer => {
                    self.caller = Some(caller);
                    return Ok(answer);
                }
            }
        }
        Err(PeerError::at(Step::Pull, "cores", "sent round in a circle"))
    }

    /// One long pull. Gives when it was sent and what came.
    /// ```
    /// # use fleet_common::node::{Identity, ControlClient};
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, address: "".into(), zone: "a".into() };
    /// assert!(ControlClient::new(me, Default::default(), Default::default()).pull([0; 8], [0; 8], true, 10).is_err());
    /// ```
    pub fn pull(
        &mut self,
        have: VersionVector,
        confirmed: VersionVector,
        holding: bool,
        wait_ms: u32,
    ) -> Result<(Instant, PullResponse), PeerError> {
        let me = &self.identity;
        let ask = Request::Pull(Pull {
            node: me.name.as_str().into(),
            kind: me.kind.into(),
            incarnation: me.incarnation,
            address: me.address.as_str().into(),
            zone: me.zone.as_str().into(),
            known_versions: have.to_vec().into(),
            applied_versions: confirmed.to_vec().into(),
            has_lease: holding.into(),
            wait_ms,
        });
        let sent = Instant::now();
        let pulled = match self.call(&ask)? {
            Response::Pull(pulled) => pulled,
            other => {
                return Err(PeerError::at(Step::Pull, "core", format!("odd answer {other:?}")));
            }
        };
        for news in pulled.updates.items().iter().filter(|n| n.source as usize == CONTROL_MEMBERS) {
            self.learn_members(news.value.as_slice());
        }
        Ok((sent, pulled))
    }
}

/// Pulls for ever; `apply` gets each whole answer with the time its pull was sent, and returns the
/// vector now in use. For nodes that are their own users of what they pull.
/// ```no_run
/// # use fleet_common::node::{Identity, ControlClient, follow};
/// # let me = Identity { name: "i1".into(), kind: "index", incarnation: 1, address: "".into(), zone: "a".into() };
/// follow(ControlClient::new(me, Default::default(), Default::default()), |_sent, _pulled| [0; 8]);
/// ```
pub fn follow(mut link: ControlClient, mut apply: impl FnMut(Instant, PullResponse) -> VersionVector) {
    let mut have: VersionVector = [0; SOURCES.len()];
    let mut held = Instant::now();
    loop {
        let holding = held.elapsed() < NODE_LEASE + Duration::from_millis(300);
        match link.pull(have, have, holding, 800) {
            Ok((sent, pulled)) => {
                held = sent;
                let waiting = pulled.lease_confirmed == 0;
                have = apply(sent, pulled);
                if waiting {
                    std::thread::sleep(Duration::from_millis(50));
                }
            }
            Err(error) => {
                ring::info(&error.to_string());
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}
