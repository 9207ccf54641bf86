//! The whole fleet in simulated time, from one seed: control replicas, edges, index nodes, replicas, a store, a platform,
//! operators and clients over a network that fails. The fleet's own state machines run in it as they run in the programs;
//! checkers look only at what clients, replicas and operators saw.

/// Control replicas on their disks and network, and the leases of agents and routers: test code that this crate shares
/// with the tests of the protocol, which have no API documentation.
#[allow(missing_docs)]
#[path = "../../chain-replication/tests/sim/mod.rs"]
pub mod cores;

mod admission;
pub mod clients;
mod control_calls;
pub mod faults;
mod figures;
mod index;
mod invariants;
pub mod operators;
mod replica;
mod replica_requests;
mod request_actions;
mod router;
mod scenario;
pub mod shape;
mod wire;
pub mod world;

pub use scenario::{Outcome, run};
