//! Ferrying to the app service.
use crate::claims::settle;
use crate::ferry::{may_go_on, stopped};
use crate::passage::{Flow, Passage, Reply};
use crate::shared::Shared;
use control_chain::command::Ran;
use control_chain::fleet::APP;
use fleet_common::{Step, http_out};
use std::sync::Arc;
use std::time::Instant;

/// A way to the app service: whole answers, tried again only when nothing was sent.
pub fn to_app(shared: &Arc<Shared>, passage: &mut Passage) -> Flow {
    let Some(seat) = shared.seats().into_iter().find(|s| s.model == APP && !s.leaving && !s.down) else {
        settle(shared, passage, Ran::NotRun);
        return Flow::Reply(Reply::later(503, "no app service"));
    };
    if let Err(stop) = may_go_on(shared, passage) {
        settle(shared, passage, Ran::NotRun);
        return Flow::Reply(stopped(stop));
    }
    let Some(incoming) = passage.incoming.take() else { return Flow::Answered };
    let url = format!("http://{}{}?{}", seat.at, passage.path, incoming.query);
    let headers = [("x-request-id", passage.id.clone()), ("x-tenant", passage.tenant.clone())];
    let left = passage.until.saturating_duration_since(Instant::now());
    match http_out::ask(&incoming.method, &url, &headers, &passage.wanted.body, left) {
        Ok((status, body)) => {
            let extra = vec![("X-Request-Id", passage.id.clone())];
            incoming.whole(status, "application/json", &body, extra);
            passage.explain.outcome = "whole".into();
            settle(shared, passage, Ran::Done);
            Flow::Answered
        }
        Err(mishap) => {
            let ran = mishap.step != Step::Connect;
            settle(shared, passage, if ran { Ran::Unknown } else { Ran::NotRun });
            passage.incoming = Some(incoming);
            let reply = Reply::later(503, mishap);
            Flow::Reply(if ran { reply.unknown() } else { reply })
        }
    }
}
