//! Starts a fleet on loopback, gives it its blueprint, lets callers loose and prints checked figures.
use local_fleet::fleet::{Fleet, Size};
use local_fleet::shape::{Shape, rahguzar, tanoa};

mod flags {
    use std::path::PathBuf;
    xflags::xflags! {
        /// A coursebend fleet on loopback.
        cmd local-fleet {
            /// rahguzar, tanoa or both.
            optional --shape name: String
            optional --edges n: usize
            optional --replicas n: usize
            optional --seconds n: u64
            optional --per-second n: u64
            optional --seed n: u64
            /// Where processes keep data and logs.
            optional --folder path: PathBuf
            /// Bring faults about and measure instead of letting callers loose.
            optional --measure
            /// Kill so many edges before the callers begin.
            optional --lose-edges n: usize
            /// Keep the fleet running until interrupted.
            optional --stay
            /// Show the version.
            optional --version
        }
    }
}

fn run(shape: Shape, flags: &flags::LocalFleet) -> Result<(), String> {
    let size = Size { edges: flags.edges.unwrap_or(3), replicas: flags.replicas.unwrap_or(6) };
    let folder = flags.folder.clone().unwrap_or_else(|| std::env::temp_dir().join("coursebend")).join(shape.name);
    let per_second = flags.per_second.unwrap_or(shape.per_second);
    println!(
        "{}: 4 cores, {} edges, {} replicas; data and logs in {}",
        shape.name,
        size.edges,
        size.replicas,
        folder.display()
    );
    let mut fleet = Fleet::start(shape, size, folder);
    fleet.set_up()?;
    if flags.measure {
        local_fleet::measure::all(&mut fleet);
        return Ok(());
    }
    let pages: Vec<String> = fleet.processes.iter().map(|p| format!("{}={}", p.name, p.http)).collect();
    println!("  pages: {}", pages.join(" "));
    println!("  callers reach: {:?}", fleet.edges);
    for at in 1..=flags.lose_edges.unwrap_or(0).min(size.edges - 1) {
        fleet.lose_edge(at);
    }
    let callers = fleet.callers(flags.seconds.unwrap_or(6), per_second, flags.seed.unwrap_or(1));
    let output = callers.wait_with_output().map_err(|e| e.to_string())?;
    let words = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("  callers saw: {}", words.trim());
    let lost = size.edges - fleet.edges.len();
    for at in lost + 1..=size.edges {
        let counts =
            fleet.page(&format!("edge-{at}"), "/metrics").replace("coursebend_router_", "").replace('\n', "; ");
        println!("  edge-{at}: {counts}");
    }
    if flags.stay {
        println!("  staying; interrupt to end");
        loop {
            std::thread::park();
        }
    }
    check(&words)
}

/// The run fails unless all answers were right, and hand-overs happened.
fn check(words: &str) -> Result<(), String> {
    use sonic_rs::JsonValueTrait;
    let number = |name: &str| sonic_rs::get(words, [name]).ok().and_then(|v| v.as_u64());
    match (number("calls"), number("whole"), number("wrong"), number("sourced")) {
        (Some(calls), Some(whole), Some(0), Some(sourced)) if whole * 10 >= calls * 9 && sourced > 0 => Ok(()),
        other => Err(format!("calls, whole, wrong, sourced: {other:?}")),
    }
}

fn main() {
    let flags = flags::LocalFleet::from_env_or_exit();
    if flags.version {
        return println!("local-fleet {}", env!("CARGO_PKG_VERSION"));
    }
    let shapes = match flags.shape.as_deref() {
        Some("rahguzar") => vec![rahguzar()],
        Some("tanoa") => vec![tanoa()],
        None | Some("both") => vec![rahguzar(), tanoa()],
        Some(other) => {
            eprintln!("local-fleet: no shape {other}: rahguzar, tanoa or both");
            std::process::exit(64);
        }
    };
    for shape in shapes {
        let name = shape.name;
        match run(shape, &flags) {
            Ok(()) => println!("{name}: good"),
            Err(what) => {
                eprintln!("{name}: {what}");
                std::process::exit(1);
            }
        }
    }
}
