//! What this router and others do at replicas: recorded here, and announced to the other routers.
use crate::backlog_key::BacklogKey;
use crate::gossip::{Announcement, LinkOccupied, PartsCached, RequestRef, RequestSent, announced_parts};
use crate::placement::Placement;
use crate::state::{ReportedLoad, RouterState};
use crate::transfer_attempt::TransferAttempt;
use fleet_common::hash;
use fleet_common::threads::{self, STACK};
use routing::in_flight_table::InFlightPrompt;
use std::sync::Arc;
use std::time::Duration;

/// Starts the thread that receives what other routers announce.
pub(crate) fn start(state: Arc<RouterState>) {
    threads::start_restarting("load gossip", STACK, move || {
        state.gossip.receive(|announcement| state.apply_announcement(announcement));
    });
}

impl RouterState {
    /// Records that a request was sent to a replica under this id, and announces it.
    pub(crate) fn record_sent(&self, replica: &str, id: u64, sent: InFlightPrompt) {
        self.announce(Announcement::RequestSent(RequestSent {
            replica: BacklogKey::Replica(replica).number(),
            id,
            work_us: sent.prefill_time.as_micros().min(u32::MAX as u128) as u32,
            tokens: sent.tokens.min(u32::MAX as u64) as u32,
            parts: announced_parts(&sent.parts).into(),
        }));
        let mut all = self.local_loads();
        let load = all.entry(replica.to_string()).or_default();
        load.running += 1;
        load.sent_since_report += 1;
    }

    /// Records that a replica's prefill of a prompt is done. The routers that serve the replica are told so; the others
    /// are told the shared parts that it has newly cached, so that none of them has these prefilled elsewhere.
    pub(crate) fn record_prefill_done(&self, placement: &Placement, id: u64) {
        let replica = BacklogKey::Replica(&placement.replica).number();
        self.announce(Announcement::PrefillDone(RequestRef { replica, id }));
        let Some((_, shared)) = placement.parts.split_last() else { return };
        let tokens: u64 = shared.iter().map(|part| part.tokens).sum();
        if placement.cached_tokens < tokens {
            let parts: Vec<u64> = shared.iter().map(|part| part.hash).collect();
            self.announce(Announcement::PartsCached(PartsCached { replica, parts: announced_parts(&parts).into() }));
        }
    }

    /// Applies an announcement and sends it: those about a replica to the routers that serve it too, those about a link
    /// to a sample of all routers, multiplied by how many routers each of the sample stands for.
    pub(crate) fn announce(&self, announcement: Announcement) {
        self.apply_announcement(&announcement);
        let subsets = self.subsets.read();
        match &announcement {
            Announcement::RequestSent(RequestSent { replica, .. })
            | Announcement::PrefillDone(RequestRef { replica, .. })
            | Announcement::Cancelled(RequestRef { replica, .. }) => {
                self.gossip.send(subsets.peers_serving(*replica), &announcement);
            }
            Announcement::PartsCached(kept) => self.gossip.send(subsets.peers_not_serving(kept.replica), &announcement),
            Announcement::LinkOccupied(moved) => {
                let (few, times) = subsets.sample(hash::unique_id());
                let took_us = (f64::from(moved.took_us) * times).min(f64::from(u32::MAX)) as u32;
                self.gossip.send(&few, &Announcement::LinkOccupied(LinkOccupied { link: moved.link, took_us }));
            }
        }
    }

    /// Applies what this router or another one announced.
    pub(crate) fn apply_announcement(&self, announcement: &Announcement) {
        let now = self.now();
        match announcement {
            Announcement::RequestSent(sent) => {
                let prompt = InFlightPrompt {
                    prefill_time: Duration::from_micros(sent.work_us.into()),
                    tokens: sent.tokens.into(),
                    parts: sent.parts.items().to_vec(),
                };
                self.recent_prompts().record_sent(now, sent.replica, &prompt.parts);
                self.in_flight().add(now, sent.replica, sent.id, prompt);
            }
            Announcement::PrefillDone(request) => {
                let prompt = self.in_flight().finish_prefill(now, request.replica, request.id);
                if let Some(prompt) = prompt {
                    self.recent_prompts().record_prefilled(now, request.replica, &prompt.parts);
                }
            }
            Announcement::Cancelled(request) => {
                let prompt = self.in_flight().withdraw(now, request.replica, request.id);
                if let Some(prompt) = prompt {
                    self.recent_prompts().withdraw(now, request.replica, &prompt.parts);
                }
            }
            Announcement::PartsCached(cached) => {
                self.recent_prompts().record_prefilled(now, cached.replica, cached.parts.items());
            }
            Announcement::LinkOccupied(link) => {
                self.link_backlogs().add(now, link.link, Duration::from_micros(link.took_us.into()));
            }
        }
    }

    /// Records that a request has ended at a replica.
    pub(crate) fn record_ended(&self, replica: &str) {
        if let Some(load) = self.local_loads().get_mut(replica) {
            load.running = load.running.saturating_sub(1);
        }
    }

    /// Records how many requests a replica said it has running and waiting.
    pub(crate) fn record_reported_load(&self, replica: &str, requests: u64) {
        let now = self.now();
        let mut all = self.local_loads();
        let load = all.entry(replica.to_string()).or_default();
        load.reported = Some(ReportedLoad { requests, at: now });
        load.sent_since_report = 0;
    }

    /// Queues a transfer for its audit; where too many wait, it is not audited.
    pub(crate) fn enqueue_audit(&self, attempt: TransferAttempt) {
        self.transfer_attempts.push(attempt);
    }
}
