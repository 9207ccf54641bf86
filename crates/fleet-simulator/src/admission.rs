//! The filters of a simulated router before the trip: term, key, kind, room.
use crate::clients::Request;
use crate::router::ActiveRequest;
use crate::wire::{Endpoint, Message};
use crate::world::World;
use control_state::fleet::KeyError;
use fleet_common::hash::key_digest;
use fleet_common::rpc::Response;
use routing::admission::AdmissionRequest;
use routing::request_machine::Outcome;
use routing::request_machine::{ClaimResult, Event, RequestMachine};
use std::time::Duration;

impl World {
    /// The filters before the trip: term, key, kind, room.
    pub(crate) fn admit_request(&mut self, at: usize, request: Request) {
        let now = self.now();
        let router = &mut self.routers[at];
        let fleet = &router.edge.fleet;
        let print = key_digest(&request.key);
        let tenant = fleet.tenant(&print).map(str::to_string);
        let blueprint = fleet.fleet_config.as_ref();
        let kind = blueprint.and_then(|b| b.request_classes.get("steady"));
        let wall = tenant.as_ref().ok().and_then(|t| blueprint?.wall(t));
        let call = request.call;
        let refused = match (router.edge.fresh(now), &tenant, kind, &wall) {
            (false, ..) => Some((503, Some(1))),
            (_, Err(KeyError::Withdrawn), ..) => Some((403, None)),
            (_, Err(KeyError::Unknown), ..) => Some((401, None)),
            (_, _, Some(kind), Some(_)) => {
                let wish = AdmissionRequest {
                    tenant: tenant.as_deref().unwrap_or_default(),
                    urgency: kind.urgency,
                    quota: routing::admission::Quota { weight: 1, total_weight: 4 },
                    limit: 48,
                };
                router.in_flight.admit(&wish).err().map(|_| (429, Some(1)))
            }
            _ => Some((503, Some(1))),
        };
        if let Some((status, retry_after)) = refused {
            let told = Message::ClientResponse { call, status, outcome: Outcome::NotExecuted, retry_after };
            return self.send(Endpoint::Router(at), Endpoint::Client, told);
        }
        let (Ok(tenant), Some(kind), Some(wall)) = (tenant, kind, wall) else { return };
        let going = ActiveRequest {
            id: format!("e{}-{}-{call}", at + 1, router.starts),
            key_digest: print,
            tenant,
            wall,
            deadline: now + Duration::from_millis(kind.budget_ms),
            kind_budget_ms: kind.budget_ms,
            machine: RequestMachine::new(request.at_most_once_key.is_some(), request.stream),
            placement: None,
            attempts: 0,
            started_at: now,
            last_event_at: now,
            last_chunk: ((0, 0), 0, false),
            buffered_chunks: Vec::new(),
            claim: None,
            request,
        };
        router.active_requests.insert(call, going);
        self.step_request(at, call, Event::Start);
    }
}

/// What a claim brought, as the core answered it.
pub(crate) fn claim_result(answer: Option<&Response>) -> ClaimResult {
    use control_state::outcome::Outcome;
    let outcome: Option<Outcome> = match answer {
        Some(Response::Json(text)) => sonic_rs::from_slice(text.as_slice()).ok(),
        _ => None,
    };
    match outcome {
        Some(outcome) if outcome.accepted() => ClaimResult::Granted,
        Some(outcome) if outcome.code == 409 => ClaimResult::Conflict(outcome.detail),
        Some(outcome) => ClaimResult::Rejected(outcome.detail),
        None => ClaimResult::Unconfirmed,
    }
}
