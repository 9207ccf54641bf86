//! The platform answers its list slowly: each page within half a second, all pages in less than two. Is any request
//! served?
#[path = "fleet.rs"]
mod fleet;

use fleet::{Bounds, Lab, Machine, Operator, Record, Replica, ReplicaList, cannot_run, request};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const CORES: [u8; 4] = [11, 12, 13, 14];
const SEEDS: [u8; 3] = [11, 12, 13];
const EDGES: [u8; 2] = [31, 32];
/// As many as in the larger deployments: four pages of the list.
const REPLICAS: u8 = 160;
/// What the platform takes for a page where it is slow; callers on the users' pages wait for a second.
const SLOW_ANSWER: Duration = Duration::from_millis(450);
const PATIENCE: Duration = Duration::from_secs(12);
/// For so long clients send requests.
const TRAFFIC: Duration = Duration::from_secs(45);
const GAP: Duration = Duration::from_millis(100);

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record_path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&record_path));
    let code = run(&record, trouble);
    record.note(&format!("exit {code}"));
    std::process::exit(code)
}

fn run(record: &Arc<Record>, trouble: bool) -> i32 {
    let lab = Lab::new(record.clone(), Bounds { version_delay_ms: 12_000 });
    let answer_time = if trouble { SLOW_ANSWER } else { Duration::ZERO };
    let list = ReplicaList { answer_time, ..ReplicaList::default() };
    list.serve(&lab.network);
    for number in 1..=REPLICAS {
        list.add(Replica::start(&lab.network, record, 60 + number, 1));
    }
    let cores: Vec<Machine> = CORES.iter().map(|host| lab.start_core(*host, &SEEDS, true)).collect();
    let edges: Vec<Machine> = EDGES.iter().map(|host| lab.start_edge(*host, &SEEDS, true)).collect();
    let operator = Operator { network: lab.network.clone(), record: record.clone(), cores: CORES.to_vec().into() };
    if !operator.configure(PATIENCE) {
        cannot_run("the first configuration was not acknowledged");
    }
    let (mut sent, mut served) = (0, 0);
    let begun = Instant::now();
    while begun.elapsed() < TRAFFIC {
        for edge in EDGES {
            sent += 1;
            served += u64::from(request(&lab.network, record, edge));
        }
        std::thread::sleep(GAP);
    }
    let calls = list.calls.load(Ordering::Acquire);
    record.note(&format!(
        "{sent} requests sent, {served} served; the list was asked for {calls} pages, each answered whole"
    ));
    println!("{} of {sent} requests served; {calls} pages of the list were answered", served);
    drop(edges);
    drop(cores);
    lab.clear();
    i32::from(served == 0)
}
