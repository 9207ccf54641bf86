//! The index's logic: chained block hashes, counting tables fed by events, bit filters, mirrors.
//! After "Deployment of Collaborative Web Caching with Active Networks", section 4.

pub mod blocks;
mod copying;
pub mod counting;
pub mod event;
pub mod filter;
pub mod table;
