//! A scale run on one machine: real cores, index nodes, an agent and a router in processes of their own, and
//! hundreds of hollow nodes in one process that speak the same protocol. What each role costs is read from
//! the system's own account of its process, and slopes are fitted over sizes.

pub mod counts;
pub mod events;
pub mod fit;
pub mod made_up;
pub mod size;
pub mod usage;
