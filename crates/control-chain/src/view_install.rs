//! Taking on a view: what of the own past stays, what must be fetched anew.
use crate::core::{Core, Record};
use crate::state::State;
use crate::steps::After;
use crate::view::View;
use fleet_common::ask::Answer;

impl Core {
    pub(crate) fn install(&mut self, view: View) {
        if view.n <= self.meta.view.n {
            return;
        }
        let old = std::mem::replace(&mut self.meta.view, view);
        let view = &self.meta.view;
        let next = view.n == old.n + 1;
        let (was, is) = (old.place(&self.me), view.place(&self.me));
        // One that now follows whom it led may hold entries that its new leader never had.
        let follows_a_follower = was.zip(is).is_some_and(|(was, is)| {
            view.chain.items()[..is].iter().any(|m| old.place(m).is_some_and(|place| place > was))
        });
        let demoted = (was.is_some() && is.is_none()) || follows_a_follower;
        let same_past = next && old.holds(&self.me) && !demoted;
        let member = view.holds(&self.me);
        self.meta.full = (same_past && was.is_some() && is.is_some() && self.meta.full == 1).into();
        self.meta.promised = 0;
        self.meta.accepted = vec![].into();
        let words = view.words();
        self.note(format!("installs {words}"));
        let mut records = vec![Record::Meta(self.meta.clone())];
        if member && !same_past {
            self.forget_past();
            records.insert(0, Record::Wipe);
        }
        self.keep(records, After::Nothing);
        self.settle_in();
    }

    /// The disk's past may not be the chain's past: start from nothing and fetch all of it.
    fn forget_past(&mut self) {
        self.state = State::default();
        self.log.clear();
        self.capture = (0, self.state.pack().into());
        (self.last, self.synced, self.committed, self.sent_on) = (0, 0, 0, 0);
        self.capturing = false;
        for (_, _, after) in &mut self.tickets {
            if matches!(after, After::Entries(_) | After::Captured(..)) {
                *after = After::Nothing;
            }
        }
    }

    fn settle_in(&mut self) {
        self.drop_chores();
        self.strangers.retain(|id, (_, at)| self.meta.view.at(*id) != Some(at));
        self.proposal = None;
        self.held_prepare = None;
        self.trouble_since = None;
        self.prepare_heard = None;
        self.grants.clear();
        self.tail_since = self.now;
        self.sent_on = self.synced;
        if let Some((token, wanted)) = self.wanted_cores.take() {
            if wanted == self.meta.view.cores.items() {
                let n = self.meta.view.n;
                self.answer_json(
                    token,
                    format!("{{\"code\":202,\"source\":\"cores\",\"version\":{n},\"detail\":\"list replaced\"}}"),
                );
            } else if self.is_head() {
                self.wanted_cores = Some((token, wanted));
            } else {
                self.answer(token, Answer::Refused("unknown".into()));
            }
        }
        if self.place().is_none() || !self.is_head() {
            self.give_up_waiting();
        }
        if self.is_head() {
            self.apply_all();
        }
        self.send_parked_elsewhere();
        self.note_commits();
        self.beat_all();
    }

    /// A new head applies what it holds, synced or not, before it takes commands.
    fn apply_all(&mut self) {
        let synced = std::mem::replace(&mut self.synced, self.last);
        self.catch_state_up();
        self.synced = synced;
    }
}
