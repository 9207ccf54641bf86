//! The platform: lists the replicas and marks those that are leaving.
use crate::events::field;
use fleet_common::http_server;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Mutex;

pub fn run(listener: TcpListener, listing: Option<PathBuf>) {
    let first = listing.and_then(|path| std::fs::read_to_string(path).ok());
    let listing = Mutex::new(first.unwrap_or_else(|| "{\"replicas\":[]}".into()));
    http_server::serve(listener, 64, move |incoming| match (incoming.method.as_str(), incoming.path.as_str()) {
        ("GET", "/replicas") => {
            let text = listing.lock().unwrap().clone();
            incoming.respond_json(200, &text, vec![]);
        }
        ("PUT", "/replicas") => {
            *listing.lock().unwrap() = String::from_utf8_lossy(&incoming.body).into_owned();
            incoming.respond_json(200, "{}", vec![]);
        }
        ("POST", "/leaving") => {
            let mut text = listing.lock().unwrap();
            let id = field(&incoming.query, "id").unwrap_or_default();
            let rows: Vec<String> = text
                .split("{\"id\":")
                .map(|row| {
                    let marked = row.starts_with(&format!("\"{id}\""));
                    if marked { row.replace("\"leaving\":false", "\"leaving\":true") } else { row.to_string() }
                })
                .collect();
            *text = rows.join("{\"id\":");
            drop(text);
            incoming.respond_json(200, "{}", vec![]);
        }
        _ => incoming.respond_json(404, "{}", vec![]),
    })
    .expect("serving");
    loop {
        std::thread::park();
    }
}
