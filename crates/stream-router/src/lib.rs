//! The router of a fleet with a configuration of routes: it takes clients' requests by host and path, places them by
//! what replicas have cached and how busy they are, and forwards their streams event by event. The header names of
//! clients and replicas are a [`dialect`]'s business; everything that is decided is decided here.
//!
//! A request goes through the phases of [`phases`], is placed by [`placement`] and sent by [`forward`]; what follows a
//! failed attempt is decided by [`retry_policy`] alone. The parts that the router of the product's own interface shares
//! are [`agent_client`], [`filter_copies`] and [`audit_client`].

pub mod admission;
pub mod agent_client;
mod announcements;
pub mod audit_client;
mod backlog_key;
mod client_limits;
pub mod counters;
pub mod dialect;
pub mod events;
pub mod filter_copies;
mod fleet_updates;
pub mod forward;
pub mod gossip;
pub mod peer_requests;
pub mod phases;
pub mod placement;
pub mod readiness_log;
mod replica_response;
pub mod request_context;
mod request_policy;
pub mod retry_budget;
pub mod retry_policy;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod state;
pub mod subsets;
mod superseded_weights;
pub mod transfer_attempt;
pub mod transfer_audit;
