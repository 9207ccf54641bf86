//! The control link of an edge machine as a part that any program can run: pulls from the core for its
//! router and feeds it over loopback.
mod agent;
mod shared_relay;

pub use agent::{Agent, start, start_for_lease};
