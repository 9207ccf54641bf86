//! The requests that a replica of this project is sent.
use crate::golden_file::compare;
use fleet_common::http_server;
use prefix_index::{HttpReplicaClient, OrderRequest, PollRequest, ReplicaApi};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};

const EVENTS: &str = r#"{"incarnation":"inc","weights":"w1","load":2,"next":8,"events":[{"seq":7,"event":{"type":"AllBlocksCleared"}}]}"#;

#[test]
fn a_replica_is_asked_as_it_was() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let seen = Arc::new(Mutex::new(String::new()));
    let record = seen.clone();
    http_server::serve(listener, 1, move |incoming| {
        let body = String::from_utf8_lossy(&incoming.body).into_owned();
        let kind = incoming.header("content-type").unwrap_or_default();
        let line = format!("{} {}?{} {kind} {body}\n", incoming.method, incoming.path, incoming.query);
        record.lock().unwrap().push_str(&line);
        match incoming.path.as_str() {
            "/events" => incoming.respond_json(200, EVENTS, vec![]),
            _ => incoming.respond_json(409, "{\"error\":\"older fence\"}", vec![]),
        }
    })
    .unwrap();
    let poll = PollRequest {
        replica: "r1".into(),
        at: at.clone(),
        incarnation: "inc".into(),
        from: 7,
        is_store: false,
        ordered: false,
    };
    let report = HttpReplicaClient.poll(&poll).unwrap();
    assert_eq!(sonic_rs::to_string(&report.batch).unwrap(), EVENTS);
    let order = OrderRequest {
        replica: "r1".into(),
        at: at.clone(),
        owner: "i\"1".into(),
        fencing_token: 17,
        model: "m1".into(),
        has_several_models: false,
        weights: "w2".into(),
    };
    let refused = HttpReplicaClient.order(&order).unwrap_err().to_string().replace(&at, "AT");
    let text = seen.lock().unwrap().clone();
    compare("replicas.txt", &format!("{text}{refused}\n"));
}
