//! The index of cached prefixes, without I/O.
//!
//! - What a replica has cached: `blocks` (hashes), `event` (its reports), `table` with `prompt_parts`, `table_size` and
//!   `table_snapshot`, over `counting_filter` and `filter` (Bloom filters, and the routers' copies of them).
//! - An index node as a state machine: `index_node` (inputs and outputs), `tracked_replica` (one replica and its polls),
//!   `assignments` (which node owns which replica), `announcements` and `peer_requests` (what it sends and answers),
//!   `fleet_updates` (what it pulls), `replica_reports` (what other nodes report), `replica_weights` (the versions that a
//!   replica runs).
//! - Rollouts of weights: `rollout_planner` (whose turn it is), `load_orders` (orders to replicas), `rollout_progress`.
//!
//! Filters and their exchange follow "Deployment of Collaborative Web Caching with Active Networks", section 4.

mod announcements;
mod assignments;
pub mod blocks;
pub mod counting_filter;
pub mod event;
pub mod filter;
mod fleet_updates;
pub mod index_node;
mod load_orders;
mod peer_requests;
mod prompt_parts;
pub mod replica_reports;
pub mod replica_weights;
pub mod rollout_planner;
pub mod rollout_progress;
pub mod table;
pub mod table_size;
mod table_snapshot;
mod tracked_replica;
