//! One control machine of four has no way to the platform's list; the other three have. Is any request served?
#[path = "fleet.rs"]
mod fleet;

use fleet::{Bounds, Lab, Machine, Operator, Record, Replica, ReplicaList, cannot_run, request, serve};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CORES: [u8; 4] = [11, 12, 13, 14];
const SEEDS: [u8; 3] = [11, 12, 13];
const EDGES: [u8; 2] = [31, 32];
const REPLICAS: u8 = 18;
/// The machine whose way to the platform leads over a proxy.
const CUT_CORE: u8 = 11;
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

/// A proxy in front of the platform. While the way is cut, what is sent to it gets no answer; the count is of calls.
fn start_proxy(at: SocketAddr, platform: SocketAddr, is_cut: bool) -> Arc<AtomicU64> {
    let calls = Arc::new(AtomicU64::new(0));
    let counted = calls.clone();
    serve(at, move |mut from| {
        counted.fetch_add(1, Ordering::AcqRel);
        if is_cut {
            // Silence: read what comes until the caller gives up.
            let mut bytes = [0; 4096];
            while from.read(&mut bytes).is_ok_and(|count| count > 0) {}
            return;
        }
        let (Ok(mut to), Ok(mut back)) = (TcpStream::connect(platform), from.try_clone()) else { return };
        let Ok(mut answers) = to.try_clone() else { return };
        std::thread::spawn(move || std::io::copy(&mut answers, &mut back));
        let _ = std::io::copy(&mut from, &mut to);
    });
    calls
}

fn run(record: &Arc<Record>, trouble: bool) -> i32 {
    let mut lab = Lab::new(record.clone(), Bounds { version_delay_ms: 12_000 });
    let list = ReplicaList::default();
    list.serve(&lab.network);
    let proxy = lab.network.list_proxy();
    let cut_calls = start_proxy(proxy, lab.network.list(), trouble);
    lab.platform_paths.insert(CUT_CORE, proxy);
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
    let (over_proxy, answered) = (cut_calls.load(Ordering::Acquire), list.calls.load(Ordering::Acquire));
    let line = format!(
        "{sent} requests sent, {served} served; {over_proxy} calls of core-{CUT_CORE} to the platform, {answered} calls answered by it"
    );
    record.note(&line);
    println!("{line}");
    drop(edges);
    drop(cores);
    lab.clear();
    i32::from(served == 0)
}
