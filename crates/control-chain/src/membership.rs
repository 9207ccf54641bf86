//! Which next view would suit what is heard now.
use crate::core::{Core, SUSPECT};
use crate::message::Condition;
use crate::steps::Heard;
use crate::view::{CoreAt, Member, View};
use std::time::Duration;

/// A core that is neither in the chain nor a voter is listed for so long without being heard.
pub const UNLIST: Duration = Duration::from_secs(10);

impl Core {
    pub(crate) fn votes(&self, member: &Member) -> bool {
        self.meta.view.voters.items().contains(member)
    }

    pub(crate) fn alive(&self, member: &Member) -> bool {
        if *member == self.me {
            return !self.sick;
        }
        let fit = |heard: &Heard| heard.beat.condition == Condition::Fit;
        self.hears(member) && self.heard.get(&member.id).is_some_and(fit)
    }

    /// Whether a member was heard lately, fit or not.
    fn hears(&self, member: &Member) -> bool {
        let fresh =
            |heard: &Heard| heard.incarnation == member.incarnation && self.now.saturating_sub(heard.at) < SUSPECT;
        self.heard.get(&member.id).is_some_and(fresh)
    }

    /// Whether a majority of this view's voters was heard lately. A replica that hears none may have been
    /// left behind by a newer view and can tell nothing.
    pub(crate) fn hears_majority(&self) -> bool {
        let view = &self.meta.view;
        let heard = view.voters.items().iter().filter(|voter| **voter == self.me || self.hears(voter)).count();
        heard >= view.majority()
    }

    pub(crate) fn holds_all(&self, member: &Member) -> bool {
        if *member == self.me {
            return self.meta.full == 1;
        }
        self.heard.get(&member.id).is_some_and(|h| h.beat.view == self.meta.view.n && h.beat.full == 1)
    }

    /// The list of cores to have next: as an operator wants it, or with those that made themselves known
    /// and without those that are of no use and not heard any more.
    fn next_cores(&self) -> Vec<CoreAt> {
        let view = &self.meta.view;
        if let Some((_, wanted)) = &self.wanted_cores {
            return wanted.clone();
        }
        let mut cores = view.cores.items().to_vec();
        if self.own.is_none() {
            return cores;
        }
        let fresh = self.strangers.values().filter(|(at, _)| self.now.saturating_sub(*at) < SUSPECT);
        for (_, place) in fresh {
            match cores.iter_mut().find(|c| c.id == place.id) {
                Some(held) => *held = place.clone(),
                None => cores.push(place.clone()),
            }
        }
        cores.retain(|core| {
            let of_use = [&view.chain, &view.voters].iter().any(|list| list.items().iter().any(|m| m.id == core.id));
            let since = self.heard.get(&core.id).map_or(self.tail_since, |h| h.at.max(self.tail_since));
            of_use || core.id == self.me.id || self.now.saturating_sub(since) < UNLIST
        });
        cores
    }

    /// The view that would suit what is heard now, if it is another than the one that holds.
    pub(crate) fn wish(&self) -> Option<View> {
        let view = &self.meta.view;
        let width = view.width as usize;
        let cores = self.next_cores();
        let listed = |m: &Member| cores.iter().any(|c| c.id == m.id);
        let alive: Vec<Member> = cores
            .iter()
            .filter_map(|c| {
                let incarnation =
                    if c.id == self.me.id { self.me.incarnation } else { self.heard.get(&c.id)?.incarnation };
                Some(Member { id: c.id, incarnation }).filter(|m| self.alive(m))
            })
            .collect();
        // Those known to hold all of this view keep their order; one that has not installed it yet, or
        // is catching up, comes behind them: it may have to fetch everything anew.
        let here = view.chain.items().iter().filter(|m| alive.contains(m)).cloned();
        let (mut chain, behind): (Vec<Member>, Vec<Member>) = here.partition(|m| self.holds_all(m));
        if chain.is_empty() {
            return None;
        }
        chain.extend(behind);
        let spares = view.spares.items();
        let ready = alive.iter().filter(|m| spares.contains(m));
        let outside = alive.iter().filter(|m| !view.holds(m));
        let joiners: Vec<Member> = ready.chain(outside.clone()).cloned().collect();
        for joiner in joiners {
            if chain.len() < width && !chain.contains(&joiner) {
                chain.push(joiner);
            }
        }
        if chain.len() < view.least as usize {
            return None;
        }
        let gone = |m: &Member| alive.iter().any(|a| a.id == m.id && a != m);
        let mut next_spares: Vec<Member> =
            spares.iter().filter(|m| listed(m) && !chain.contains(m) && !gone(m)).cloned().collect();
        next_spares.extend(outside.filter(|m| !chain.contains(m)).cloned());
        // A voter that is lost keeps its vote only where the others are of even number: it makes their
        // majority no larger, and may come back.
        let mut voters = chain.clone();
        for voter in view.voters.items() {
            let room = voters.len() < width && voters.len() % 2 == 0;
            if room && !voters.contains(voter) && listed(voter) && !gone(voter) {
                voters.push(voter.clone());
            }
        }
        let wish = View {
            n: view.n + 1,
            chain: chain.into(),
            voters: voters.into(),
            spares: next_spares.into(),
            cores: cores.into(),
            ..view.clone()
        };
        let same = wish.chain == view.chain && wish.spares == view.spares && wish.cores == view.cores;
        (!same).then_some(wish)
    }
}
