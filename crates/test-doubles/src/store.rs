//! The prefix store: holds blocks of many weights, hands them over, and tells of them by events.
use crate::cache::Cache;
use crate::events::Events;
use crate::flags::Store as Flags;
use crate::listen;
use crate::running::read_kv;
use fleet_common::http_server;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub fn run(flags: &Flags) {
    let listener = listen(flags.listen);
    let cache = Arc::new(Mutex::new(Cache::new(flags.blocks.unwrap_or(20_000))));
    let events = Arc::new(Events::new());
    let near_us = flags.near_us.unwrap_or(400);
    let served =
        http_server::serve(listener, 64, move |incoming| match (incoming.method.as_str(), incoming.path.as_str()) {
            ("POST", "/put") => {
                let Ok((made, _, chain)) = read_kv(&incoming.body) else {
                    return incoming.respond_json(400, "{}", vec![]);
                };
                let mut held = cache.lock().unwrap();
                let (stored, forgotten) = held.store(&chain, &made);
                events.stored(&stored, None, 0);
                events.removed(&forgotten);
                drop(held);
                incoming.respond_json(200, "{}", vec![]);
            }
            ("POST", "/kv") => {
                let Ok((made, _, chain)) = read_kv(&incoming.body) else {
                    return incoming.respond_json(400, "{}", vec![]);
                };
                let held = cache.lock().unwrap().leading(&chain, &made);
                std::thread::sleep(Duration::from_micros(near_us * held as u64));
                incoming.respond_json(200, &format!("{{\"blocks\":{held}}}"), vec![]);
            }
            ("GET", "/events") => events.answer(incoming, || (String::new(), 0)),
            _ => incoming.respond_json(404, "{}", vec![]),
        });
    served.expect("serving");
    loop {
        std::thread::park();
    }
}
