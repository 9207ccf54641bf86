//! A small app service: says back what it got.
use fleet_common::http_in;
use fleet_common::json::quote;
use std::net::TcpListener;

pub fn run(listener: TcpListener) {
    http_in::serve(listener, |incoming| {
        let body = format!(
            "{{\"path\":{},\"bytes\":{},\"request\":{}}}",
            quote(&incoming.path),
            incoming.body.len(),
            quote(incoming.header("x-request-id").unwrap_or_default())
        );
        incoming.json(200, &body, vec![]);
    })
    .expect("serving");
    loop {
        std::thread::park();
    }
}
