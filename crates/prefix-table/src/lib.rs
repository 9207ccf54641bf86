//! The index's logic: chained block hashes, counting tables fed by events, bit filters, mirrors, and
//! the index node itself as a state machine: no I/O here.
//! After "Deployment of Collaborative Web Caching with Active Networks", section 4.

pub mod blocks;
mod copying;
pub mod counting;
mod duties;
pub mod event;
pub mod filter;
pub mod index_node;
mod kept;
mod news;
mod ordering;
mod parts;
mod pulling;
pub mod roll_out;
pub mod rolling;
pub mod seats;
pub mod sizing;
pub mod table;
