//! Subsetting: which routers serve which replicas. In a small fleet all routers serve all replicas. In a large one
//! each replica has a fixed number of routers, chosen by rendezvous hashing, the same for all who know the same
//! members. These announce to each other what they send to it, so each knows the whole queue of its replicas, for a
//! bounded number of datagrams.
use crate::backlog_key::BacklogKey;
use fleet_common::hash::rendezvous_weight;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Limit on the routers that serve a replica.
pub const MAX_ROUTERS_PER_REPLICA: usize = 20;

/// Limit on the routers that do not serve a replica and are told what it has newly cached.
const MAX_OUTSIDE_ROUTERS: usize = 60;

/// A router as the others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// The name of its machine.
    pub name: String,
    /// Where it receives announcements.
    pub address: SocketAddr,
}

/// The routers of each replica, as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct Subsets {
    /// The other routers that serve a replica, by its key; without a row all others do.
    others: HashMap<u64, Vec<SocketAddr>>,
    /// The next routers by rendezvous, which do not serve it; without a row there are none.
    outside: HashMap<u64, Vec<SocketAddr>>,
    /// Keys of the replicas that this router serves; `None` where it serves all.
    served: Option<HashSet<u64>>,
    /// All other routers.
    all: Vec<SocketAddr>,
}

impl Subsets {
    /// Assigns routers to replicas (by id), as the router `me` sees it.
    /// ```
    /// use stream_router::subsets::{MAX_ROUTERS_PER_REPLICA, Router, Subsets};
    /// let at = |n: usize| format!("127.0.0.1:{}", n + 1).parse().unwrap();
    /// let routers: Vec<_> = (0..50).map(|n| Router { name: format!("e{n}"), address: at(n) }).collect();
    /// let subsets = Subsets::assign("e0", &routers, ["r1"].into_iter());
    /// let others = subsets.peers_serving(routing::link_queues::queue_key("r1")).len();
    /// assert_eq!(others, MAX_ROUTERS_PER_REPLICA - usize::from(subsets.serves("r1")));
    /// ```
    pub fn assign<'a>(me: &str, routers: &[Router], replicas: impl Iterator<Item = &'a str>) -> Self {
        let all = routers.iter().filter(|router| router.name != me).map(|router| router.address).collect();
        if routers.len() <= MAX_ROUTERS_PER_REPLICA {
            return Subsets { all, ..Subsets::default() };
        }
        let (mut others, mut outside, mut served) = (HashMap::new(), HashMap::new(), HashSet::new());
        for replica in replicas {
            let mut order: Vec<(u64, &Router)> =
                routers.iter().map(|router| (rendezvous_weight(replica, &router.name), router)).collect();
            order.sort_by(|a, b| (b.0, &a.1.name).cmp(&(a.0, &b.1.name)));
            let mut rest = order.split_off(MAX_ROUTERS_PER_REPLICA);
            rest.truncate(MAX_OUTSIDE_ROUTERS);
            if order.iter().any(|(_, router)| router.name == me) {
                served.insert(BacklogKey::Replica(replica).number());
            }
            let addresses = |rows: &[(u64, &Router)]| {
                let others = rows.iter().filter(|(_, router)| router.name != me);
                others.map(|(_, router)| router.address).collect::<Vec<_>>()
            };
            others.insert(BacklogKey::Replica(replica).number(), addresses(&order));
            outside.insert(BacklogKey::Replica(replica).number(), addresses(&rest));
        }
        Subsets { others, outside, served: Some(served), all }
    }

    /// Whether this router serves a replica.
    /// ```
    /// assert!(stream_router::subsets::Subsets::default().serves("r1"));
    /// ```
    pub fn serves(&self, replica: &str) -> bool {
        self.served.as_ref().is_none_or(|served| served.contains(&BacklogKey::Replica(replica).number()))
    }

    /// The other routers that serve a replica, by its key.
    /// ```
    /// assert!(stream_router::subsets::Subsets::default().peers_serving(7).is_empty());
    /// ```
    pub fn peers_serving(&self, replica: u64) -> &[SocketAddr] {
        self.others.get(&replica).unwrap_or(&self.all)
    }

    /// Other routers that do not serve a replica, by its key: all, or as many as are told.
    /// ```
    /// assert!(stream_router::subsets::Subsets::default().peers_not_serving(7).is_empty());
    /// ```
    pub fn peers_not_serving(&self, replica: u64) -> &[SocketAddr] {
        self.outside.get(&replica).map_or(&[], Vec::as_slice)
    }

    /// A sample of all other routers, picked by a number, and how many routers each of them stands for. Who tells only
    /// the sample multiplies what it tells by that.
    /// ```
    /// let (few, times) = stream_router::subsets::Subsets::default().sample(3);
    /// assert!(few.is_empty() && times == 1.0);
    /// ```
    pub fn sample(&self, pick: u64) -> (Vec<SocketAddr>, f64) {
        if self.all.len() < MAX_ROUTERS_PER_REPLICA {
            return (self.all.clone(), 1.0);
        }
        let first = pick as usize % self.all.len();
        let few = (0..MAX_ROUTERS_PER_REPLICA).map(|n| self.all[(first + n) % self.all.len()]).collect();
        (few, self.all.len() as f64 / MAX_ROUTERS_PER_REPLICA as f64)
    }
}
