//! The keys under which backlogs are kept and announced.
use routing::link_queues::queue_key;

/// What has a backlog: a replica, or the link of a replica or store that transfers cached parts. The number is sent to
/// other routers, so it must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogKey<'a> {
    /// The prompts that wait at the replica of this id.
    Replica(&'a str),
    /// The transfers that wait for the link of the replica or store of this id.
    Link(&'a str),
}

impl BacklogKey<'_> {
    /// The key's number, the same in all routers.
    pub fn number(self) -> u64 {
        match self {
            BacklogKey::Replica(id) => queue_key(id),
            BacklogKey::Link(id) => queue_key(&format!("link of {id}")),
        }
    }
}
