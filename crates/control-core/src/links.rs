//! Streams to the other cores: one sender thread each, which drops what a dead colleague never read.
use control_chain::message::Sent;
use crossbeam::channel::{Sender, bounded};
use fleet_common::frame;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Default)]
pub struct Links {
    senders: HashMap<SocketAddr, Sender<Sent>>,
}

impl Links {
    pub fn send(&mut self, to: SocketAddr, sent: Sent) {
        let sender = self.senders.entry(to).or_insert_with(|| {
            let (sender, receiver) = bounded::<Sent>(512);
            std::thread::spawn(move || {
                let mut stream = None;
                let mut closed_until = Instant::now();
                for sent in receiver {
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
            sender
        });
        let _ = sender.try_send(sent);
    }
}
