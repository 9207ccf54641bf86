//! The tail's term: a majority of voters agrees to choose no next view for a while, counted by the
//! tail from when it asked.
use crate::core::{Core, TAIL_TERM};
use crate::message::{Chain, Term};
use crate::view::Member;
use std::time::Duration;

const GRANT_MARGIN: Duration = Duration::from_millis(50);

impl Core {
    pub(crate) fn ask_term(&mut self) {
        let last = self.grants.get(&self.me.id).copied();
        if last.is_some_and(|at| self.now.saturating_sub(at) < TAIL_TERM / 4) {
            return;
        }
        self.grants.insert(self.me.id, self.now);
        let term = Term { view: self.meta.view.n, sent_us: self.now.as_micros() as u64 };
        for voter in self.meta.view.voters.clone().into_items() {
            if voter != self.me {
                self.send(voter.id, Chain::TermAsk(term.clone()));
            }
        }
    }

    pub(crate) fn on_term_ask(&mut self, from: u32, term: Term) {
        let tail = self.meta.view.chain.items().last().map(|m| m.id);
        let free = self.meta.promised == 0 && self.held_prepare.is_none() && !self.sick;
        if term.view == self.meta.view.n && tail == Some(from) && self.votes(&self.me) && free {
            self.granted_until = self.granted_until.max(self.now + TAIL_TERM + GRANT_MARGIN);
            self.send(from, Chain::TermGrant(term));
        }
    }

    pub(crate) fn on_term_grant(&mut self, from: u32, incarnation: u64, term: Term) {
        if term.view == self.meta.view.n && self.votes(&Member { id: from, incarnation }) {
            let sent = Duration::from_micros(term.sent_us);
            let held = self.grants.entry(from).or_default();
            *held = (*held).max(sent);
        }
    }

    /// Whether this core is the tail and a majority has agreed to choose no view without it yet.
    pub(crate) fn holds_term(&self) -> bool {
        if !self.is_tail() || self.meta.promised != 0 || self.sick {
            return false;
        }
        let own = usize::from(self.votes(&self.me));
        let fresh = |sent: &Duration| self.now < *sent + TAIL_TERM;
        let others = self.grants.iter().filter(|(id, sent)| **id != self.me.id && fresh(sent)).count();
        own + others >= self.meta.view.majority()
    }
}
