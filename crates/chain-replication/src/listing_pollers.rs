//! Which control replica polls the platform for the list of replicas: the head itself, or, where the platform does not
//! answer it, another member that is alive. One machine without a way to the platform then costs a poll, not the list.

/// Who carries out a poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Poller {
    /// The head.
    #[default]
    Own,
    /// Another member of the view, by its id.
    Peer(u32),
}

/// The choice of a head. One that stops being head forgets it.
#[derive(Clone, Debug, Default)]
pub struct PollerChoice {
    current: Poller,
    /// The number of the poll that is under way, and whether it was carried out.
    last: Option<LastPoll>,
}

#[derive(Clone, Copy, Debug)]
struct LastPoll {
    number: u64,
    has_succeeded: bool,
}

impl PollerChoice {
    /// Who carries out the poll of this number. Whoever brought a list last polls on; after a poll without a list comes the
    /// turn of the next one, the head among `peers` that are alive, in order.
    pub fn choose(&mut self, number: u64, peers: &[u32]) -> Poller {
        let has_failed = self.last.is_some_and(|poll| !poll.has_succeeded);
        let is_gone = matches!(self.current, Poller::Peer(id) if !peers.contains(&id));
        if has_failed || is_gone {
            self.current = self.after(peers);
        }
        self.last = Some(LastPoll { number, has_succeeded: false });
        self.current
    }

    fn after(&self, peers: &[u32]) -> Poller {
        let next = match self.current {
            Poller::Own => peers.first(),
            Poller::Peer(id) => peers.iter().find(|peer| **peer > id),
        };
        next.map_or(Poller::Own, |id| Poller::Peer(*id))
    }

    /// A list came from this poller.
    pub fn record_success(&mut self, number: u64, poller: Poller) {
        self.current = poller;
        if let Some(last) = self.last.as_mut().filter(|last| last.number >= number) {
            last.has_succeeded = true;
        }
    }
}
