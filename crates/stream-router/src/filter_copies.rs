//! A router's copies of the filters that say which prompt parts each replica has cached. Index nodes push them; one
//! that has become stale is pulled again.
use control_state::fleet::Fleet;
use fleet_common::frame::Client;
use fleet_common::rpc::{Filter, Request, Response};
use fleet_common::{Rcu, ring};
use routing::transfer_source::{self, accept_filter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long an index node may take to answer.
const INDEX_TIMEOUT: Duration = Duration::from_millis(1000);
/// False hits after which a copy is stale, where no configuration says otherwise.
const DEFAULT_STALE_AFTER: u64 = 5;

/// The address of the index node that a replica is assigned to.
pub fn index_node_of(fleet: &Fleet, replica: &str) -> Option<SocketAddr> {
    fleet.owner_address(replica)?.parse().ok()
}

/// A client of an index node.
pub fn index_client(address: SocketAddr) -> Client {
    Client::new(address, INDEX_TIMEOUT)
}

/// The filter copies by replica.
pub struct FilterCopies {
    copies: Rcu<transfer_source::FilterCopies>,
}

impl Default for FilterCopies {
    fn default() -> Self {
        FilterCopies { copies: Rcu::new(transfer_source::FilterCopies::new()) }
    }
}

impl FilterCopies {
    /// All copies as they are now.
    pub fn read(&self) -> Arc<transfer_source::FilterCopies> {
        self.copies.read()
    }

    /// Takes a filter unless a newer version or one under a later fencing token is held, or the control replicas have
    /// given a later fencing token to the replica's assignment. Whether it was taken.
    pub fn take(&self, fleet: &Fleet, filter: Filter) -> bool {
        let fence = fleet.assignments.get(filter.replica.as_str()).map_or(0, |duty| duty.fencing_token);
        self.copies.update(|copies| accept_filter(copies, fence, filter))
    }

    /// Counts a false hit of a replica's copy; whether the copy has become stale by it.
    pub fn record_false_hit(&self, fleet: &Fleet, replica: &str) -> bool {
        let stale_after = fleet.fleet_config.as_ref().map_or(DEFAULT_STALE_AFTER, |blueprint| blueprint.index.alpha);
        self.copies.update(|copies| transfer_source::count_false_hit(copies, replica, stale_after))
    }

    /// Pulls a replica's filter from its index node. What comes is judged by the fleet as it is by then: the replica may
    /// have been assigned to another index node meanwhile.
    pub fn pull_from(&self, index_node: SocketAddr, fleet: &Rcu<Fleet>, replica: &str) {
        match index_client(index_node).call(&Request::FilterPull(replica.into())) {
            Ok(Response::Filter(filter)) => _ = self.take(&fleet.read(), filter),
            Ok(_) => {}
            Err(error) => ring::info(&error.to_string()),
        }
    }

    /// Drops the copies of replicas that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        if self.read().keys().any(|replica| !is_listed(replica)) {
            self.copies.update(|copies| copies.retain(|replica, _| is_listed(replica)));
        }
    }
}
