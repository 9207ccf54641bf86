//! Ferrying: one try after another, pieces as they come, and a cut that looks like one.
use crate::claims::settle;
use crate::passage::{Flow, Passage, Reply, Try};
use crate::placing;
use crate::shared::{Shared, count};
use crate::telling::{finish, piece_text, report, told};
use crate::to_app::to_app;
use crate::upstream::{self, Coming};
use control_chain::command::Ran;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use fleet_common::http_in::Pieces;
use fleet_common::{Mishap, Step, ring};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(100);
const DOWN_FOR: Duration = Duration::from_millis(1500);

/// Why a request may not go on.
pub enum Stop {
    NotFresh,
    Withdrawn,
    Budget,
    CallerLeft,
}

/// How a try ended before anything was answered.
enum Ended {
    Answered,
    /// The replica never began.
    NotRun(String),
    /// It may have run.
    Broken(String),
    Stopped(Stop),
}

pub fn may_go_on(shared: &Shared, passage: &Passage) -> Result<(), Stop> {
    if !shared.is_fresh() {
        return Err(Stop::NotFresh);
    }
    if shared.fleet.read().tenant(&passage.print) != Ok(passage.tenant.as_str()) {
        return Err(Stop::Withdrawn);
    }
    if Instant::now() >= passage.until {
        return Err(Stop::Budget);
    }
    Ok(())
}

pub fn stopped(stop: Stop) -> Reply {
    match stop {
        Stop::NotFresh => Reply::later(503, "this edge holds no fresh term"),
        Stop::Withdrawn => Reply::new(403, "", "this key is withdrawn"),
        Stop::Budget => Reply { retry_after: Some(1), ..Reply::new(504, "", "the budget ran out") },
        Stop::CallerLeft => Reply::new(499, "", "the caller left"),
    }
}

pub fn ferry(shared: &Arc<Shared>, passage: &mut Passage) -> Flow {
    if passage.to_app {
        return to_app(shared, passage);
    }
    shared.tokens().earn();
    loop {
        if let Err(stop) = may_go_on(shared, passage) {
            settle(shared, passage, Ran::NotRun);
            return Flow::Reply(stopped(stop));
        }
        let Some(this) = placing::next(shared, passage) else {
            settle(shared, passage, Ran::NotRun);
            return Flow::Reply(Reply::later(503, "no fit replica"));
        };
        let (what, ran) = match attempt(shared, passage, &this) {
            Ended::Answered => return Flow::Answered,
            Ended::Stopped(stop) => {
                settle(shared, passage, Ran::Unknown);
                return Flow::Reply(stopped(stop).unknown());
            }
            Ended::NotRun(what) => (what, false),
            Ended::Broken(what) => (what, true),
        };
        passage.explain.step(format!("{} failed: {what}", this.seat.id));
        passage.tried.push(this.seat.id.clone());
        let repeatable = passage.once.is_none();
        if repeatable && passage.tried.len() < 3 && shared.tokens().spend() {
            count(&shared.counters.retries);
            passage.explain.step("tries again");
            continue;
        }
        settle(shared, passage, if ran { Ran::Unknown } else { Ran::NotRun });
        let reply = Reply::later(503, format!("{} failed: {what}", this.seat.id));
        return Flow::Reply(if ran { reply.unknown() } else { reply });
    }
}

fn send(shared: &Shared, passage: &Passage, this: &Try, stall: Duration) -> Receiver<Coming> {
    let left = passage.until.saturating_duration_since(Instant::now());
    let block_bytes = shared.fleet.read().blueprint.as_ref().map_or(64, |b| b.index.block_bytes);
    let mut headers = vec![
        ("content-type", "application/json".to_string()),
        ("x-request-id", passage.id.clone()),
        ("x-wall", passage.wall.clone()),
        ("x-weights", this.seat.weights.clone()),
        ("x-block-bytes", block_bytes.to_string()),
        ("x-budget-ms", left.as_millis().to_string()),
        ("x-tenant", passage.tenant.clone()),
    ];
    if let Some(source) = &this.source {
        count(&shared.counters.handovers_named);
        headers.push(("cache-source", source.at.clone()));
    }
    if let Some(key) = &passage.once {
        headers.push(("x-once-key", key.clone()));
    }
    let url = format!("http://{}/v1/completions", this.seat.at);
    upstream::start(url, headers, passage.wanted.body.clone(), stall)
}

/// One try, up to and including its answer.
fn attempt(shared: &Arc<Shared>, passage: &mut Passage, this: &Try) -> Ended {
    let stall_ms = shared.fleet.read().blueprint.as_ref().map_or(10_000, |b| b.limits.stall_ms);
    let begun = Instant::now();
    let coming = send(shared, passage, this, Duration::from_millis(stall_ms));
    let mut out: Option<Pieces> = None;
    let mut whole = String::new();
    let (mut first, mut done) = (true, false);
    let ended = loop {
        let event = match coming.recv_timeout(LOOK) {
            Ok(Coming::Head(200, _)) => continue,
            Ok(Coming::Head(status, headers)) => {
                let refused = headers.iter().any(|(name, _)| name == "x-not-run");
                let what = format!("answered {status}");
                break if refused { Ended::NotRun(what) } else { Ended::Broken(what) };
            }
            Ok(Coming::Event(event)) => event,
            Ok(Coming::Whole) if done => {
                finish(shared, passage, this, out.take(), &whole);
                break Ended::Answered;
            }
            Ok(Coming::Whole) => break Ended::Broken("the stream ended without [DONE]".into()),
            Ok(Coming::Broken(mishap)) => break broken(shared, this, mishap),
            Err(RecvTimeoutError::Disconnected) => break Ended::Broken("the stream ended oddly".into()),
            Err(RecvTimeoutError::Timeout) => {
                let left = out.as_ref().map_or_else(
                    || passage.incoming.as_ref().is_some_and(|i| i.caller_left()),
                    |pieces| pieces.caller_left(),
                );
                match may_go_on(shared, passage) {
                    Err(stop) => break Ended::Stopped(stop),
                    Ok(()) if left => break Ended::Stopped(Stop::CallerLeft),
                    Ok(()) => continue,
                }
            }
        };
        if let Err(stop) = may_go_on(shared, passage) {
            break Ended::Stopped(stop);
        }
        if done {
            break Ended::Broken("a piece came after [DONE]".into());
        }
        if std::mem::take(&mut first) {
            let ms = begun.elapsed().as_millis() as u64;
            passage.explain.step(format!("first piece from {} after {ms} ms", this.seat.id));
            report(shared, passage, this, ms);
        }
        done = event == b"data: [DONE]\n\n";
        if !passage.wanted.stream {
            whole.push_str(&piece_text(&event));
            continue;
        }
        if out.is_none() {
            let Some(incoming) = passage.incoming.take() else { break Ended::Answered };
            match incoming.pieces(200, told(passage, this, "text/event-stream")) {
                Ok(pieces) => out = Some(pieces),
                Err(_) => break Ended::Stopped(Stop::CallerLeft),
            }
        }
        if out.as_mut().is_some_and(|pieces| pieces.send(&event).is_err()) {
            break Ended::Stopped(Stop::CallerLeft);
        }
    };
    drop(coming);
    match (out, ended) {
        (Some(pieces), ended) if !matches!(ended, Ended::Answered) => {
            drop(pieces);
            cut(shared, passage, &ended);
            Ended::Answered
        }
        (_, ended) => ended,
    }
}

/// An answer that had begun is cut: the caller sees its stream end without its end.
fn cut(shared: &Arc<Shared>, passage: &mut Passage, ended: &Ended) {
    let why = match ended {
        Ended::Stopped(Stop::NotFresh) => "this edge lost its term",
        Ended::Stopped(Stop::Withdrawn) => "the key was withdrawn",
        Ended::Stopped(Stop::Budget) => "the budget ran out",
        Ended::Stopped(Stop::CallerLeft) => "the caller left",
        Ended::Broken(what) | Ended::NotRun(what) => what.as_str(),
        Ended::Answered => "",
    };
    count(&shared.counters.cut);
    passage.explain.step(format!("cut: {why}"));
    passage.explain.outcome = format!("unknown: cut, {why}");
    settle(shared, passage, Ran::Unknown);
}

fn broken(shared: &Shared, this: &Try, mishap: Mishap) -> Ended {
    ring::note(&mishap.to_string());
    if mishap.step == Step::Connect {
        let until = Instant::now() + DOWN_FOR;
        shared.down.change(|down| down.insert(this.seat.id.clone(), until));
        return Ended::NotRun(mishap.to_string());
    }
    Ended::Broken(mishap.to_string())
}
