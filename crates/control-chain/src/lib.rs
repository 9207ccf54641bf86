//! The control state and the chain that keeps it: no I/O here, only steps.

pub mod accepted_changes;
pub mod blueprint;
mod chores;
mod claiming;
pub mod command;
pub mod configuration;
mod configuring;
pub mod core;
pub mod fleet;
pub mod lister;
pub mod message;
pub mod outcome;
pub mod relay;
pub mod rules;
pub mod state;
pub mod view;

mod agreeing;
mod answering;
mod appending;
mod applying;
mod asked;
mod bounds;
mod fingerprint;
mod forcing;
mod hearing;
mod installing;
mod knowing;
mod ruling;
mod steps;
mod terms;
mod wishing;
