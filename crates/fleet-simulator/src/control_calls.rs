//! Asking the cores as agents, index nodes and operators do: one after another, sent on by who is not
//! the one to answer, given up after a while, when nobody can say what came of it.
use crate::cores;
use crate::cores::ms;
use fleet_common::rpc::{self, Response};
use std::time::Duration;

const ANSWER: Duration = Duration::from_millis(1500);
const AGAIN: Duration = Duration::from_millis(60);

/// One ask on its way.
#[derive(Clone, Debug)]
pub struct ControlCall {
    ask: rpc::Request,
    core: u32,
    token: Option<(u64, Duration)>,
    again: Duration,
    until: Duration,
    /// Held up on its way until then, whatever its asker does meanwhile.
    late: Option<Duration>,
}

impl ControlCall {
    /// An ask that is given up at `until`.
    pub fn new(ask: rpc::Request, now: Duration, until: Duration) -> Self {
        ControlCall { ask, core: 1, token: None, again: now, until, late: None }
    }

    /// The same, but held up on its way.
    pub(crate) fn held_until(mut self, late: Duration) -> Self {
        self.late = Some(late);
        self
    }

    /// Steps on: `Some(Some)` is an answer, `Some(None)` that it was given up.
    pub(crate) fn step(&mut self, cores: &mut cores::World, reached: bool) -> Option<Option<Response>> {
        let now = cores.now;
        if let Some((token, since)) = self.token {
            match cores.answers.get(&token) {
                Some(Response::Redirect(at)) => {
                    self.core = at.as_str().parse().unwrap_or(self.core % 4 + 1);
                    (self.token, self.again) = (None, now + if at.as_str().is_empty() { AGAIN } else { ms(0) });
                }
                Some(answer) if reached => return Some(Some(answer.clone())),
                _ if now - since > ANSWER => {
                    self.core = self.core % 4 + 1;
                    (self.token, self.again) = (None, now);
                }
                _ => {}
            }
        }
        if now >= self.until {
            return Some(None);
        }
        let held = self.late.is_some_and(|late| now < late);
        if self.token.is_none() && now >= self.again && reached && !held {
            match cores.ask(self.core, self.ask.clone()) {
                Some(token) => self.token = Some((token, now)),
                None => {
                    self.core = self.core % 4 + 1;
                    self.again = now + AGAIN;
                }
            }
        }
        None
    }
}
