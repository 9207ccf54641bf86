//! An order of the chain in which neighbours hear one another: where a link between two members fails, the chain goes on
//! without that link, and only where it must without a member.
use crate::view::Member;

/// Members that may be in the next chain, and what is known of the links between them.
pub struct OrderSearch<'a, IsLinked: Fn(u32, u32) -> bool> {
    /// The preferred ones first, in the preferred order.
    pub candidates: &'a [Member],
    /// Members that hold all entries: one of them is the head.
    pub complete: &'a [Member],
    /// Whether two replicas, by their ids, hear one another.
    pub is_linked: IsLinked,
}

impl<IsLinked: Fn(u32, u32) -> bool> OrderSearch<'_, IsLinked> {
    /// The longest chain of at most `longest` and at least `shortest` members in which neighbours hear one another and
    /// each hears a majority of the chain. Of several, the one that is nearest to the preferred order from the head on.
    pub fn find(&self, longest: usize, shortest: usize) -> Option<Vec<Member>> {
        let longest = longest.min(self.candidates.len());
        (shortest.max(1)..=longest).rev().find_map(|length| self.extend(&mut Vec::new(), length))
    }

    /// Whether this is such a chain.
    pub fn accepts(&self, chain: &[Member]) -> bool {
        let neighbours_hear = chain.windows(2).all(|pair| (self.is_linked)(pair[0].id, pair[1].id));
        neighbours_hear && chain.iter().all(|member| self.hears_majority(member, chain))
    }

    fn extend(&self, chain: &mut Vec<Member>, length: usize) -> Option<Vec<Member>> {
        if chain.len() == length {
            return self.accepts(chain).then(|| chain.clone());
        }
        for candidate in self.candidates {
            if chain.contains(candidate) || !self.may_follow(chain.last(), candidate) {
                continue;
            }
            chain.push(candidate.clone());
            let found = self.extend(chain, length);
            chain.pop();
            if found.is_some() {
                return found;
            }
        }
        None
    }

    fn may_follow(&self, last: Option<&Member>, candidate: &Member) -> bool {
        match last {
            Some(last) => (self.is_linked)(last.id, candidate.id),
            None => self.complete.contains(candidate),
        }
    }

    /// The members of the chain vote. One that hears no majority of them would leave the chain again.
    fn hears_majority(&self, member: &Member, chain: &[Member]) -> bool {
        let is_reachable = |other: &&Member| *other == member || (self.is_linked)(member.id, other.id);
        chain.iter().filter(is_reachable).count() > chain.len() / 2
    }
}
