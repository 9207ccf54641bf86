//! A node's link to the core: long pulls under a term, from three seeds onwards.
use crate::ask::{Answer, Ask, CORES, LEASE, Pull, Pulled, SOURCES, Vector};
use crate::frame::Caller;
use crate::{PeerError, Rcu, Step, ring};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ASK_WAIT: Duration = Duration::from_millis(1500);

/// Who a node is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: String,
    pub kind: &'static str,
    pub incarnation: u64,
    pub at: String,
    pub district: String,
}

/// Turns a list from a frame into a vector, absent entries being 0.
/// ```
/// assert_eq!(fleet_common::node::vector(&[4])[0], 4);
/// ```
pub fn vector(items: &[u64]) -> Vector {
    std::array::from_fn(|at| items.get(at).copied().unwrap_or(0))
}

/// Seed addresses, which a changed settings file may replace.
pub type Seeds = Arc<Rcu<Vec<SocketAddr>>>;

/// The link: knows the cores and which of them answered last.
pub struct Link {
    identity: Identity,
    seeds: Seeds,
    cores: Vec<SocketAddr>,
    turn: usize,
    caller: Option<Caller>,
}

impl Link {
    /// Prepares a link from seeds.
    /// ```
    /// use fleet_common::node::{Identity, Link};
    /// let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, at: "".into(), district: "a".into() };
    /// let seeds = std::sync::Arc::new(fleet_common::Rcu::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// let _link = Link::new(me, seeds);
    /// ```
    pub fn new(identity: Identity, seeds: Seeds) -> Self {
        Link { identity, seeds, cores: Vec::new(), turn: 0, caller: None }
    }

    /// Learns the list of control machines from the `cores` source (a JSON array of addresses).
    /// ```
    /// # use fleet_common::node::{Identity, Link};
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, at: "".into(), district: "a".into() };
    /// let mut link = Link::new(me, Default::default());
    /// link.learn_cores(br#"["127.0.0.1:9"]"#);
    /// ```
    pub fn learn_cores(&mut self, value: &[u8]) {
        if let Ok(list) = sonic_rs::from_slice::<Vec<String>>(value) {
            self.cores = list.iter().filter_map(|a| a.parse().ok()).collect();
        }
    }

    fn next_core(&mut self) -> Option<SocketAddr> {
        let all: Vec<_> = self.cores.iter().chain(self.seeds.read().iter()).copied().collect();
        self.turn += 1;
        all.get(self.turn % all.len().max(1)).copied()
    }

    /// Asks the core that answers (the tail, or the head for commands), following its pointers.
    /// ```
    /// # use fleet_common::{ask::Ask, node::{Identity, Link}};
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, at: "".into(), district: "a".into() };
    /// assert!(Link::new(me, Default::default()).ask(&Ask::Query("holds".into())).is_err());
    /// ```
    pub fn ask(&mut self, ask: &Ask) -> Result<Answer, PeerError> {
        for _ in 0..4 {
            let mut caller = match self.caller.take() {
                Some(caller) => caller,
                None => match self.next_core() {
                    Some(to) => Caller::new(to, ASK_WAIT),
                    None => return Err(PeerError::at(Step::Pull, "any core", "no core is known")),
                },
            };
            match caller.ask(ask)? {
                Answer::Elsewhere(at) => match at.as_str().parse() {
                    Ok(to) => self.caller = Some(Caller::new(to, ASK_WAIT)),
                    Err(_) => {
                        return Err(PeerError::at(Step::Pull, caller.to(), "no tail holds its term"));
                    }
                },
                Answer::Unavailable(reason) => return Err(PeerError::at(Step::Pull, caller.to(), reason)),
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
    /// # use fleet_common::node::{Identity, Link};
    /// # let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, at: "".into(), district: "a".into() };
    /// assert!(Link::new(me, Default::default()).pull([0; 8], [0; 8], true, 10).is_err());
    /// ```
    pub fn pull(
        &mut self,
        have: Vector,
        confirmed: Vector,
        holding: bool,
        wait_ms: u32,
    ) -> Result<(Instant, Pulled), PeerError> {
        let me = &self.identity;
        let ask = Ask::Pull(Pull {
            node: me.name.as_str().into(),
            kind: me.kind.into(),
            incarnation: me.incarnation,
            at: me.at.as_str().into(),
            district: me.district.as_str().into(),
            have: have.to_vec().into(),
            confirmed: confirmed.to_vec().into(),
            holding: holding.into(),
            wait_ms,
        });
        let sent = Instant::now();
        let pulled = match self.ask(&ask)? {
            Answer::Pulled(pulled) => pulled,
            other => {
                return Err(PeerError::at(Step::Pull, "core", format!("odd answer {other:?}")));
            }
        };
        for news in pulled.changed.items().iter().filter(|n| n.source as usize == CORES) {
            self.learn_cores(news.value.as_slice());
        }
        Ok((sent, pulled))
    }
}

/// Pulls for ever; `apply` gets each whole answer with the time its pull was sent, and returns the
/// vector now in use. For nodes that are their own users of what they pull.
/// ```no_run
/// # use fleet_common::node::{Identity, Link, follow};
/// # let me = Identity { name: "i1".into(), kind: "index", incarnation: 1, at: "".into(), district: "a".into() };
/// follow(Link::new(me, Default::default()), |_sent, _pulled| [0; 8]);
/// ```
pub fn follow(mut link: Link, mut apply: impl FnMut(Instant, Pulled) -> Vector) {
    let mut have: Vector = [0; SOURCES.len()];
    let mut held = Instant::now();
    loop {
        let holding = held.elapsed() < LEASE + Duration::from_millis(300);
        match link.pull(have, have, holding, 800) {
            Ok((sent, pulled)) => {
                held = sent;
                let waiting = pulled.member == 0;
                have = apply(sent, pulled);
                if waiting {
                    std::thread::sleep(Duration::from_millis(50));
                }
            }
            Err(error) => {
                ring::note(&error.to_string());
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}
