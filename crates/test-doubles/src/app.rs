//! A small app service: says back what it got.
use fleet_common::http_server;
use fleet_common::json::quote;
use std::net::TcpListener;

pub fn run(listener: TcpListener) {
    http_server::serve(listener, 64, |incoming| {
        let body = format!(
            "{{\"path\":{},\"bytes\":{},\"request\":{},\"budgetMs\":{},\"once\":{}}}",
            quote(&incoming.path),
            incoming.body.len(),
            quote(incoming.header("x-request-id").unwrap_or_default()),
            quote(incoming.header("x-budget-ms").unwrap_or_default()),
            quote(incoming.header("x-once-key").unwrap_or_default())
        );
        incoming.respond(200, "application/vnd.stops+json", body.as_bytes(), vec![]);
    })
    .expect("serving");
    loop {
        std::thread::park();
    }
}
