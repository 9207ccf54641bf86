//! What a caller is told: its place in the headers, its answer's end, and to the index the try.
use crate::claims::settle;
use crate::passage::{Passage, Try};
use crate::reporting::Tried;
use crate::shared::{Shared, count};
use control_chain::command::Ran;
use fleet_common::http_in::{Extra, Pieces};
use fleet_common::json::quote;
use std::sync::Arc;

/// What the caller is told of its place.
pub fn told(passage: &Passage, this: &Try, kind: &str) -> Extra {
    let mut extra: Extra = vec![
        ("Content-Type", kind.to_string()),
        ("X-Request-Id", passage.id.clone()),
        ("X-Place", this.seat.id.clone()),
        ("X-Place-Reason", this.reason.words().to_string()),
        ("X-Weights", this.seat.weights.clone()),
    ];
    if let Some(source) = &this.source {
        extra.push(("X-Cache-Source", source.replica.clone()));
    }
    extra
}

pub fn finish(shared: &Arc<Shared>, passage: &mut Passage, this: &Try, out: Option<Pieces>, whole: &str) {
    let ended = match (out, passage.incoming.take()) {
        (Some(pieces), _) => pieces.end().is_ok(),
        (None, Some(incoming)) => {
            let body = format!(
                "{{\"id\":{},\"object\":\"text_completion\",\"model\":{},\"system_fingerprint\":{},\"choices\":[{{\"index\":0,\"text\":{},\"finish_reason\":\"length\"}}]}}",
                quote(&passage.id),
                quote(&passage.wanted.model),
                quote(&this.seat.weights),
                quote(whole)
            );
            let extra = told(passage, this, "application/json").into_iter().filter(|(n, _)| *n != "Content-Type");
            incoming.json(200, &body, extra.collect());
            true
        }
        (None, None) => false,
    };
    if ended {
        count(&shared.counters.answered_whole);
    }
    passage.explain.outcome = "whole".into();
    passage.explain.step("answered whole");
    settle(shared, passage, Ran::Done);
}

pub fn piece_text(event: &[u8]) -> String {
    use sonic_rs::JsonValueTrait;
    let json = event.strip_prefix(b"data: ").unwrap_or_default();
    let text = sonic_rs::get(json, sonic_rs::pointer!["choices", 0, "text"]);
    text.ok().and_then(|t| t.as_str().map(str::to_string)).unwrap_or_default()
}

pub fn report(shared: &Shared, passage: &Passage, this: &Try, first_piece_ms: u64) {
    let Some(source) = &this.source else { return };
    let prefill_us = shared
        .fleet
        .read()
        .blueprint
        .as_ref()
        .and_then(|b| b.models.get(&passage.wanted.model))
        .map_or(0, |m| m.prefill_us_per_block);
    let missing = (this.blocks.len() - source.own) as u64;
    let tried = Tried {
        request: passage.id.clone(),
        source: source.replica.clone(),
        block: this.blocks[source.blocks - 1],
        filter_version: source.filter_version,
        saved_us: source.saved_us,
        anew_us: missing * prefill_us,
        first_piece_ms,
    };
    let _ = shared.tried.0.try_send(tried);
}
