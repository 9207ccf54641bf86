//! What a client gets of a replica's response, and what is learnt from an attempt's first event.
use crate::json::to_json;
use crate::request_context::RequestContext;
use crate::state::{RouterState, count};
use crate::transfer_attempt::TransferAttempt;
use crate::upstream::BufferedResponse;
use fleet_common::http_server::{ChunkedResponse, ResponseHeaders};
use routing::placement::Placement;
use routing::request_machine::Outcome;
use serde::Serialize;
use std::time::Duration;

/// The headers that say where a request was placed.
pub fn placement_headers(context: &RequestContext, placement: &Placement, content_type: &str) -> ResponseHeaders {
    let mut headers: ResponseHeaders = vec![("Content-Type", content_type.to_string())];
    headers.extend(placement_headers_of_complete(context, placement));
    headers
}

/// The same for a complete response, whose content type is set with its body.
fn placement_headers_of_complete(context: &RequestContext, placement: &Placement) -> ResponseHeaders {
    let mut headers: ResponseHeaders = vec![
        ("X-Request-Id", context.id.clone()),
        ("X-Place", placement.replica.id.clone()),
        ("X-Place-Reason", placement.reason.header_value().to_string()),
        ("X-Weights", placement.replica.weights.clone()),
    ];
    if let Some(source) = &placement.source {
        headers.push(("X-Cache-Source", source.replica.clone()));
    }
    headers
}

fn record_answered(state: &RouterState, context: &mut RequestContext, taken: bool) {
    if taken {
        count(&state.counters.responses_completed);
    }
    context.trace.outcome = "whole".into();
    context.trace.step("answered whole");
}

/// The body of a completion that the client gets at once.
#[derive(Serialize)]
struct CompletionBody<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    system_fingerprint: &'a str,
    choices: [CompletionChoice<'a>; 1],
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: &'static str,
}

/// Finishes a model replica's response: ends the client's stream, or sends the collected text at once.
pub fn finish(
    state: &RouterState,
    context: &mut RequestContext,
    placement: &Placement,
    stream: Option<ChunkedResponse>,
    collected_text: &str,
) {
    let taken = match (stream, context.incoming.take()) {
        (Some(stream), _) => stream.end().is_ok(),
        (None, Some(incoming)) => {
            let body = to_json(&CompletionBody {
                id: &context.id,
                object: "text_completion",
                model: &context.completion.model,
                system_fingerprint: &placement.replica.weights,
                choices: [CompletionChoice { index: 0, text: collected_text, finish_reason: "length" }],
            });
            incoming.respond_json(200, &body, placement_headers_of_complete(context, placement));
            true
        }
        (None, None) => false,
    };
    record_answered(state, context, taken);
}

/// Forwards the app service's response as it is.
pub fn finish_app(state: &RouterState, context: &mut RequestContext, response: BufferedResponse) {
    let content_type = response.header("content-type").unwrap_or("application/octet-stream").to_string();
    let mut headers: ResponseHeaders = vec![("X-Request-Id", context.id.clone())];
    headers.extend(response.header("retry-after").map(|seconds| ("Retry-After", seconds.to_string())));
    if let Some(incoming) = context.incoming.take() {
        incoming.respond(response.status, &content_type, &response.body, headers);
    }
    record_answered(state, context, true);
}

/// Forwards a replica's rejection as it is: the request is at fault, so any other replica would reject it too.
pub fn forward_rejection(
    state: &RouterState,
    context: &mut RequestContext,
    placement: &Placement,
    response: BufferedResponse,
    outcome: Outcome,
) {
    count(&state.counters.rejections_forwarded);
    let content_type = response.header("content-type").unwrap_or("application/json").to_string();
    let mut headers = placement_headers_of_complete(context, placement);
    headers.push(("X-Outcome", outcome.header_value().to_string()));
    context.trace.step(format!("{} refused with {}, passed on", placement.replica.id, response.status));
    context.trace.outcome = outcome.header_value().into();
    if let Some(incoming) = context.incoming.take() {
        incoming.respond(response.status, &content_type, &response.body, headers);
    }
}

/// The text of an event of a completion; empty where it has none.
pub fn event_text(event: &[u8]) -> String {
    use sonic_rs::JsonValueTrait;
    let json = event.strip_prefix(b"data: ").unwrap_or_default();
    let text = sonic_rs::get(json, sonic_rs::pointer!["choices", 0, "text"]);
    text.ok().and_then(|text| text.as_str().map(str::to_string)).unwrap_or_default()
}

/// Learns from the time to the first event: without a transfer what prefill takes, else, once the index has audited
/// the transfer, what the link takes.
pub fn record_first_event(state: &RouterState, context: &RequestContext, placement: &Placement, took: Duration) {
    let fleet = state.fleet.read();
    let model = fleet.fleet_config.as_ref().and_then(|blueprint| blueprint.models.get(&context.completion.model));
    let prefill_us = model.map_or(0, |model| model.prefill_us_per_block);
    let first_event_us = took.as_micros() as u64;
    let Some(source) = &placement.source else {
        let missing = placement.blocks.len() - placement.cached_blocks.min(placement.blocks.len());
        return state.learnt_links().record_without_transfer(missing as u64, prefill_us, first_event_us);
    };
    let attempt = TransferAttempt {
        request_id: context.id.clone(),
        source: source.replica.clone(),
        pair: source.link.clone(),
        block: placement.blocks[source.blocks - 1],
        filter_version: source.filter_version,
        transferred_blocks: (source.blocks - source.cached_blocks) as u64,
        recomputed_blocks: (placement.blocks.len() - source.blocks) as u64,
        prefill_us,
        saved_us: source.saved_us,
        first_event_us,
    };
    state.transfer_attempts.push(attempt);
}
