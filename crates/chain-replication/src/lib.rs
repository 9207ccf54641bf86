//! The protocol that replicates the control state: chain replication, with views that are decided by Paxos. No I/O here,
//! only steps: [`control_replica`] takes an input at a time and gives what is to be done.
//!
//! | module | what |
//! | --- | --- |
//! | [`control_replica`] | one replica: what it consists of, and where each input goes |
//! | [`step`] | inputs and outputs of a step |
//! | [`message`] | what replicas tell each other |
//! | [`view`], [`hard_state`] | who is in the chain; what must be found again on the disk |
//! | [`log`], [`replicator`], [`snapshot_transfer`] | the log; what followers have and lack; snapshots in parts |
//! | [`paxos`], [`ballot`] | the decision on the next view: proposer and acceptor |
//! | [`membership`], [`failure_detector`], [`discovery`] | which view is wanted; who is alive; who there is |
//! | [`link_reports`], [`chain_order`] | which links between replicas fail; an order of the chain that needs none of them |
//! | [`lease`] | the tail's lease, by the tail and by the voters |
//! | [`write_queue`], [`recovery`] | writes that are not yet durable; starting from a disk |
//! | [`node_status`], [`listing`] | what is known of nodes, and of the platform's list of replicas |
//! | [`listing_pollers`] | which replica polls the platform for that list |
//! | `releases`, `pending` | when weights were released; requests that wait for a commit |
//! | [`timing`] | every duration |

pub mod ballot;
pub mod chain_order;
pub mod control_replica;
pub mod discovery;
pub mod failure_detector;
pub mod hard_state;
pub mod lease;
pub mod link_reports;
pub mod listing;
pub mod listing_pollers;
pub mod log;
pub mod membership;
pub mod message;
pub mod node_status;
pub mod paxos;
pub mod recovery;
pub mod replicator;
pub mod snapshot_transfer;
pub mod step;
pub mod timing;
pub mod view;
pub mod write_queue;

mod fingerprint;
mod pending;
mod releases;
