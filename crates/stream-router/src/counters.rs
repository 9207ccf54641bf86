//! Counters of what a router did. Their names on the metrics page are older than those in the code.
pub use fleet_common::counters::count;

fleet_common::counters! {
    "coursebend_router_",
    /// Requests of clients.
    requests,
    /// Streams that were forwarded to their end.
    responses_completed = "whole",
    /// Responses that started and could not be completed.
    responses_truncated = "cut",
    /// Requests that got a response of the router's own.
    rejected = "refused",
    /// Complete responses of replicas that were forwarded.
    responses_forwarded = "passed_on",
    /// Further attempts of requests whose response had not started.
    retries,
    /// Further attempts that resumed a stream.
    resumed,
    /// Attempts for which a source of cached parts was named.
    transfers_named = "handovers",
    /// Transfers whose source did not have the parts.
    false_hits,
    /// Filters that index nodes pushed.
    filter_pushes,
    /// Filters that were pulled as their copies were stale.
    filter_pulls,
    /// Tokens of prompts that were cached at the replica or transferred to it.
    tokens_cached = "parts_held",
    /// Tokens of prompts that had to be prefilled.
    tokens_recomputed = "parts_anew",
    /// Requests that were rejected as the router held no lease.
    rejected_without_lease = "not_fresh",
    /// Responses that say that another replica or other weights were meant.
    misdirected,
    /// Clients that disconnected before their response was complete.
    client_disconnects = "caller_left",
    /// Responses to other requests that were skipped.
    late_responses = "late_answers",
    /// New connections to replicas.
    connections,
    /// Attempts that were sent to replicas on superseded weights.
    sent_on_superseded_weights = "older_weights",
    /// Attempts that did not start on superseded weights in time.
    superseded_not_started = "older_weights_not_begun",
    /// Attempts that started on superseded weights later than is guaranteed.
    superseded_weights_violations = "weights_violations",
}
