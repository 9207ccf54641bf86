//! Drills on streams: a caller that leaves, a budget that ends, a replica that breaks off.
mod world;

use run_fleet::fleet::Fleet;
use sonic_rs::JsonValueTrait;
use stand_in::checks::call;
use std::io::{Read, Write};
use std::net::TcpStream;
use world::*;

fn pieces_of(fleet: &Fleet, prompt_id: &str) -> Option<u64> {
    let all = runs(fleet);
    let run = all.iter().find(|(_, run)| field(run, "once") == prompt_id)?;
    run.1.get("pieces")?.as_u64()
}

#[test]
fn streams_end_for_the_replica_when_they_end_for_the_caller() {
    let fleet = fleet("streams");
    // A caller that goes away after its first piece.
    let body = "{\"model\":\"m1\",\"prompt\":\"wait for me\",\"max_tokens\":5000,\"stream\":true}";
    let mut stream = TcpStream::connect(fleet.edges[0]).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-canal\r\nIdempotency-Key: left\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut first = [0u8; 64];
    stream.read_exact(&mut first).unwrap();
    drop(stream);
    let edge_done = || fleet.page("edge-1", "/self").contains("\"inFlight\":0");
    assert!(Fleet::until(LONG, edge_done), "the edge did not let go");
    let unknown = || {
        let claim = fleet.query(&["claim", "canal", "left"]);
        String::from_utf8_lossy(&claim.stdout).contains("\"unknown\"")
    };
    assert!(Fleet::until(LONG, unknown));
    let idle = || fleet.replicas.iter().all(|(id, _)| fleet.page(id, "/load").contains("\"running\":0"));
    assert!(Fleet::until(LONG, idle), "a replica runs on for nobody");
    assert!(pieces_of(&fleet, "left").unwrap() < 5000);

    // A budget that ends in mid-stream cuts; one that ends before the first piece is told.
    let mut short = job(&fleet, 1, "canal", &text(300), 5000);
    short.kind = "reroute";
    short.budget_ms = Some(400);
    let result = call(&short);
    assert!(result.cut && result.wrong.is_none() && !result.whole, "status {}", result.status);
    short.prompt = text(90_000);
    let result = call(&short);
    assert_eq!((result.status, result.header("x-outcome")), (504, Some("unknown")));
    assert!(Fleet::until(LONG, idle));

    // A replica that breaks off: the caller of a stream sees the cut, one that waits is told.
    for (id, _) in &fleet.replicas {
        post(&fleet, id, "/faults?break_after=6");
    }
    let broken = call(&job(&fleet, 2, "canal", &text(300), 50));
    assert!(broken.cut && broken.wrong.is_none(), "status {}", broken.status);
    let mut whole = job(&fleet, 2, "canal", &text(300), 50);
    whole.stream = false;
    let told = call(&whole);
    assert_eq!((told.status, told.header("x-outcome")), (503, Some("unknown")));
    assert!(told.header("retry-after").is_some());
}
