//! Runs seeds of the simulated fleet and prints what was seen. A seed that fails prints itself, and is
//! run again by naming it.
use fleet_simulator::faults::{ALL, Fault};
use fleet_simulator::shape::DisabledGuard;
use fleet_simulator::{Outcome, run};
use std::sync::Mutex;
use std::time::Duration;

mod flags {
    use fleet_simulator::faults::Fault;
    xflags::xflags! {
        /// Runs a whole fleet in simulated time under faults, and judges what came of it.
        cmd fleet-simulator {
            /// Only this fault; all of them otherwise.
            optional --fault name: Fault
            /// The first seed, 0.
            optional --first n: u64
            /// How many seeds a fault, 20.
            optional --seeds n: u64
            /// Show the version.
            optional --version
        }
    }
}

#[derive(Default)]
struct Sum {
    runs: u64,
    failed: u64,
    calls: usize,
    whole: usize,
    first: u64,
    tries: u64,
    handed: usize,
    data: Duration,
    control: Duration,
    weights: Duration,
}

impl Sum {
    fn take(&mut self, outcome: &Outcome) {
        self.runs += 1;
        self.failed += u64::from(!outcome.violations.is_empty());
        self.calls += outcome.calls;
        self.whole += outcome.complete;
        self.first += outcome.attempts.0;
        self.tries += outcome.attempts.1;
        self.handed += outcome.with_source;
        self.data = self.data.max(outcome.data_recovery);
        self.control = self.control.max(outcome.control_recovery);
        self.weights = self.weights.max(outcome.longest_rollout);
    }
}

fn main() {
    let flags = flags::FleetSimulator::from_env_or_exit();
    if flags.version {
        return println!("fleet-simulator {}", env!("CARGO_PKG_VERSION"));
    }
    let faults: Vec<Fault> = flags.fault.map_or(ALL.to_vec(), |fault| vec![fault]);
    let (first, seeds) = (flags.first.unwrap_or(0), flags.seeds.unwrap_or(20));
    let workers = std::thread::available_parallelism().map_or(4, |n| n.get());
    let mut failed = 0;
    for fault in faults {
        let (next, sum) = (Mutex::new(first), Mutex::new(Sum::default()));
        std::thread::scope(|scope| {
            for _ in 0..workers {
                scope.spawn(|| {
                    loop {
                        let seed = {
                            let mut next = next.lock().unwrap_or_else(|held| held.into_inner());
                            *next += 1;
                            *next - 1
                        };
                        if seed >= first + seeds {
                            return;
                        }
                        let outcome = run(fault, seed, DisabledGuard::None);
                        if !outcome.violations.is_empty() {
                            println!("{fault:?}: --fault {fault:?} --first {seed} --seeds 1: {:?}", outcome.violations);
                        }
                        sum.lock().unwrap_or_else(|held| held.into_inner()).take(&outcome);
                    }
                });
            }
        });
        let sum = sum.into_inner().unwrap_or_else(|held| held.into_inner());
        failed += sum.failed;
        println!(
            "{fault:?}: {} seeds, {} failed; {} calls, {} whole, {} with a source; {} tries for {} first ones; worst back for callers {:?}, for operators {:?}, weights in use {:?}",
            sum.runs,
            sum.failed,
            sum.calls,
            sum.whole,
            sum.handed,
            sum.tries,
            sum.first,
            sum.data,
            sum.control,
            sum.weights
        );
    }
    std::process::exit(i32::from(failed > 0));
}
