//! Signs of life between cores, and where each message goes.
use crate::command::Envelope;
use crate::core::{BEAT, Core, Record, STALL};
use crate::message::{Ack, Beat, Chain, Condition, Sent};
use crate::steps::{After, Heard};
use crate::view::Member;

impl Core {
    pub(crate) fn stalled(&self) -> bool {
        self.tickets.front().is_some_and(|(_, since, _)| self.now.saturating_sub(*since) > STALL)
    }

    pub(crate) fn tick(&mut self) {
        let stalled = self.stalled();
        if stalled && !std::mem::replace(&mut self.stall_told, stalled) && !self.sick {
            self.note("own disk stalled: leaving the chain".into());
        }
        self.stall_told = stalled;
        if self.last_beat.is_none_or(|at| self.now.saturating_sub(at) >= BEAT) {
            self.last_beat = Some(self.now);
            self.beat_all();
        }
        if !self.waiting.is_empty() && !self.hears_majority() {
            self.give_up_waiting();
        }
        self.agree_tick();
        self.answer_tick();
        self.chores_tick();
    }

    fn condition(&self) -> Condition {
        if self.leaving {
            Condition::Leaving
        } else if self.sick || self.stalled() {
            Condition::DiskTrouble
        } else if !self.hears_majority() {
            Condition::Isolated
        } else {
            Condition::Fit
        }
    }

    fn own_beat(&self) -> Beat {
        Beat {
            view: self.meta.view.n,
            seq: self.synced,
            committed: self.committed,
            full: self.meta.full,
            condition: self.condition(),
        }
    }

    pub(crate) fn beat_all(&mut self) {
        let beat = self.own_beat();
        let known = self.known();
        self.greet(&known);
        for to in known {
            self.send(to, Chain::Beat(beat.clone()));
        }
    }

    pub(crate) fn on_beat(&mut self, from: u32, incarnation: u64, beat: Beat) {
        let heard = Heard { at: self.now, incarnation, beat: beat.clone() };
        let before = self.heard.insert(from, heard).map(|h| h.beat.seq);
        let view = self.meta.view.n;
        if beat.view < view {
            return self.send(from, Chain::ViewIs(self.meta.view.clone()));
        }
        if beat.view > view && self.own.is_some() && self.meta.view.at(from).is_none() {
            // A stranger knows a newer view: this sign of life has it tell.
            let own = self.own_beat();
            return self.send(from, Chain::Beat(own));
        }
        if beat.view > view || !self.meta.view.holds(&Member { id: from, incarnation }) {
            return;
        }
        if self.leader() == Some(from)
            && self.meta.full == 0
            && self.place().is_some()
            && beat.full == 1
            && self.synced >= beat.seq
        {
            self.meta.full = 1;
            let meta = self.meta.clone();
            self.keep(vec![Record::Meta(meta)], After::Nothing);
            self.note(format!("caught up at {}", self.synced));
            self.note_commits();
        }
        if self.followers().contains(&from) {
            self.on_ack(from, Ack { view, seq: beat.committed });
            let stuck = before.is_none_or(|seq| seq == beat.seq);
            if beat.seq < self.synced && stuck && self.meta.full == 1 {
                self.send_lacked(from, beat.seq + 1);
            }
        }
    }

    pub(crate) fn on_heard(&mut self, sent: Sent) {
        let Sent { from, incarnation, message } = sent;
        match message {
            Chain::Beat(beat) => self.on_beat(from, incarnation, beat),
            Chain::Hello(at) => self.on_hello(from, at),
            Chain::ViewIs(view) => self.install(view),
            Chain::Prepare(prepare) => self.on_prepare(from, incarnation, prepare),
            Chain::Promise(promise) => self.on_promise(from, incarnation, promise),
            Chain::Accept(accept) => self.on_accept(from, accept),
            Chain::Vote(vote) => self.on_vote(from, incarnation, vote),
            Chain::Append(append) => self.on_append(from, append),
            Chain::Capture(capture) => self.on_capture(from, capture),
            Chain::Ack(ack) => self.on_ack(from, ack),
            Chain::TermAsk(term) => self.on_term_ask(from, term),
            Chain::TermGrant(term) => self.on_term_grant(from, incarnation, term),
            Chain::Command(bytes) => {
                if let (true, Some(envelope)) =
                    (self.is_head() && !self.sick && !self.overfull(), Envelope::unpack(bytes.as_slice()))
                {
                    self.take_command(None, &envelope);
                }
            }
        }
    }
}
