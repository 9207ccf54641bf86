//! The program of a control replica: settings, listeners and signals around the library.
mod settings;

use control_server::disk_thread::UnusableLog;
use control_server::event_loop::ReplicaHandle;
use control_server::listing::PlatformLister;
use control_server::{StartOptions, log_store, operator_api};
use fleet_common::settings::{EXIT_DISK, EXIT_LISTEN};
use fleet_common::signals::{Signal, SignalQueue};
use fleet_common::{Rcu, http_server, ring};
use std::sync::Arc;
use std::time::Duration;

/// How long a control replica that shuts down waits for the others to go on without it.
const LEAVE_BOUND: Duration = Duration::from_secs(4);
/// How many control replicas may be lost at once together with their disks.
const TOLERANCE: u32 = 1;

mod flags {
    use std::path::PathBuf;
    xflags::xflags! {
        /// One of the core machines that keep the fleet's control state.
        cmd control-server {
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
    let flags = flags::ControlServer::from_env_or_exit();
    if flags.version {
        return println!("control-server {}", env!("CARGO_PKG_VERSION"));
    }
    ring::start("control-server");
    let signals = SignalQueue::catch(|| std::process::exit(0));
    let settings = settings::read(flags.settings.as_deref(), &flags.set, flags.check);
    let listen = |at: &str| {
        let at = at.parse().unwrap_or_else(|_| std::process::exit(EXIT_LISTEN));
        fleet_common::settings::listen("control-server", at)
    };
    let own = settings.own_address();
    let or = |other: Option<std::net::SocketAddr>, listed: &str| other.map_or(listed.to_string(), |at| at.to_string());
    let chain = listen(&or(settings.listen_chain, own.peers.as_str()));
    let node = listen(&or(settings.listen_node, own.nodes.as_str()));
    let http = listen(own.operators.as_str());
    let refuse = |e: String| -> ! {
        eprintln!("control-server: {e}; refusing to start");
        std::process::exit(EXIT_DISK)
    };
    if flags.found && log_store::is_initialized(&settings.data) {
        refuse("this disk has held a core before: --found is only for an empty one".into());
    }
    let platform = Arc::new(Rcu::new(settings.platform.clone()));
    let driver = control_server::start(StartOptions {
        address: own.clone(),
        seeds: settings.members.clone(),
        found_cluster: flags.found,
        self_registering: false,
        data: settings.data.clone(),
        tolerance: TOLERANCE,
        unusable_log: UnusableLog::Fail,
        lister: Box::new(PlatformLister(platform.clone())),
        peer_listener: chain,
        node_listener: node,
    });
    let driver = driver.unwrap_or_else(|e| refuse(e));
    handle_signals(&signals, driver.clone(), platform, flags);
    let served =
        http_server::serve(http, http_server::WORKERS, move |incoming| operator_api::respond(&driver, incoming));
    if let Err(e) = served {
        eprintln!("control-server: {e}");
        std::process::exit(EXIT_LISTEN);
    }
    loop {
        std::thread::park();
    }
}

/// On SIGTERM the replica leaves the chain and the process ends. On SIGHUP the platform's address is read again.
fn handle_signals(
    signals: &SignalQueue,
    driver: Arc<ReplicaHandle>,
    platform: Arc<Rcu<Option<String>>>,
    flags: flags::ControlServer,
) {
    signals.listen(move |word| match word {
        Signal::Terminate => {
            control_server::leave(&driver, LEAVE_BOUND);
            std::process::exit(0);
        }
        Signal::Reload => settings::reload(flags.settings.as_deref(), &flags.set, &platform),
    });
}
