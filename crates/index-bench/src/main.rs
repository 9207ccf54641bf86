//! Prints tables of figures for docs/measurements.md.
use index_bench::load::{FAST_LINKS, SLOW_LINKS, Workload};
use index_bench::world::{DEFAULT_PARAMETERS, Figures, Parameters, Strategy, run};

mod flags {
    xflags::xflags! {
        /// Measures the index in simulated time.
        cmd index-bench {
            /// Seeds to run, from 1 on.
            optional --seeds n: u64
            /// Requests a run.
            optional --requests n: usize
        }
    }
}

/// The middle and the spread over seeds of one figure.
fn spread(all: &[Figures], of: impl Fn(&Figures) -> f64) -> String {
    let mut each: Vec<f64> = all.iter().map(of).collect();
    each.sort_by(f64::total_cmp);
    let (least, most) = (each[0], each[each.len() - 1]);
    format!("{:.3} ({least:.3}-{most:.3})", each[each.len() / 2])
}

fn row(shape: Workload, name: &str, knobs: Parameters, seeds: u64) {
    let runs: Vec<_> = (1..=seeds).map(|seed| std::thread::spawn(move || run(shape, knobs, seed))).collect();
    let all: Vec<Figures> = runs.into_iter().filter_map(|run| run.join().ok()).collect();
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    println!(
        "| {} | {name} | {} | {} | {} | {} | {} | {} | {} | {} |",
        shape.name,
        spread(&all, |f| share(f.recomputed, f.wanted)),
        spread(&all, |f| share(f.useful, f.misses)),
        spread(&all, |f| share(f.collisions, f.attempts)),
        spread(&all, |f| share(f.stale, f.attempts)),
        spread(&all, |f| share(f.lost_event, f.attempts)),
        spread(&all, |f| f.first_token_ms(0.5)),
        spread(&all, |f| f.first_token_ms(0.99)),
        spread(&all, |f| f.filter_bytes as f64 / f.first_us.len().max(1) as f64),
    );
}

fn main() {
    let flags = flags::IndexBench::from_env_or_exit();
    let seeds = flags.seeds.unwrap_or(7);
    let base = Parameters { requests: flags.requests.unwrap_or(DEFAULT_PARAMETERS.requests), ..DEFAULT_PARAMETERS };
    println!(
        "| shape | varied | blocks read anew / wanted | useful hand-overs / miss | collisions / try | stale / try | lost event / try | first piece p50 ms | p99 ms | filter bytes / request |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for shape in [FAST_LINKS, SLOW_LINKS] {
        for (name, way) in [
            ("spread", Strategy::Spread),
            ("affinity", Strategy::Affinity),
            ("hand-over", Strategy::Transfer),
            ("all known", Strategy::PerfectKnowledge),
        ] {
            row(shape, name, Parameters { strategy: way, ..base }, seeds);
        }
        for alpha in [1, 2, 5, 20] {
            row(shape, &format!("alpha {alpha}"), Parameters { alpha, ..base }, seeds);
        }
        for beta in [5, 10, 50, 100, 200] {
            row(shape, &format!("beta {beta}"), Parameters { beta, ..base }, seeds);
        }
        for bits in [4096, 8192, 32_768, 65_536] {
            row(shape, &format!("m {bits}"), Parameters { bits, ..base }, seeds);
        }
        for (bits, beta) in [(65_536, 100), (8192, 10)] {
            row(shape, &format!("m {bits} beta {beta}"), Parameters { bits, beta, ..base }, seeds);
        }
        for alpha in [1, 5, 20] {
            let small = Parameters { bits: 4096, cache: 800, alpha, ..base };
            row(shape, &format!("m 4096 cache 800 alpha {alpha}"), small, seeds);
        }
        for hashes in [1, 2, 4, 8] {
            row(shape, &format!("m 8192 k {hashes}"), Parameters { bits: 8192, hashes, ..base }, seeds);
        }
        for lost in [10, 100] {
            row(shape, &format!("events lost {}%", lost as f64 / 10.0), Parameters { lost, ..base }, seeds);
        }
        for cache in [400, 800, 4000] {
            row(shape, &format!("cache {cache}"), Parameters { cache, ..base }, seeds);
        }
    }
}
