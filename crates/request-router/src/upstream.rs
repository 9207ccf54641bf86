//! The stream from a replica, read by a thread of its own and handed on in whole events.
use crossbeam::channel::{Receiver, Sender, bounded};
use fleet_common::http_out::{self, Opened};
use fleet_common::{Mishap, Step};
use std::io::Read;
use std::time::Duration;

/// What comes from a replica, in order.
pub enum Coming {
    Head(u16, Vec<(String, String)>),
    Event(Vec<u8>),
    Whole,
    Broken(Mishap),
}

/// Opens a stream in the background. Dropping the receiver drops the stream at its next piece, or
/// when `stall` passes without one.
pub fn start(url: String, headers: Vec<(&'static str, String)>, body: Vec<u8>, stall: Duration) -> Receiver<Coming> {
    let (sender, receiver) = bounded(64);
    std::thread::spawn(move || {
        let opened = match http_out::open("POST", &url, &headers, &body, stall) {
            Ok(opened) => opened,
            Err(mishap) => return drop(sender.send(Coming::Broken(mishap))),
        };
        let Opened { status, headers, body } = opened;
        if sender.send(Coming::Head(status, headers)).is_ok() {
            pump(body, &url, &sender);
        }
    });
    receiver
}

fn pump(mut body: impl Read, url: &str, sender: &Sender<Coming>) {
    let mut held: Vec<u8> = Vec::new();
    let mut buffer = [0u8; 16 << 10];
    loop {
        match body.read(&mut buffer) {
            Ok(0) if held.is_empty() => return drop(sender.send(Coming::Whole)),
            Ok(0) => {
                let mishap = Mishap::at(Step::Ferry, url, "the stream ended inside an event");
                return drop(sender.send(Coming::Broken(mishap)));
            }
            Ok(n) => {
                held.extend_from_slice(&buffer[..n]);
                while let Some(end) = held.windows(2).position(|pair| pair == b"\n\n") {
                    let rest = held.split_off(end + 2);
                    let event = std::mem::replace(&mut held, rest);
                    if sender.send(Coming::Event(event)).is_err() {
                        return;
                    }
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return drop(sender.send(Coming::Broken(Mishap::at(Step::Ferry, url, e)))),
        }
    }
}
