//! Streams to the other cores: one sender thread each, which drops what a dead colleague never read.
use control_chain::message::Sent;
use crossbeam::channel::{Sender, bounded};
use fleet_common::frame;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// So much may wait for a colleague that does not read; what comes beyond is dropped, and sent again.
const WAITING_MOST: usize = 8 << 20;

#[derive(Default)]
pub struct Links {
    senders: HashMap<SocketAddr, (Sender<Sent>, Arc<AtomicUsize>)>,
}

impl Links {
    pub fn send(&mut self, to: SocketAddr, sent: Sent) {
        let bytes = sent.message.bytes();
        let (sender, waiting) = self.senders.entry(to).or_insert_with(|| {
            let waiting = Arc::new(AtomicUsize::new(0));
            let taken = waiting.clone();
            let (sender, receiver) = bounded::<Sent>(512);
            std::thread::spawn(move || {
                let mut stream = None;
                let mut closed_until = Instant::now();
                for sent in receiver {
                    taken.fetch_sub(sent.message.bytes(), Ordering::Relaxed);
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
            });
            (sender, waiting)
        });
        if waiting.load(Ordering::Relaxed) + bytes <= WAITING_MOST {
            waiting.fetch_add(bytes, Ordering::Relaxed);
            if sender.try_send(sent).is_err() {
                waiting.fetch_sub(bytes, Ordering::Relaxed);
            }
        }
    }
}
