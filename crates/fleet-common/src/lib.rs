//! What every program of the fleet shares: frames between our own processes, errors that carry
//! step and peer, the ring log, hashes, HTTP edges, and checked JSON.

pub mod cancellable_http;
mod client_socket;
pub mod counters;
pub mod frame;
pub mod hash;
pub mod http_client;
pub mod http_server;
pub mod json;
pub mod log_output;
pub mod memory_budget;
pub mod memory_watch;
pub mod node;
pub mod packed;
pub mod peer_error;
pub mod process;
pub mod rcu;
pub mod ring;
pub mod rpc;
pub mod settings;
pub mod signals;
pub mod socket;
pub mod startup;
pub mod threads;

pub use packed::{Bytes, List, Text};
pub use peer_error::{PeerError, Step};
pub use rcu::Rcu;
