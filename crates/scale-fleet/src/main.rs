//! Measures what each role of the fleet costs at several sizes, on one machine.
mod child;
mod hollow;
mod plot;
mod point;
mod report;
mod roles;
mod stirs;
mod tables;

use point::Point;
use scale_fleet::size::{self, AXES};
use std::io::Write;
use std::path::{Path, PathBuf};

mod flags {
    use std::path::PathBuf;
    xflags::xflags! {
        /// A scale run. Each axis takes sizes parted by commas: the first of each make the base, the others are
        /// tried one axis at a time.
        cmd scale-fleet {
            /// Hollow nodes.
            optional --nodes sizes: String
            /// Replicas.
            optional --replicas sizes: String
            /// Cache events a second, of all replicas together.
            optional --events sizes: String
            /// Kept parts of each replica.
            optional --parts sizes: String
            /// Tenants, and as many routes.
            optional --tenants sizes: String
            /// How long each point is watched.
            optional --seconds seconds: f64
            /// The first seed; each repeat takes the next.
            optional --seed seed: u64
            /// How often each point is measured.
            optional --repeats times: u64
            /// Where points are added, one a line (JSON).
            optional --points file: PathBuf
            /// Where plots are written.
            optional --plots folder: PathBuf
            /// Points with more nodes are left out of the fits.
            optional --fit-nodes most: u64
            /// Lose an index node at the end of each point.
            optional --lose
            /// Measure nothing: tables and plots from the points kept.
            optional --only-report
            /// Measure one table alone, at the sizes of --parts.
            optional --only-tables
            /// A child's role (JSON); for this program itself.
            optional --role text: String
        }
    }
}

fn read(file: &Path) -> Result<Vec<Point>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("points of {}: {e}", file.display()))?;
    text.lines().map(|line| sonic_rs::from_str(line).map_err(|e| format!("a point: {e}"))).collect()
}

fn run(flags: &flags::ScaleFleet) -> Result<(), String> {
    if flags.only_tables {
        let (sizes, seed) = (size::list(flags.parts.as_deref().unwrap_or("100"))?, flags.seed.unwrap_or(1));
        print!("{}", tables::rows(&sizes, seed..seed + flags.repeats.unwrap_or(3)));
        return Ok(());
    }
    let points = flags.points.clone().unwrap_or_else(|| PathBuf::from("scale-points.jsonl"));
    if !flags.only_report {
        let texts = [&flags.nodes, &flags.replicas, &flags.events, &flags.parts, &flags.tenants];
        let first = ["40", "40", "500", "100", "50"];
        let mut lists: [Vec<u64>; AXES.len()] = Default::default();
        for (at, text) in texts.iter().enumerate() {
            lists[at] = size::list(text.as_deref().unwrap_or(first[at]))?;
        }
        let (seed, seconds) = (flags.seed.unwrap_or(1), flags.seconds.unwrap_or(5.0));
        let opened = std::fs::OpenOptions::new().create(true).append(true).open(&points);
        let mut kept = opened.map_err(|e| format!("points to {}: {e}", points.display()))?;
        for repeat in 0..flags.repeats.unwrap_or(3) {
            for (axis, size) in size::tried(&lists, seed + repeat) {
                let point = point::measure(&axis, size, seconds, &std::env::temp_dir(), flags.lose);
                println!("{}", report::line(&point));
                let text = sonic_rs::to_string(&point).map_err(|e| format!("a point: {e}"))?;
                writeln!(kept, "{text}").map_err(|e| format!("points to {}: {e}", points.display()))?;
            }
        }
    }
    let mut points = read(&points)?;
    points.retain(|point| flags.fit_nodes.is_none_or(|most| point.size.nodes <= most));
    print!("{}", report::tables(&points));
    match &flags.plots {
        Some(folder) => plot::all(&points, folder),
        None => Ok(()),
    }
}

fn main() {
    let flags = flags::ScaleFleet::from_env_or_exit();
    let done = match &flags.role {
        Some(text) => sonic_rs::from_str(text).map_err(|e| format!("own role: {e}")).and_then(roles::play),
        None => run(&flags),
    };
    if let Err(fault) = done {
        eprintln!("scale-fleet: {fault}");
        std::process::exit(1);
    }
}
