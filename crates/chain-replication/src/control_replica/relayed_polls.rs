//! Polls of the platform that one replica carries out for another, the head, which the platform does not answer.
use super::{ControlReplica, RelayedPoll};
use crate::listing::{ListingError, ListingResult};
use crate::listing_pollers::Poller;
use crate::message::{Message, RelayedListing};
use crate::step::Output;
use control_state::command::ReplicaInfo;

/// Polls for another replica are numbered from here, so that their results are never taken for those of own polls.
pub(super) const RELAYED_POLLS: u64 = 1 << 63;

impl ControlReplica {
    /// The other members of the view that were heard lately, by their ids in order.
    pub(super) fn reachable_members(&self) -> Vec<u32> {
        let view = &self.hard_state.view;
        let members = view.chain.items().iter().chain(view.spares.items());
        let is_reachable = |id: &u32| *id != self.me.id && self.peers.hears_id(self.now, *id);
        let mut ids: Vec<u32> = members.map(|member| member.id).filter(is_reachable).collect();
        ids.sort_unstable();
        ids
    }

    /// Another replica asks for a poll. One that asked before is the head no more, or has waited long enough.
    pub(super) fn on_poll_request(&mut self, head: u32, poll: u64) {
        self.background.relayed_poll = Some(RelayedPoll { head, poll });
        self.outputs.push(Output::PollReplicas { poll: RELAYED_POLLS | poll });
    }

    /// Tells the head what came of its poll.
    pub(super) fn relay_listing(&mut self, number: u64, result: ListingResult) {
        let Some(asked) = self.background.relayed_poll.take_if(|asked| RELAYED_POLLS | asked.poll == number) else {
            return;
        };
        let encode = |rows: Vec<ReplicaInfo>| {
            sonic_rs::to_vec(&rows).map_err(|error| ListingError::Unavailable { reason: error.to_string() })
        };
        let (replicas, error) = match result.and_then(encode) {
            Ok(replicas) => (replicas, String::new()),
            Err(error) => (Vec::new(), error.to_string()),
        };
        let listing = RelayedListing { poll: asked.poll, replicas: replicas.into(), error: error.as_str().into() };
        self.send(asked.head, Message::ReplicasListed(listing));
    }

    /// Another replica tells what came of a poll that this one asked for.
    pub(super) fn on_relayed_listing(&mut self, from: u32, listing: RelayedListing) {
        let unavailable = |reason: String| ListingError::Unavailable { reason };
        let result = if listing.error.as_str().is_empty() {
            sonic_rs::from_slice(listing.replicas.as_slice()).map_err(|error| unavailable(error.to_string()))
        } else {
            Err(unavailable(listing.error.as_str().to_string()))
        };
        self.take_listing(listing.poll, Poller::Peer(from), result);
    }
}
