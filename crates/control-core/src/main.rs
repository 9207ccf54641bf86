//! A core machine: keeps the control state in a chain with its colleagues.
mod disk;
#[cfg(test)]
mod disk_test;
mod drive;
mod explain;
mod links;
mod listing;
mod operators;
mod settings;

use control_chain::core::Core;
use fleet_common::settings::{EXIT_DISK, EXIT_LISTEN};
use fleet_common::signals::{self, Word};
use fleet_common::{Rcu, frame, hash, http_in, ring};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a warned core waits for the others to go on without it.
const LEAVE_BOUND: Duration = Duration::from_secs(4);

mod flags {
    use std::path::PathBuf;
    xflags::xflags! {
        /// One of the core machines that keep the fleet's control state.
        cmd control-core {
            /// Settings file (JSON).
            optional --settings path: PathBuf
            /// A setting that goes over the file's, as name=value.
            repeated --set pair: String
            /// Found a new fleet on an empty disk. Only for a core that has never run.
            optional --found
            /// Only check the settings.
            optional --check
            /// Show the version.
            optional --version
        }
    }
}

fn main() {
    let flags = flags::ControlCore::from_env_or_exit();
    if flags.version {
        return println!("control-core {}", env!("CARGO_PKG_VERSION"));
    }
    ring::start("control-core");
    let settings = settings::read(flags.settings.as_deref(), &flags.set, flags.check);
    let listen = |at: &str| {
        let at = at.parse().unwrap_or_else(|_| std::process::exit(EXIT_LISTEN));
        fleet_common::settings::listen("control-core", at)
    };
    let own = settings.own();
    let or = |other: Option<std::net::SocketAddr>, listed: &str| other.map_or(listed.to_string(), |at| at.to_string());
    let chain = listen(&or(settings.listen_chain, own.chain.as_str()));
    let node = listen(&or(settings.listen_node, own.node.as_str()));
    let http = listen(own.http.as_str());
    let (disk, found) = disk::open(&settings.data, flags.found, &settings.cores).unwrap_or_else(|e| {
        eprintln!("control-core: {e}; refusing to start");
        std::process::exit(EXIT_DISK)
    });
    let me = control_chain::view::Member {
        id: settings.id,
        incarnation: found.meta.as_ref().map_or_else(hash::unique, |m| m.incarnation),
    };
    let core = Core::start(Duration::ZERO, me, settings.cores.clone(), found).unwrap_or_else(|e| {
        eprintln!("control-core: disk state is damaged: {e}; refusing to start");
        std::process::exit(EXIT_DISK)
    });
    let (polls, polled) = crossbeam::channel::bounded(4);
    let driver = drive::start(core, disk, polls);
    let inbox = driver.clone();
    frame::serve(chain, move |sent: control_chain::message::Sent| {
        inbox.heard(sent);
        None::<fleet_common::ask::Answer>
    });
    let inbox = driver.clone();
    frame::serve(node, move |ask: fleet_common::ask::Ask| Some(inbox.ask(ask)));
    let driver = Arc::new(driver);
    let platform = Arc::new(Rcu::new(settings.platform.clone()));
    heed(driver.clone(), platform.clone(), flags);
    listing::follow(driver.clone(), platform, polled);
    let served = http_in::serve(http, http_in::WORKERS, move |incoming| operators::answer(&driver, incoming));
    if let Err(e) = served {
        eprintln!("control-core: {e}");
        std::process::exit(EXIT_LISTEN);
    }
    loop {
        std::thread::park();
    }
}

/// On a warning: out of the chain first, then the end. On changed settings: the platform's address.
fn heed(driver: Arc<drive::Driver>, platform: Arc<Rcu<Option<String>>>, flags: flags::ControlCore) {
    signals::heed(move |word| match word {
        Word::Warning => {
            driver.leave();
            let until = Instant::now() + LEAVE_BOUND;
            while driver.in_chain() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(50));
            }
            std::process::exit(0);
        }
        Word::Settings => settings::reread(flags.settings.as_deref(), &flags.set, &platform),
    });
}
