//! Plain counts of what a router did.
pub use fleet_common::counters::count;

fleet_common::counters! {
    "coursebend_router_",
    requests, whole, cut, refused, passed_on, retries, resumed, handovers, false_hits, filter_pushes,
    filter_pulls, parts_held, parts_anew, not_fresh, misdirected, caller_left, late_answers, connections,
    older_weights, older_weights_not_begun, weights_violations,
}
