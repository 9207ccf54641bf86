//! What every program of the fleet shares: frames between our own processes, mishaps that carry
//! step and colleague, the ring log, hashes, HTTP edges, and checked JSON.

pub mod ask;
pub mod counters;
pub mod frame;
pub mod hash;
pub mod http_cut;
pub mod http_in;
pub mod http_out;
pub mod json;
pub mod mishap;
pub mod node;
pub mod packed;
pub mod rcu;
pub mod ring;
pub mod settings;
pub mod signals;
mod stream_of;
pub mod threads;

pub use mishap::{Mishap, Step};
pub use packed::{Bytes, List, Text};
pub use rcu::Rcu;
