//! Connections to the other members: one sender thread each, with a bounded queue. Messages beyond it are dropped, as
//! the protocol sends them again.
use chain_replication::message::PeerMessage;
use crossbeam::channel::{Sender, TrySendError, bounded};
use fleet_common::threads::{self, STACK, ThreadError};
use fleet_common::{frame, ring};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// So many bytes may be queued for a peer that does not read.
const QUEUED_BYTES_MAX: usize = 8 << 20;

#[derive(Default)]
pub struct PeerConnections {
    connections: HashMap<SocketAddr, (Sender<PeerMessage>, Arc<AtomicUsize>)>,
}

impl PeerConnections {
    pub fn send(&mut self, to: SocketAddr, sent: PeerMessage) {
        let bytes = sent.message.approximate_bytes();
        let (sender, waiting) = match self.connections.entry(to) {
            Entry::Occupied(link) => link.into_mut(),
            Entry::Vacant(place) => match spawn_sender(to) {
                Ok(link) => place.insert(link),
                // What is dropped here is sent again, and then a thread is asked for again.
                Err(error) => return ring::info(&error.to_string()),
            },
        };
        if waiting.load(Ordering::Relaxed) + bytes <= QUEUED_BYTES_MAX {
            waiting.fetch_add(bytes, Ordering::Relaxed);
            match sender.try_send(sent) {
                Ok(()) => {}
                Err(TrySendError::Full(_)) => _ = waiting.fetch_sub(bytes, Ordering::Relaxed),
                // Its thread panicked: the next message has another one.
                Err(TrySendError::Disconnected(_)) => _ = self.connections.remove(&to),
            }
        }
    }
}

/// The thread that writes to one peer, and how many bytes wait for it.
fn spawn_sender(to: SocketAddr) -> Result<(Sender<PeerMessage>, Arc<AtomicUsize>), ThreadError> {
    let waiting = Arc::new(AtomicUsize::new(0));
    let taken = waiting.clone();
    let (sender, receiver) = bounded::<PeerMessage>(512);
    threads::spawn_named("link", STACK, move || {
        let mut stream = None;
        let mut closed_until = Instant::now();
        for sent in receiver {
            taken.fetch_sub(sent.message.approximate_bytes(), Ordering::Relaxed);
            if stream.is_none() && Instant::now() >= closed_until {
                stream = frame::connect(to, Duration::from_secs(5)).ok();
                closed_until = Instant::now() + Duration::from_millis(100);
            }
            if let Some(open) = &mut stream
                && frame::write(open, &sent, &to.to_string()).is_err()
            {
                stream = None;
            }
        }
    })?;
    Ok((sender, waiting))
}
