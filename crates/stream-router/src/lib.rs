//! The router of a fleet with a configuration of routes: takes callers' requests by host and path, places
//! them by what replicas keep and how busy they are, and passes their streams on event by event. How the
//! callers and replicas name things is a dialect's business; everything decided is decided here.

pub mod admission;
pub mod auditing;
pub mod budget;
pub mod chain;
pub mod counters;
pub mod dialect;
pub mod events;
pub mod feed;
pub mod forward;
pub mod placing;
mod placing_costs;
pub mod progress;
pub mod request_context;
mod response;
pub mod run;
pub mod setup;
pub mod shared;
pub mod sharing;
pub mod stopping;
pub mod subsets;
mod telling;
mod weights_check;
