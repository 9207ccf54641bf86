//! The replicated control state, and what nodes keep of it. It knows nothing of the protocol that replicates it: commands
//! come in the order of the log, and each replica that applies the same ones has the same state.
//!
//! | module | what |
//! | --- | --- |
//! | [`state`] | all control state, as it is applied to, stored and pulled |
//! | [`command`], [`outcome`], `effect` | what changes it, and what came of a command |
//! | `apply`, `claims`, `route_config_changes`, [`accepted_changes`] | what each command does |
//! | [`fleet_config`], [`rules`] | the product's own configuration, and its rules on requests |
//! | [`route_config`] | the configuration of routes that operators of the platform send |
//! | [`fleet`], [`relay`] | what a node knows of the fleet; what an agent keeps for its router |
//! | [`release_clock`], [`superseded_weights`], [`process_instant`] | when weights were released, and how long older ones may serve |
//!
//! What is stored or pulled is JSON under the names of its fields. Where a field has another name here, its stored name
//! stands beside it (`serde(rename)`).

pub mod accepted_changes;
pub mod command;
pub mod fleet;
pub mod fleet_config;
pub mod outcome;
pub mod process_instant;
pub mod relay;
pub mod release_clock;
pub mod route_config;
pub mod rules;
pub mod state;
pub mod superseded_weights;

mod apply;
mod claims;
mod effect;
mod route_config_changes;
