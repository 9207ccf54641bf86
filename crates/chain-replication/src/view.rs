//! Views: who is in the chain, who votes on the next view, and who is a spare.
use crate::ballot::Ballot;
use fleet_common::{List, Text};
use std::net::SocketAddr;

/// A chain is never meant to be shorter than this.
const MIN_TARGET_LENGTH: u32 = 3;

fleet_common::messages! {
    /// A control replica as a member of views: a machine with one disk. An emptied disk is another member.
    pub struct Member {
        /// The id of the machine.
        pub id: u32,
        /// Drawn when the disk was formatted.
        pub incarnation: u64,
    }

    /// Where a control machine is reached, each an IP and port: by other control replicas, by nodes, by operators.
    pub struct MemberAddress {
        /// The id of the machine.
        pub id: u32,
        /// For other control replicas.
        pub peers: Text,
        /// For nodes.
        pub nodes: Text,
        /// For operators, over HTTP.
        pub operators: Text,
    }

    /// A view on which the voters of the view before agreed. Number 0 stands for none.
    pub struct View {
        /// Rises by one from view to view.
        pub number: u64,
        /// How long chain and list of voters are meant to be.
        pub target_length: u32,
        /// No shorter chain is ever agreed on: what it acknowledged could be lost with the disks of so many.
        pub min_chain_length: u32,
        /// From the head to the tail.
        pub chain: List<Member>,
        /// Who decides on the next view.
        pub voters: List<Member>,
        /// Who learns from the tail and may be let into the chain.
        pub spares: List<Member>,
        /// The control machines, whether or not they are members.
        pub addresses: List<MemberAddress>,
    }

    /// A next view that was accepted under a ballot.
    pub struct AcceptedView {
        /// The ballot under which it was accepted.
        pub ballot: Ballot,
        /// The view.
        pub view: View,
    }
}

impl MemberAddress {
    /// Reads `id@peers/nodes/operators`, each an IP and port.
    /// ```
    /// use chain_replication::view::MemberAddress;
    /// assert_eq!(MemberAddress::parse("2@127.0.0.1:1/127.0.0.1:2/127.0.0.1:3").unwrap().id, 2);
    /// assert!(MemberAddress::parse("2@127.0.0.1:1").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (id, addresses) = text.trim().split_once('@')?;
        let addresses: Vec<&str> = addresses.split('/').collect();
        let [peers, nodes, operators] = addresses.as_slice() else { return None };
        let is_address = |address: &str| address.parse::<SocketAddr>().is_ok();
        if !is_address(peers) || !is_address(nodes) || !is_address(operators) {
            return None;
        }
        Some(MemberAddress {
            id: id.parse().ok()?,
            peers: (*peers).into(),
            nodes: (*nodes).into(),
            operators: (*operators).into(),
        })
    }
}

impl View {
    /// The view of a replica with an empty disk: nobody is in it.
    pub fn outside(addresses: Vec<MemberAddress>) -> Self {
        View {
            number: 0,
            target_length: 0,
            min_chain_length: 0,
            chain: vec![].into(),
            voters: vec![].into(),
            spares: vec![].into(),
            addresses: addresses.into(),
        }
    }

    /// The first view of a fleet, wide enough that `tolerance` machines may be lost at once with their disks: the first
    /// machines are the chain, the rest spares, all of incarnation 1.
    pub fn founding(addresses: Vec<MemberAddress>, tolerance: u32) -> Self {
        let target_length = (2 * tolerance + 1).max(MIN_TARGET_LENGTH);
        let members = addresses.iter().map(|address| Member { id: address.id, incarnation: 1 });
        let mut chain: Vec<Member> = members.collect();
        let spares = chain.split_off(chain.len().min(target_length as usize));
        View {
            number: 1,
            target_length,
            min_chain_length: (tolerance + 1).min(addresses.len() as u32),
            voters: chain.clone().into(),
            chain: chain.into(),
            spares: spares.into(),
            addresses: addresses.into(),
        }
    }

    /// The first in the chain, which takes commands.
    pub fn head(&self) -> Option<&Member> {
        self.chain.items().first()
    }

    /// The last in the chain, which answers reads.
    pub fn tail(&self) -> Option<&Member> {
        self.chain.items().last()
    }

    /// A member's position in the chain; the head's is 0.
    pub fn position(&self, member: &Member) -> Option<usize> {
        self.chain.items().iter().position(|other| other == member)
    }

    /// Whether a member is in the chain or a spare.
    pub fn contains(&self, member: &Member) -> bool {
        self.position(member).is_some() || self.spares.items().contains(member)
    }

    /// Whether a member votes on the next view.
    pub fn is_voter(&self, member: &Member) -> bool {
        self.voters.items().contains(member)
    }

    /// Where a control machine is reached, if this view lists it.
    pub fn address(&self, id: u32) -> Option<&MemberAddress> {
        self.addresses.items().iter().find(|address| address.id == id)
    }

    /// How many votes decide: a majority of the voters.
    pub fn majority(&self) -> usize {
        self.voters.items().len() / 2 + 1
    }

    /// One line for logs and operators.
    pub fn summary(&self) -> String {
        let ids = |members: &List<Member>| {
            let ids: Vec<String> = members.items().iter().map(|member| member.id.to_string()).collect();
            ids.join(" ")
        };
        format!("view {} chain [{}] spares [{}]", self.number, ids(&self.chain), ids(&self.spares))
    }
}
