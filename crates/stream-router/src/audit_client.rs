//! The client of the index nodes' audit: a router reports each transfer that it has initiated, and the index node of
//! the source says whether the source really had the parts. Nobody else can detect a false hit of a filter.
use crate::filter_copies::index_client;
use crossbeam::channel::{Receiver, Sender, bounded};
use fleet_common::frame::Client;
use fleet_common::ring;
use fleet_common::rpc::{Request, Response, TransferReport, audit};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What an index node says of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuditVerdict {
    /// The source had the parts.
    Held,
    /// The source had not: the filter claimed it by a collision, or was stale.
    FalseHit,
    /// The index node cannot tell.
    Unknown,
}

impl From<u8> for AuditVerdict {
    fn from(verdict: u8) -> Self {
        match verdict {
            audit::CACHED => AuditVerdict::Held,
            audit::COLLISION | audit::STALE => AuditVerdict::FalseHit,
            _ => AuditVerdict::Unknown,
        }
    }
}

/// Transfers that wait for their audit. Where the queue is full, further ones are not audited.
pub struct AuditQueue<T> {
    sender: Sender<T>,
    receiver: Receiver<T>,
}

impl<T> AuditQueue<T> {
    /// An empty queue for `capacity` transfers.
    pub fn new(capacity: usize) -> Self {
        let (sender, receiver) = bounded(capacity);
        AuditQueue { sender, receiver }
    }

    /// Adds a transfer, unless the queue is full.
    pub fn push(&self, transfer: T) {
        let _ = self.sender.try_send(transfer);
    }

    /// Takes the next transfer, and waits for it where there is none.
    pub fn pop(&self) -> Option<T> {
        self.receiver.recv().ok()
    }
}

/// Connections to index nodes, kept between reports.
#[derive(Default)]
pub struct AuditClient {
    index_nodes: HashMap<SocketAddr, Client>,
}

impl AuditClient {
    /// Reports a transfer; `None` where no verdict came. Errors are noted in the log.
    pub fn report(&mut self, index_node: SocketAddr, transfer: TransferReport) -> Option<AuditVerdict> {
        let client = self.index_nodes.entry(index_node).or_insert_with(|| index_client(index_node));
        match client.call(&Request::TransferReport(transfer)) {
            Ok(Response::Audit(verdict)) => Some(verdict.into()),
            Ok(_) => None,
            Err(error) => {
                ring::info(&error.to_string());
                None
            }
        }
    }
}
