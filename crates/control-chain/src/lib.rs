//! The control state and the chain that keeps it: no I/O here, only steps.

pub mod accepted_changes;
mod background;
pub mod blueprint;
mod claiming;
pub mod command;
pub mod configuration;
mod configuring;
pub mod core;
pub mod fleet;
pub mod lister;
pub mod log;
pub mod message;
pub mod outcome;
pub mod relay;
pub mod rules;
pub mod snapshots;
pub mod state;
pub mod view;
pub mod weights;

mod applied_everywhere;
mod applying;
mod catch_up;
mod discovery;
mod fingerprint;
mod heartbeat;
mod lease;
mod membership;
mod node_status;
mod queries;
mod recovery;
mod replication;
mod requests;
mod ruling;
mod steps;
mod view_change;
mod view_install;
