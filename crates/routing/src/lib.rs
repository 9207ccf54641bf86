//! How a router decides, without I/O.
//!
//! - Whether it may work at all: `lease`, `shutdown` (with `run_times`).
//! - Whether a request is let in: `admission`.
//! - Where an attempt goes: `replica_table` (what is known of replicas), `session_placement` and `placement` (one prompt
//!   text, placed by its session), `placement_cost` (prompts made of parts, placed by cost).
//! - Where a cached prefix comes from: `transfer_source`, `link_costs`, `link_queues`.
//! - What is on its way: `in_flight_table`, `recent_prompts`.
//! - The course of a request: `request_machine` with `request_events` and `client_response`, `retry_budget`,
//!   `claim_completion`.

pub mod admission;
pub mod claim_completion;
mod client_response;
pub mod in_flight_table;
pub mod lease;
pub mod link_costs;
pub mod link_queues;
pub mod placement;
pub mod placement_cost;
pub mod recent_prompts;
pub mod replica_table;
mod request_events;
pub mod request_machine;
pub mod retry_budget;
pub mod run_times;
pub mod session_placement;
pub mod shutdown;
pub mod transfer_source;
