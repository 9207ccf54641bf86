//! Measures the index in simulated time: the product's own tables, filters, placing and choice of
//! source, around simulated replicas whose caches are known exactly.

pub mod load;
mod replica;
pub mod world;
