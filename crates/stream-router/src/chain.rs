//! The way of a request: a chain of filters, each of which may answer.
use crate::deliver;
use crate::passage::{Flow, Passage, Reply};
use crate::progress::Progress;
use crate::shared::{Shared, count};
use fleet_common::hash;
use http_streams::inbound::{Inbound, ReadOutcome};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

type Filter = fn(&Arc<Shared>, &mut Passage, &mut Inbound) -> Flow;

const FILTERS: &[Filter] = &[fresh, parse, route, key, aim, deliver::deliver];
const SOON: Duration = Duration::from_millis(50);

/// Counts a request as running for as long as it is held, whatever ends it.
struct Running<'a>(&'a Shared);

impl<'a> Running<'a> {
    fn one(shared: &'a Shared) -> Self {
        shared.running.fetch_add(1, Ordering::AcqRel);
        Running(shared)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves a caller's connection until it ends.
/// ```no_run
/// # fn show(shared: &std::sync::Arc<stream_router::shared::Shared>, stream: std::net::TcpStream) {
/// stream_router::chain::connection(shared, stream);
/// # }
/// ```
pub fn connection(shared: &Arc<Shared>, stream: TcpStream) {
    let mut inbound = Inbound::new(stream);
    loop {
        let limits = shared.limits();
        match inbound.next(&limits) {
            ReadOutcome::Ended => return,
            ReadOutcome::Bad(status, what) => {
                let reply = Reply::new(status, what);
                let (headers, body) = reply.parts();
                let _ = inbound.whole(status, reply.reason(), &headers, body.as_bytes(), true);
                return;
            }
            ReadOutcome::Request(head, body) => {
                let _running = Running::one(shared);
                if !request(shared, &mut inbound, Passage::new(head, body)) {
                    return;
                }
            }
        }
    }
}

/// Takes a request through the chain; whether the connection may carry another.
fn request(shared: &Arc<Shared>, inbound: &mut Inbound, mut passage: Passage) -> bool {
    count(&shared.counters.requests);
    passage.close |= shared.draining.load(Ordering::Relaxed);
    for filter in FILTERS {
        match filter(shared, &mut passage, inbound) {
            Flow::Next => continue,
            Flow::Answered => return !passage.close,
            Flow::Reply(reply) => {
                count(&shared.counters.refused);
                let (headers, body) = reply.parts();
                let sent = inbound.whole(reply.status, reply.reason(), &headers, body.as_bytes(), passage.close);
                return sent.is_ok() && !passage.close;
            }
        }
    }
    false
}

fn fresh(shared: &Arc<Shared>, _: &mut Passage, _: &mut Inbound) -> Flow {
    if !shared.is_fresh() {
        count(&shared.counters.not_fresh);
        return Flow::Reply(Reply::later("this node holds no lease", SOON));
    }
    if shared.fleet.read().configuration.is_none() {
        return Flow::Reply(Reply::later("no configuration holds yet", SOON));
    }
    Flow::Next
}

fn parse(shared: &Arc<Shared>, passage: &mut Passage, _: &mut Inbound) -> Flow {
    match shared.dialect.read(&passage.head) {
        Ok(asked) => passage.asked = asked,
        Err(what) => return Flow::Reply(Reply::new(400, what)),
    }
    Flow::Next
}

fn route(shared: &Arc<Shared>, passage: &mut Passage, _: &mut Inbound) -> Flow {
    let fleet = shared.fleet.read();
    let Some(configuration) = &fleet.configuration else { return Flow::Reply(Reply::later("no configuration", SOON)) };
    let host = passage.head.headers.get("host").unwrap_or_default();
    let path = passage.head.target.split('?').next().unwrap_or_default();
    let Some(route) = configuration.route(host, path) else {
        return Flow::Reply(Reply::new(404, format!("no route for {host}{path}")));
    };
    passage.route = route.clone();
    // The share that a request falls into is its own, so that a further try goes the same way.
    let sum = route.targets.iter().fold(0u64, |sum, (_, weight)| sum.saturating_add(*weight));
    let mut at = hash::bytes(5, passage.asked.id.as_bytes()) % sum.max(1);
    for (service, weight) in &route.targets {
        if at < *weight {
            passage.service = service.clone();
            break;
        }
        at -= weight;
    }
    Flow::Next
}

fn key(shared: &Arc<Shared>, passage: &mut Passage, _: &mut Inbound) -> Flow {
    let fleet = shared.fleet.read();
    let Some(configuration) = &fleet.configuration else { return Flow::Reply(Reply::later("no configuration", SOON)) };
    if !configuration.keyed {
        return Flow::Next;
    }
    let Some(given) = &passage.asked.key else {
        return if passage.route.open { Flow::Next } else { Flow::Reply(Reply::new(401, "a key is wanted")) };
    };
    let print = hash::key_print(given);
    match fleet.tenant(&print) {
        Ok(tenant) => {
            passage.tenant = Some(tenant.to_string());
            passage.print = Some(print);
        }
        Err(_) if passage.route.open => {}
        Err(_) => return Flow::Reply(Reply::new(401, "unknown key")),
    }
    Flow::Next
}

/// What the request may take: time, tries, and how urgent it is.
fn aim(shared: &Arc<Shared>, passage: &mut Passage, _: &mut Inbound) -> Flow {
    let fleet = shared.fleet.read();
    let Some(configuration) = &fleet.configuration else { return Flow::Reply(Reply::later("no configuration", SOON)) };
    let route = &passage.route;
    let held = Duration::from_millis(route.timeout_ms);
    passage.until = passage.begun + passage.asked.left.map_or(held, |left| left.min(held));
    let tenant = passage.tenant.as_ref().and_then(|name| configuration.tenants.get(name));
    let apart = tenant.is_some_and(|t| t.row.apart);
    passage.wall = match &passage.tenant {
        Some(name) if apart => format!("t:{name}"),
        _ => "all".into(),
    };
    let rank = tenant.and_then(|t| t.row.rank).unwrap_or(route.rank);
    passage.urgency = Some((rank * 2 + 1).min(9) as u8);
    let repeatable = route.repeatable || (route.stream && route.resume);
    passage.progress = Progress::new(repeatable, route.stream && route.resume, route.tries);
    passage.progress.after = passage.asked.after.is_some();
    shared.budget().earn(shared.now());
    Flow::Next
}

/// Whether the request may be sent at this moment: under a lease, with a key that still holds.
/// ```no_run
/// # fn show(shared: &stream_router::shared::Shared, passage: &stream_router::passage::Passage) {
/// assert!(stream_router::chain::may_go_on(shared, passage).is_ok());
/// # }
/// ```
pub fn may_go_on(shared: &Shared, passage: &Passage) -> Result<(), Reply> {
    if !shared.is_fresh() {
        return Err(Reply::later("this node holds no lease", SOON));
    }
    let fleet = shared.fleet.read();
    let tenant = passage.print.as_ref().map(|print| fleet.tenant(print).ok());
    if tenant.is_some_and(|tenant| tenant != passage.tenant.as_deref()) {
        return Err(Reply::new(401, "unknown key"));
    }
    Ok(())
}
