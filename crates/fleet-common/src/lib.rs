//! What every program of the fleet shares: frames between our own processes, errors that carry
//! step and peer, the ring log, hashes, HTTP edges, and checked JSON.

pub mod ask;
pub mod counters;
pub mod frame;
pub mod hash;
pub mod http_cut;
pub mod http_in;
pub mod http_out;
pub mod json;
pub mod node;
pub mod packed;
pub mod peer_error;
pub mod rcu;
pub mod ring;
pub mod settings;
pub mod signals;
mod stream_of;
pub mod threads;

pub use packed::{Bytes, List, Text};
pub use peer_error::{PeerError, Step};
pub use rcu::Rcu;
