//! The last filter: sends a request to a replica and passes its answer on; after a failure it does what the
//! progress says. Each run of a stream is followed by whole events, and another run goes on after the last.
use crate::auditing::Tried;
use crate::chain::may_go_on;
use crate::dialect::{Said, Told};
use crate::events::Events;
use crate::passage::{Flow, Passage, Reply};
use crate::placing::{self, Place};
use crate::progress::{Failure, Next};
use crate::shared::{Shared, count};
use crate::sharing::{Ended, Moved, News};
use fleet_common::hash;
use http_streams::head::AnswerHead;
use http_streams::inbound::Inbound;
use http_streams::outbound::{Heard, Outbound};
use http_streams::pool::Need;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};
use way_choice::backlog::key;
use way_choice::ledger::Sent;

const CONNECT: Duration = Duration::from_millis(400);
/// A replica that could not be reached is left alone for a while.
const DOWN_FOR: Duration = Duration::from_millis(1500);
/// What a replica is given less than is left, so that its last word arrives in time.
const WAY_BACK: Duration = Duration::from_millis(20);
/// Its last word may come so much after the end.
const LAST_WORD: Duration = Duration::from_millis(60);
/// A refusal's body is read for so long; then its connection is not worth keeping.
const REST: Duration = Duration::from_millis(200);
/// A replica whose backlog is below this tells of its pace, and what an answer takes besides reading.
const CALM: Duration = Duration::from_millis(5);
const BASE: Duration = Duration::from_millis(45);
/// Answers to other requests that are passed over on one connection.
const LATE_MOST: usize = 3;

/// A replica's whole answer that may be handed on.
struct Whole {
    head: AnswerHead,
    body: Vec<u8>,
}

enum Try {
    Flow(Flow),
    Failed(Failure, Option<Whole>),
}

struct Run<'a> {
    shared: &'a Arc<Shared>,
    passage: &'a mut Passage,
    inbound: &'a mut Inbound,
    events: Events,
    last: Option<String>,
    /// Whether the present try has brought an event.
    first: bool,
    /// Under which id the present try was told.
    id: u64,
}

/// Delivers a request.
/// ```no_run
/// # fn show(shared: &std::sync::Arc<stream_router::shared::Shared>, passage: &mut stream_router::passage::Passage,
/// #     inbound: &mut http_streams::inbound::Inbound) {
/// let _flow = stream_router::deliver::deliver(shared, passage, inbound);
/// # }
/// ```
pub fn deliver(shared: &Arc<Shared>, passage: &mut Passage, inbound: &mut Inbound) -> Flow {
    let last = passage.asked.after.clone();
    let mut run = Run { shared, passage, inbound, events: Events::default(), last, first: false, id: 0 };
    loop {
        let (failure, whole) = match run.once() {
            Try::Flow(flow) => return flow,
            Try::Failed(failure, whole) => (failure, whole),
        };
        let next = run.passage.progress.after(&failure, || shared.budget().spend());
        match next {
            Next::Again => {
                let resumed = run.passage.progress.answered;
                count(if resumed { &shared.counters.resumed } else { &shared.counters.retries });
                run.events.forget();
            }
            Next::HandOn => match whole {
                Some(whole) => return run.hand_on(whole),
                None => return Flow::Reply(Reply::new(502, "the replica's answer broke off")),
            },
            Next::Cut => return run.cut(),
            Next::Tell(status, after) => {
                let what = format!("{failure:?} after {} tries", run.passage.progress.sent);
                return Flow::Reply(Reply { after, ..Reply::new(status, what) });
            }
        }
    }
}

impl Run<'_> {
    fn cut(&mut self) -> Flow {
        count(&self.shared.counters.cut);
        self.passage.close = true;
        Flow::Answered
    }

    fn left(&mut self, up: Outbound) -> Try {
        up.cut();
        count(&self.shared.counters.caller_left);
        self.passage.close = true;
        Try::Flow(Flow::Answered)
    }

    fn timed_out(&mut self) -> Try {
        if self.passage.progress.answered {
            return Try::Flow(self.cut());
        }
        let reply = match self.passage.progress.sent > 0 {
            true => Reply::new(504, "its time is over"),
            false => Reply::later("its time was over before a replica could take it", Duration::from_millis(100)),
        };
        Try::Flow(Flow::Reply(reply))
    }

    /// One try at one replica.
    fn once(&mut self) -> Try {
        if Instant::now() >= self.passage.until {
            return self.timed_out();
        }
        let Some(place) = placing::find(self.shared, self.passage) else {
            return Try::Failed(Failure::NoPlace, None);
        };
        self.passage.tried.push(place.id.clone());
        let need = if self.passage.progress.repeatable { Need::Any } else { Need::Sure };
        let patience = CONNECT.min(self.passage.until.saturating_duration_since(Instant::now()));
        let mut up = match self.shared.pool.open(place.at, need, patience) {
            Ok(up) => up,
            Err(_) => return self.unreached(&place),
        };
        if up.fresh {
            count(&self.shared.counters.connections);
        }
        if let Err(reply) = may_go_on(self.shared, self.passage) {
            self.shared.pool.give(place.at, up);
            return Try::Flow(if self.passage.progress.answered { self.cut() } else { Flow::Reply(reply) });
        }
        let bytes = self.bytes(&place);
        match up.send(&self.passage.head.method, &bytes) {
            Ok(()) => {}
            Err((false, _)) => return self.unreached(&place),
            Err((true, _)) => {
                self.passage.progress.sent += 1;
                return Try::Failed(Failure::Unknown, None);
            }
        }
        self.passage.progress.sent += 1;
        let id = hash::unique();
        let last = place.parts.len().saturating_sub(1);
        let parts = place.parts[..last].iter().map(|(part, _)| *part).collect();
        let tokens = place.own + place.handed + place.anew;
        self.shared.starts_at(&place.id, id, Sent { work: place.work, tokens, parts });
        for (link, took) in &place.links {
            let took_us = took.as_micros().min(u32::MAX as u128) as u32;
            self.shared.tell(News::Moved(Moved { link: key(link), took_us }));
        }
        (self.first, self.id) = (false, id);
        let ended = self.heard(&place, up);
        if !self.first {
            // It was refused, given up or lost before it was read.
            self.shared.tell(News::Undone(Ended { replica: key(&place.id), id }));
        }
        self.shared.ends_at(&place.id);
        ended
    }

    fn unreached(&mut self, place: &Place) -> Try {
        let until = self.shared.now() + DOWN_FOR;
        self.shared.down.change(|down| down.insert(place.id.clone(), until));
        Try::Failed(Failure::Unsent, None)
    }

    fn bytes(&self, place: &Place) -> Vec<u8> {
        let passage = &self.passage;
        let model = !passage.asked.model.is_empty();
        let told = Told {
            left: passage.until.saturating_duration_since(Instant::now()).saturating_sub(WAY_BACK),
            replica: &place.id,
            tenant: passage.tenant.as_deref(),
            salt: model.then_some(place.salt.as_str()),
            source: place.source.as_ref().map(|(_, at)| at.as_str()),
            target: place.target.as_deref(),
            urgency: passage.urgency,
            weights: (model && !place.weights.is_empty()).then_some(place.weights.as_str()),
            after: self.last.as_deref(),
        };
        let mut bytes = self.shared.dialect.ask(&passage.head, passage.body.len(), &told);
        bytes.extend_from_slice(&passage.body);
        bytes
    }

    /// Follows a request that was sent.
    fn heard(&mut self, place: &Place, mut up: Outbound) -> Try {
        let sent = Instant::now();
        let (head, said) = match self.own_head(&mut up) {
            Ok(read) => read,
            Err(Heard::CallerLeft) => return self.left(up),
            Err(Heard::TimedOut) => {
                up.cut();
                return self.timed_out();
            }
            Err(_) => return Try::Failed(Failure::Unknown, None),
        };
        if let Some(weights) = &said.weights {
            self.shared.hear_weights(&place.id, weights);
        }
        if let Some((running, waiting, _)) = said.load {
            self.shared.hear_load(&place.id, running.saturating_add(waiting));
        }
        if said.not_run || said.misdirected {
            if said.misdirected {
                count(&self.shared.counters.misdirected);
            }
            let _ = rest(&mut up, None, Instant::now() + REST);
            self.shared.pool.give(place.at, up);
            return Try::Failed(Failure::Refused, None);
        }
        // Nobody vouches for a success without a seal or an id; and what follows a begun answer can only be its
        // stream going on.
        let vouched = said.sealed && said.id.is_some();
        if (head.status < 300 && !vouched) || (self.passage.progress.answered && head.status != 200) {
            up.cut();
            return Try::Failed(Failure::Unknown, None);
        }
        if self.passage.route.stream && head.status == 200 {
            return self.stream(place, up, head, sent);
        }
        let caller = Some(self.inbound.socket());
        let body = match rest(&mut up, caller, self.passage.until + LAST_WORD) {
            Ok(body) => body,
            Err(Heard::CallerLeft) => return self.left(up),
            Err(_) => return Try::Failed(Failure::Unknown, None),
        };
        self.shared.pool.give(place.at, up);
        let whole = Whole { head, body };
        match whole.head.status {
            status if status >= 500 || [408, 421, 429].contains(&status) => {
                Try::Failed(Failure::Failed(status), Some(whole))
            }
            _ => Try::Flow(self.hand_on(whole)),
        }
    }

    /// The head of this request's own answer; late answers to others are passed over.
    fn own_head(&mut self, up: &mut Outbound) -> Result<(AnswerHead, Said), Heard> {
        let until = self.passage.until + LAST_WORD;
        for _ in 0..LATE_MOST {
            let head = match up.head(Some(self.inbound.socket()), until) {
                Heard::Head(head) => head,
                other => return Err(other),
            };
            let said = self.shared.dialect.said(&head, &self.passage.asked.model);
            if said.id.as_deref().is_none_or(|id| id == self.passage.asked.id) {
                return Ok((head, said));
            }
            count(&self.shared.counters.late_answers);
            if rest(up, None, until).is_err() {
                return Err(Heard::Broken("a late answer broke off".into()));
            }
        }
        up.good = false;
        Err(Heard::Broken("answers to other requests only".into()))
    }

    fn hand_on(&mut self, whole: Whole) -> Flow {
        // These promise that the request never runs, and the replica did not say so.
        if [408, 421, 429, 503].contains(&whole.head.status) {
            return Flow::Reply(Reply::new(502, format!("the replica answered {}", whole.head.status)));
        }
        count(&self.shared.counters.passed_on);
        let headers: Vec<_> = whole.head.headers.end_to_end().cloned().collect();
        let (status, close) = (whole.head.status, self.passage.close);
        self.passage.close |= self.inbound.whole(status, &whole.head.reason, &headers, &whole.body, close).is_err();
        Flow::Answered
    }

    /// Passes a stream on, event by event.
    fn stream(&mut self, place: &Place, mut up: Outbound, head: AnswerHead, sent: Instant) -> Try {
        let until = self.passage.until + LAST_WORD;
        loop {
            let bytes = match up.body(Some(self.inbound.socket()), until) {
                Heard::Body(bytes) => bytes,
                Heard::Whole => Vec::new(),
                Heard::CallerLeft => return self.left(up),
                Heard::TimedOut => {
                    up.cut();
                    return self.timed_out();
                }
                _ => return Try::Failed(Failure::Unknown, None),
            };
            let (mut whole, last) = self.events.take(&bytes);
            let over = up.ended();
            if over {
                whole.extend_from_slice(&self.events.rest());
            }
            if !whole.is_empty() && !std::mem::replace(&mut self.first, true) {
                self.first(place, sent);
            }
            if !self.pass(&head, &whole, over) {
                return self.left(up);
            }
            if let Some(last) = last {
                self.last = Some(last);
                self.passage.progress.after = true;
            }
            if over {
                count(&self.shared.counters.whole);
                self.shared.pool.give(place.at, up);
                return Try::Flow(Flow::Answered);
            }
        }
    }

    /// Writes events to the caller, with the head of the first run before the first of them.
    fn pass(&mut self, head: &AnswerHead, whole: &[u8], over: bool) -> bool {
        let begun = std::mem::replace(&mut self.passage.progress.answered, true);
        if !begun && (!whole.is_empty() || over) {
            let headers: Vec<_> = head.headers.end_to_end().cloned().collect();
            let close = self.passage.close;
            let began = self.inbound.begin(head.status, &head.reason, &headers, whole, close);
            return began.is_ok() && (!over || self.inbound.end(b"").is_ok());
        }
        if !begun {
            self.passage.progress.answered = false;
            return true;
        }
        match over {
            true => self.inbound.end(whole).is_ok(),
            false => self.inbound.piece(whole).is_ok(),
        }
    }

    /// The first event is here: what the try took is told to whoever audits its source.
    fn first(&mut self, place: &Place, sent: Instant) {
        let took = sent.elapsed();
        self.shared.tell(News::Read(Ended { replica: key(&place.id), id: self.id }));
        if place.waiting < CALM && place.work > Duration::from_millis(20) {
            let thought = place.work + BASE;
            self.shared.ledger().learn(key(&place.id), thought, took);
        }
        let Some((source, _)) = &place.source else { return };
        let mut tokens = 0;
        let handed = place.parts.iter().take_while(|(_, part)| {
            tokens += part;
            tokens <= place.own + place.handed
        });
        let Some((block, _)) = handed.last() else { return };
        let tried =
            Tried { request: self.passage.asked.id.clone(), source: source.clone(), block: *block, first: took };
        self.shared.audit(tried);
    }
}

/// Reads the rest of an answer, watching a caller where there is one to watch.
fn rest(up: &mut Outbound, caller: Option<&TcpStream>, until: Instant) -> Result<Vec<u8>, Heard> {
    let mut all = Vec::new();
    loop {
        match up.body(caller, until) {
            Heard::Body(bytes) => all.extend_from_slice(&bytes),
            Heard::Whole => return Ok(all),
            other => return Err(other),
        }
    }
}
