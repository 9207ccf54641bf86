//! How control replicas come to know of each other without an operator. A replica that its view does not list, or that
//! hears no majority of the voters, announces to everyone it knows of where it is reached; the members of the view keep
//! such announcements and may list the replica in a next view.
use crate::timing::FAILURE_TIMEOUT;
use crate::view::{MemberAddress, View};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// So many unlisted replicas are remembered at the most.
const MAX_UNLISTED: usize = 64;
/// Each so many rounds of heartbeats, a listed replica that is not heard is told the view: it may know nobody.
const NEW_VIEW_PERIOD: u64 = 8;

#[derive(Clone, Hash)]
struct Announcement {
    received_at: Duration,
    address: MemberAddress,
}

/// What a replica knows of others beside the view.
#[derive(Clone)]
pub struct Discovery {
    /// The replicas known beforehand, from settings.
    seeds: Vec<MemberAddress>,
    /// Where this replica is reached, if replicas announce themselves.
    own_address: Option<MemberAddress>,
    /// Others that announced themselves lately and are in no list.
    unlisted: BTreeMap<u32, Announcement>,
    heartbeat_rounds: u64,
}

impl Discovery {
    /// Knows of these replicas, and neither announces itself nor takes announcements.
    pub fn new(seeds: Vec<MemberAddress>) -> Self {
        Discovery { seeds, own_address: None, unlisted: BTreeMap::new(), heartbeat_rounds: 0 }
    }

    /// Announces this replica, and takes announcements, from now on.
    pub fn enable(&mut self, own_address: MemberAddress) {
        self.own_address = Some(own_address);
    }

    /// Whether replicas announce themselves.
    pub fn is_enabled(&self) -> bool {
        self.own_address.is_some()
    }

    /// Where a replica is reached: as it announced itself, as the view has it, or as was known beforehand.
    pub fn address<'a>(&'a self, view: &'a View, id: u32) -> Option<&'a MemberAddress> {
        let own = self.own_address.as_ref().filter(|own| own.id == id);
        let announced = || self.unlisted.get(&id).map(|announcement| &announcement.address);
        let seeded = || self.seeds.iter().find(|seed| seed.id == id);
        own.or_else(announced).or_else(|| view.address(id)).or_else(seeded)
    }

    /// A replica announced itself. One that the view lists at this address is no longer unlisted.
    pub fn record_announcement(&mut self, now: Duration, view: &View, from: u32, address: MemberAddress) {
        if !self.is_enabled() || address.id != from {
            return;
        }
        if view.address(from) == Some(&address) {
            self.unlisted.remove(&from);
            return;
        }
        if self.unlisted.len() >= MAX_UNLISTED && !self.unlisted.contains_key(&from) {
            self.forget_oldest();
        }
        self.unlisted.insert(from, Announcement { received_at: now, address });
    }

    fn forget_oldest(&mut self) {
        let oldest = self.unlisted.iter().min_by_key(|(_, announcement)| announcement.received_at);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.unlisted.remove(&id);
        }
    }

    /// Another view holds: what it lists is no longer unlisted.
    pub fn forget_listed(&mut self, view: &View) {
        self.unlisted.retain(|id, announcement| view.address(*id) != Some(&announcement.address));
    }

    /// The replicas that announced themselves lately.
    pub fn recently_announced(&self, now: Duration) -> impl Iterator<Item = &MemberAddress> {
        let is_recent =
            move |announcement: &&Announcement| now.saturating_sub(announcement.received_at) < FAILURE_TIMEOUT;
        self.unlisted.values().filter(is_recent).map(|announcement| &announcement.address)
    }

    /// The announcement to send, if one is needed: the view does not list this replica at its address, or it hears no
    /// majority.
    pub fn announcement(&self, view: &View, me: u32, hears_majority: bool) -> Option<&MemberAddress> {
        self.own_address.as_ref().filter(|own| view.address(me) != Some(own) || !hears_majority)
    }

    /// Whom to send heartbeats: everyone that the view lists, and the seeds while this replica announces itself.
    pub fn known_peers(&self, view: &View, me: u32, hears_majority: bool) -> BTreeSet<u32> {
        let mut known: BTreeSet<u32> = view.addresses.items().iter().map(|address| address.id).collect();
        if self.announcement(view, me, hears_majority).is_some() {
            known.extend(self.seeds.iter().map(|seed| seed.id));
        }
        known.remove(&me);
        known
    }

    /// Counts a round of heartbeats: whether replicas that are not heard are told the view in this one.
    pub fn count_heartbeat_round(&mut self) -> bool {
        self.heartbeat_rounds += 1;
        self.heartbeat_rounds.is_multiple_of(NEW_VIEW_PERIOD)
    }

    /// Feeds what decides later steps to `hasher`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        for (id, announcement) in &self.unlisted {
            let age = crate::fingerprint::age(now, announcement.received_at, FAILURE_TIMEOUT);
            (id, age, &announcement.address).hash(hasher);
        }
        (&self.own_address, &self.seeds).hash(hasher);
        if self.is_enabled() {
            (self.heartbeat_rounds % NEW_VIEW_PERIOD).hash(hasher);
        }
    }
}
