//! Which next view would suit what is known now: a pure function of [`Observations`].
//!
//! A machine that comes is a spare first: it learns from the tail, and is let into the chain, with a vote, once it has
//! caught up. One that is told to stop stays until enough others hold all that it holds. So the chain never has fewer
//! complete members than the view demands, unless disks are lost.
//!
//! A member counts as alive if this replica hears it, or somebody that reports whom it hears does. Neighbours in the chain
//! have to hear one another in both directions: where a link fails, the order changes, and a member goes only if no order
//! of all is left.
use crate::chain_order::OrderSearch;
use crate::discovery::Discovery;
use crate::failure_detector::{FailureDetector, PeerStatus, is_recent};
use crate::link_reports::LinkReports;
use crate::message::Condition;
use crate::timing::{FAILURE_TIMEOUT, LINK_FAULT_TIMEOUT, UNLIST_TIMEOUT};
use crate::view::{Member, MemberAddress, View};
use std::time::Duration;

/// A spare that lacks no more entries than this counts as caught up.
const CAUGHT_UP_ENTRIES: u64 = 256;

/// What a replica knows when it judges who is alive and what the next view should be.
pub struct Observations<'a> {
    /// By this replica's clock.
    pub now: Duration,
    /// This replica.
    pub me: &'a Member,
    /// The view that holds here, and since when.
    pub view: &'a View,
    /// Since when the view holds here.
    pub view_since: Duration,
    /// What this replica says of itself in heartbeats.
    pub own_condition: Condition,
    /// Whether this replica itself holds all entries of its view, also by its disk.
    pub holds_all: bool,
    /// Whether it holds all that was acknowledged, so that it may lead where nobody is left that holds all.
    pub holds_acknowledged: bool,
    /// The number of the last entry that is synced here.
    pub synced: u64,
    /// The heartbeats of the others.
    pub peers: &'a FailureDetector,
    /// Since when this replica has received heartbeats without a pause.
    pub listening_since: Duration,
    /// Whom the others hear.
    pub links: &'a LinkReports,
    /// Who announced themselves.
    pub discovery: &'a Discovery,
    /// The list of control machines that an operator asked for.
    pub requested_addresses: Option<&'a [MemberAddress]>,
}

/// Who may be in the next chain, as far as they are alive, each in the order of the present view.
struct Candidates {
    /// Members of the chain that hold all entries.
    complete: Vec<Member>,
    /// Those of them that were not told to stop.
    staying: Vec<Member>,
    /// Members of the chain that are still catching up.
    learning: Vec<Member>,
    /// Spares that have caught up.
    ready: Vec<Member>,
    /// Spares and unlisted replicas that have not.
    behind: Vec<Member>,
}

/// Two replicas whose link fails in one direction or both, the lower id first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FaultyLink(pub u32, pub u32);

impl Candidates {
    /// The next chain: members that hold all keep their order, as the others may have to fetch entries from them. While
    /// members that leave wait for their successors, the chain is longer by them.
    fn chain(self, target_length: usize, min_length: usize) -> Vec<Member> {
        let staying = self.staying.len() + self.learning.len();
        let are_replaced = staying + self.ready.len() >= target_length || self.behind.is_empty();
        let may_leave = are_replaced && self.staying.len() >= min_length;
        let mut chain = if may_leave { self.staying } else { self.complete };
        chain.extend(self.learning);
        chain.extend(self.ready.into_iter().take(target_length.saturating_sub(staying)));
        // Where too few are left that hold all, the chain waits for one that is still behind.
        let missing = min_length.saturating_sub(chain.len());
        chain.extend(self.behind.into_iter().take(missing));
        chain
    }
}

impl Observations<'_> {
    /// The newest heartbeat of a replica, heard here or by another that reports it.
    fn status(&self, id: u32) -> Option<&PeerStatus> {
        let relayed = self.links.relayed_status(self.now, id);
        self.peers.status(id).into_iter().chain(relayed).max_by_key(|peer| peer.last_received_at)
    }

    fn condition(&self, member: &Member) -> Option<Condition> {
        if member == self.me {
            return Some(self.own_condition.clone());
        }
        let peer = self.status(member.id)?;
        let is_this_member = peer.incarnation == member.incarnation && is_recent(self.now, peer);
        is_this_member.then(|| peer.heartbeat.condition.clone())
    }

    /// Whether no heartbeat of `sender` reached `receiver` for so long that their link counts as faulty: others received
    /// those of the one all the while, and the other received those of others. So no link is to blame for a replica that stood still.
    fn misses(&self, receiver: u32, sender: u32) -> bool {
        let (Some(last_received_at), Some(reachable_since)) =
            (self.last_received_at(receiver, sender), self.received_by_others_since(receiver, sender))
        else {
            return false;
        };
        let unreachable_since = last_received_at.max(reachable_since).max(self.listening_since(receiver));
        self.now.saturating_sub(unreachable_since) >= LINK_FAULT_TIMEOUT
    }

    /// Since when somebody other than `receiver` has received heartbeats of `sender` without a pause. A replica reaches itself.
    fn received_by_others_since(&self, receiver: u32, sender: u32) -> Option<Duration> {
        let by_me = match (receiver == self.me.id, sender == self.me.id) {
            (true, _) => None,
            (false, true) => Some(self.listening_since),
            (false, false) => self.peers.recent_since(self.now, sender),
        };
        self.links.received_since(self.now, receiver, sender).chain(by_me).min()
    }

    /// When the last heartbeat of `sender` reached `receiver`; zero for never, and none where `receiver` did not say.
    fn last_received_at(&self, receiver: u32, sender: u32) -> Option<Duration> {
        let peers = if receiver == self.me.id { Some(self.peers) } else { self.links.peers_of(self.now, receiver) };
        peers.map(|peers| peers.status(sender).map_or(Duration::ZERO, |peer| peer.last_received_at))
    }

    fn listening_since(&self, id: u32) -> Duration {
        if id == self.me.id {
            return self.listening_since;
        }
        self.links.listening_since(self.now, id).unwrap_or_default()
    }

    fn is_linked(&self, one: u32, other: u32) -> bool {
        !self.misses(one, other) && !self.misses(other, one)
    }

    /// The links between members of the view that fail though both ends reach somebody.
    pub fn faulty_links(&self) -> Vec<FaultyLink> {
        let view = self.view;
        let members = view.chain.items().iter().chain(view.spares.items());
        let is_reachable = |member: &&Member| self.condition(member).is_some();
        self.faulty_links_among(members.filter(is_reachable).map(|member| member.id).collect())
    }

    /// The faulty ones of all links between replicas with these ids, in order.
    fn faulty_links_among(&self, mut ids: Vec<u32>) -> Vec<FaultyLink> {
        if self.links.is_empty(self.now) {
            return Vec::new();
        }
        ids.sort();
        let pairs = ids.iter().enumerate().flat_map(|(at, one)| ids[at + 1..].iter().map(|other| (*one, *other)));
        pairs.filter(|(one, other)| !self.is_linked(*one, *other)).map(|(one, other)| FaultyLink(one, other)).collect()
    }

    /// Whether a link fails over which entries or acknowledgements of the present chain have to go.
    pub fn chain_is_broken(&self) -> bool {
        let is_broken = |pair: &[Member]| !self.is_linked(pair[0].id, pair[1].id);
        !self.links.is_empty(self.now) && self.view.chain.items().windows(2).any(is_broken)
    }

    /// Whether a member was heard lately and can do its part.
    pub fn is_alive(&self, member: &Member) -> bool {
        match self.condition(member) {
            // What this replica hears itself says more than what others say of themselves.
            Some(Condition::Isolated) => member == self.me,
            Some(Condition::Healthy | Condition::Leaving) => true,
            Some(Condition::DiskFault) | None => false,
        }
    }

    /// Whether a member says that it holds all entries of this view.
    pub fn is_complete(&self, member: &Member) -> bool {
        if member == self.me {
            return self.holds_all;
        }
        let says_so = |peer: &PeerStatus| peer.heartbeat.view == self.view.number && peer.heartbeat.holds_all;
        self.status(member.id).is_some_and(says_so)
    }

    /// How many members of the chain are alive and hold all entries. One loss is survived while there are two.
    pub fn complete_members(&self) -> usize {
        let chain = self.view.chain.items().iter();
        chain.filter(|member| self.is_alive(member) && self.is_complete(member)).count()
    }

    fn has_caught_up(&self, spare: &Member) -> bool {
        let is_close = || {
            let peer = self.status(spare.id);
            peer.is_some_and(|peer| self.synced.saturating_sub(peer.heartbeat.synced.seq) <= CAUGHT_UP_ENTRIES)
        };
        (spare == self.me || is_close()) && self.is_complete(spare)
    }

    /// The list of control machines of the next view: as an operator wants it, or with those that announced themselves
    /// and without those that are of no use and no longer heard.
    fn next_addresses(&self) -> Vec<MemberAddress> {
        if let Some(requested) = self.requested_addresses {
            return requested.to_vec();
        }
        let mut addresses = self.view.addresses.items().to_vec();
        if !self.discovery.is_enabled() {
            return addresses;
        }
        for announced in self.discovery.recently_announced(self.now) {
            match addresses.iter_mut().find(|address| address.id == announced.id) {
                Some(listed) => *listed = announced.clone(),
                None => addresses.push(announced.clone()),
            }
        }
        addresses.retain(|address| self.stays_listed(address.id));
        addresses
    }

    fn stays_listed(&self, id: u32) -> bool {
        let members = [&self.view.chain, &self.view.voters];
        let is_of_use = members.iter().any(|list| list.items().iter().any(|member| member.id == id));
        let last_received_at =
            self.status(id).map_or(self.view_since, |peer| peer.last_received_at.max(self.view_since));
        is_of_use || id == self.me.id || self.now.saturating_sub(last_received_at) < UNLIST_TIMEOUT
    }

    /// Those of a list that are alive, as the members that they are now.
    fn alive_among(&self, addresses: &[MemberAddress]) -> Vec<Member> {
        let member = |address: &MemberAddress| {
            if address.id == self.me.id {
                return Some(self.me.clone());
            }
            let incarnation = self.status(address.id)?.incarnation;
            Some(Member { id: address.id, incarnation })
        };
        addresses.iter().filter_map(member).filter(|member| self.is_alive(member)).collect()
    }

    /// Whether this replica may lead though it does not hold all: nobody that does has shown in this view for long enough.
    fn may_lead(&self) -> bool {
        self.holds_acknowledged && self.now.saturating_sub(self.view_since) >= FAILURE_TIMEOUT
    }

    fn candidates(&self, alive: &[Member]) -> Candidates {
        let view = self.view;
        let is_leaving = |member: &Member| self.condition(member) == Some(Condition::Leaving);
        let chain = view.chain.items().iter().filter(|member| alive.contains(member)).cloned();
        let (mut complete, mut learning): (Vec<Member>, Vec<Member>) =
            chain.partition(|member| self.is_complete(member));
        if complete.is_empty() && self.may_lead() {
            complete.extend(learning.extract_if(.., |member| member == self.me));
        }
        let staying = complete.iter().filter(|member| !is_leaving(member)).cloned().collect();
        let spares = alive.iter().filter(|member| view.spares.items().contains(member) && !is_leaving(member));
        let (ready, mut behind): (Vec<Member>, Vec<Member>) =
            spares.cloned().partition(|member| self.has_caught_up(member));
        behind.extend(alive.iter().filter(|member| !view.contains(member) && !is_leaving(member)).cloned());
        let learning = learning.into_iter().filter(|member| !is_leaving(member)).collect();
        Candidates { complete, staying, learning, ready, behind }
    }

    /// This chain, or where neighbours in it do not hear one another, the longest that can do without such links; none
    /// where it would be too short.
    fn linked_chain(&self, chain: Vec<Member>, complete: &[Member], ready: &[Member]) -> Option<Vec<Member>> {
        let spare = ready.iter().filter(|member| !chain.contains(member));
        let candidates: Vec<Member> = chain.iter().chain(spare).cloned().collect();
        let faulty = self.faulty_links_among(candidates.iter().map(|member| member.id).collect());
        let is_linked = |one: u32, other: u32| !faulty.contains(&FaultyLink(one.min(other), one.max(other)));
        let search = OrderSearch { candidates: &candidates, complete, is_linked };
        if faulty.is_empty() || search.accepts(&chain) {
            return Some(chain);
        }
        search.find(chain.len(), self.view.min_chain_length as usize)
    }

    /// The view that would suit what is known now, if it is another than the one that holds.
    pub fn desired_view(&self) -> Option<View> {
        let view = self.view;
        let min_chain_length = view.min_chain_length as usize;
        let addresses = self.next_addresses();
        let alive = self.alive_among(&addresses);
        let candidates = self.candidates(&alive);
        if candidates.complete.is_empty() {
            return None;
        }
        let newcomers: Vec<Member> =
            candidates.behind.iter().filter(|member| !view.contains(member)).cloned().collect();
        let (complete, ready) = (candidates.complete.clone(), candidates.ready.clone());
        let chain = candidates.chain(view.target_length as usize, min_chain_length);
        if chain.len() < min_chain_length {
            return None;
        }
        let chain = self.linked_chain(chain, &complete, &ready)?;
        let selection = Selection { addresses: &addresses, alive: &alive, chain: &chain };
        let spares = selection.next_spares(view, newcomers);
        let voters = selection.next_voters(view);
        let next = View {
            number: view.number + 1,
            chain: chain.into(),
            voters: voters.into(),
            spares: spares.into(),
            addresses: addresses.into(),
            ..view.clone()
        };
        let is_same = next.chain == view.chain && next.spares == view.spares && next.addresses == view.addresses;
        (!is_same).then_some(next)
    }
}

/// What is settled of the next view when its spares and voters are chosen.
struct Selection<'a> {
    addresses: &'a [MemberAddress],
    alive: &'a [Member],
    chain: &'a [Member],
}

impl Selection<'_> {
    fn is_listed(&self, member: &Member) -> bool {
        self.addresses.iter().any(|address| address.id == member.id)
    }

    /// Whether the machine is alive as another member: its disk was emptied.
    fn is_superseded(&self, member: &Member) -> bool {
        self.alive.iter().any(|other| other.id == member.id && other != member)
    }

    fn next_spares(&self, view: &View, newcomers: Vec<Member>) -> Vec<Member> {
        let mut spares: Vec<Member> = view.spares.items().to_vec();
        spares.retain(|spare| self.is_listed(spare) && !self.chain.contains(spare) && !self.is_superseded(spare));
        spares.extend(newcomers.into_iter().filter(|member| !self.chain.contains(member)));
        spares
    }

    /// The chain votes. A voter that is lost keeps its vote only where the others are of even number: it makes their
    /// majority no larger, and may come back.
    fn next_voters(&self, view: &View) -> Vec<Member> {
        let mut voters = self.chain.to_vec();
        for voter in view.voters.items() {
            let has_room = voters.len() < view.target_length as usize && voters.len().is_multiple_of(2);
            if has_room && !voters.contains(voter) && self.is_listed(voter) && !self.is_superseded(voter) {
                voters.push(voter.clone());
            }
        }
        voters
    }
}
