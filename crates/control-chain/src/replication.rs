//! The chain itself: entries go from the head to the tail, each synced before it goes on.
use crate::command::{Command, Envelope, Outcome};
use crate::core::{Core, Record};
use crate::message::{Ack, Append, Capture, Chain};
use crate::state::State;
use crate::steps::After;
use fleet_common::Bytes;

const ENTRIES_A_MESSAGE: usize = 1024;
/// A message takes no further entry beyond so many bytes.
const BYTES_A_MESSAGE: usize = 512 << 10;

impl Core {
    pub(crate) fn place(&self) -> Option<usize> {
        self.meta.view.place(&self.me)
    }

    pub(crate) fn is_head(&self) -> bool {
        self.place() == Some(0) && self.meta.full == 1
    }

    pub(crate) fn is_tail(&self) -> bool {
        self.meta.full == 1 && self.place().is_some_and(|p| p + 1 == self.meta.view.chain.items().len())
    }

    /// Who gets this core's entries: the next in the chain, or from the tail every spare.
    pub(crate) fn followers(&self) -> Vec<u32> {
        let chain = self.meta.view.chain.items();
        match self.place() {
            Some(p) if p + 1 < chain.len() => vec![chain[p + 1].id],
            Some(_) => self.meta.view.spares.items().iter().map(|m| m.id).collect(),
            None => Vec::new(),
        }
    }

    pub(crate) fn leader(&self) -> Option<u32> {
        let chain = self.meta.view.chain.items();
        match self.place() {
            Some(0) => None,
            Some(p) => Some(chain[p - 1].id),
            None if self.meta.view.holds(&self.me) => chain.last().map(|m| m.id),
            None => None,
        }
    }

    /// Applies a command, and remembers lapses: a lapse may have been on its way for long, and its
    /// node may have been given another term meanwhile.
    fn apply(&mut self, envelope: &Envelope) -> Outcome {
        if let Command::Lapse { node, .. } = &envelope.command {
            self.lapses.insert(node.clone(), self.now);
        }
        self.state.apply(envelope)
    }

    /// The head takes a command: applies it, keeps it, and answers once the whole chain has it.
    pub(crate) fn take_command(&mut self, token: Option<u64>, envelope: &Envelope) {
        let known = self.state.outcomes.get(&envelope.id).cloned();
        let (seq, outcome) = match known {
            Some((seq, outcome)) => (seq, outcome),
            None => {
                let outcome = self.apply(envelope);
                let bytes: Bytes = envelope.pack().into();
                self.last += 1;
                self.log.push_back((self.last, bytes.clone()));
                let seq = self.last;
                self.keep(vec![Record::Entry(seq, bytes)], After::Entries(seq));
                (seq, outcome)
            }
        };
        if let Some(token) = token {
            if seq <= self.committed {
                self.answer_outcome(token, &outcome);
            } else {
                self.waiting.entry(seq).or_default().push((token, outcome));
            }
        }
    }

    pub(crate) fn on_append(&mut self, from: u32, append: Append) {
        if append.view != self.meta.view.n || self.leader() != Some(from) {
            return;
        }
        let mut records = Vec::new();
        for (seq, entry) in (append.first..).zip(append.entries.into_items()) {
            if seq <= self.last {
                continue;
            }
            if seq != self.last + 1 {
                break;
            }
            self.log.push_back((seq, entry.clone()));
            self.last = seq;
            records.push(Record::Entry(seq, entry));
        }
        if !records.is_empty() {
            self.keep(records, After::Entries(self.last));
        }
    }

    pub(crate) fn on_capture(&mut self, from: u32, capture: Capture) {
        if capture.view != self.meta.view.n || self.leader() != Some(from) || capture.seq <= self.last {
            return;
        }
        let Some(state) = State::unpack(capture.state.as_slice()) else {
            return;
        };
        self.state = state;
        self.lapses_known = self.now;
        self.log.clear();
        self.last = capture.seq;
        // It is passed on only once it is synced here, like any entry.
        let taken = After::Captured(capture.seq, capture.state.clone());
        self.keep(vec![Record::Capture(capture.seq, capture.state)], taken);
    }

    pub(crate) fn on_synced(&mut self, ticket: u64) {
        while self.tickets.front().is_some_and(|(held, _, _)| *held <= ticket) {
            let Some((_, _, after)) = self.tickets.pop_front() else {
                break;
            };
            match after {
                After::Entries(upto) => self.synced = self.synced.max(upto).min(self.last),
                After::Captured(seq, bytes) => {
                    self.capturing = false;
                    self.synced = self.synced.max(seq).min(self.last);
                    if seq > self.capture.0 {
                        self.capture = (seq, bytes);
                        self.log.retain(|(s, _)| *s > seq);
                    }
                }
                After::Say(to, message) => self.send(to, message),
                After::Nothing => {}
            }
        }
        self.catch_state_up();
        self.pass_on();
        self.note_commits();
    }

    /// The sequence number just before the first entry kept.
    fn base(&self) -> u64 {
        self.log.front().map_or(self.last, |(seq, _)| seq - 1)
    }

    /// Everyone but the head applies what is synced; the head applied it on entry.
    pub(crate) fn catch_state_up(&mut self) {
        let from = self.state.seq;
        let skip = from.saturating_sub(self.base()) as usize;
        let due: Vec<Bytes> =
            self.log.iter().skip(skip).take_while(|(s, _)| *s <= self.synced).map(|(_, e)| e.clone()).collect();
        for entry in due {
            match Envelope::unpack(entry.as_slice()) {
                Some(envelope) => _ = self.apply(&envelope),
                None => self.state.seq += 1,
            }
        }
        if self.capture_due() {
            self.capturing = true;
            let (seq, bytes): (u64, Bytes) = (self.state.seq, self.state.pack().into());
            self.keep(vec![Record::Capture(seq, bytes.clone())], After::Captured(seq, bytes));
        }
    }

    fn pass_on(&mut self) {
        if self.sent_on < self.synced && self.place().is_some() {
            for to in self.followers() {
                let mut first = self.sent_on + 1;
                while first <= self.synced {
                    first = self.send_from(to, first) + 1;
                }
            }
            self.sent_on = self.synced;
        }
    }

    /// Sends entries from `first` on, or a capture when they are no longer kept. Gives the last sent.
    pub(crate) fn send_from(&mut self, to: u32, first: u64) -> u64 {
        let view = self.meta.view.n;
        let base = self.base();
        let (message, last) = if first <= base {
            if self.capture.0 < base {
                // A capture from the leader is still on its way to the disk.
                return self.synced;
            }
            let (seq, state) = self.capture.clone();
            (Chain::Capture(Capture { view, seq, state }), seq)
        } else {
            let skip = (first - base - 1) as usize;
            let kept = self.log.iter().skip(skip).filter(|(seq, _)| *seq <= self.synced);
            let mut bytes = 0;
            let fits = kept.take(ENTRIES_A_MESSAGE).take_while(|(_, entry)| {
                let first = bytes == 0;
                bytes += entry.as_slice().len();
                first || bytes <= BYTES_A_MESSAGE
            });
            let entries: Vec<Bytes> = fits.map(|(_, e)| e.clone()).collect();
            let last = first + entries.len().max(1) as u64 - 1;
            (Chain::Append(Append { view, first, entries: entries.into() }), last)
        };
        self.send(to, message);
        last
    }

    pub(crate) fn note_commits(&mut self) {
        if self.is_tail() && self.synced > self.committed {
            self.committed = self.synced;
            if let Some(to) = self.leader() {
                self.send(to, Chain::Ack(Ack { view: self.meta.view.n, seq: self.committed }));
            }
        }
        let due = self.waiting.split_off(&(self.committed + 1));
        let done = std::mem::replace(&mut self.waiting, due);
        for (token, outcome) in done.into_values().flatten() {
            self.answer_outcome(token, &outcome);
        }
        self.wake_parked();
    }

    pub(crate) fn on_ack(&mut self, from: u32, ack: Ack) {
        let next = self.place().and_then(|p| self.meta.view.chain.items().get(p + 1));
        if ack.view != self.meta.view.n || next.is_none_or(|m| m.id != from) || ack.seq <= self.committed {
            return;
        }
        self.committed = ack.seq.min(self.synced);
        if let Some(to) = self.leader() {
            self.send(to, Chain::Ack(Ack { view: ack.view, seq: self.committed }));
        }
        self.note_commits();
    }

    pub(crate) fn on_disk_failed(&mut self) {
        if !self.sick {
            self.sick = true;
            self.note("own disk failed: leaving the chain".into());
            self.give_up_waiting();
        }
    }
}
