//! The router of the product's own interface: takes clients' requests on an edge machine and forwards them to model
//! replicas. A request goes through the phases of `phases`; `forward` is the last of them.
mod agent;
mod claims;
mod forward;
mod json;
mod pages;
mod peer_requests;
mod phases;
mod placement;
mod request_context;
mod request_trace;
mod responses;
mod shutdown;
mod state;
mod transfer_attempt;
mod transfer_audit;
mod upstream;

use fleet_common::settings::{EXIT_LISTEN, Settings, listen as listen_on};
use fleet_common::signals::{Signal, SignalQueue};
use fleet_common::{frame, http_server, ring};
use state::RouterState;
use std::sync::Arc;
use stream_router::agent_client;

mod flags {
    use std::path::PathBuf;
    xflags::xflags! {
        /// The router that clients talk to.
        cmd request-router {
            /// Settings file (JSON).
            optional --settings path: PathBuf
            /// A setting that goes over the file's, as name=value.
            repeated --set pair: String
            /// Only check the settings.
            optional --check
            /// Show the version.
            optional --version
        }
    }
}

/// Threads that serve requests, by default.
const DEFAULT_WORKERS: u64 = 256;
/// Of these, the ones that are left to reject requests when all others are busy.
const SPARE_WORKERS: u64 = 4;
const SETTING_NAMES: &[&str] =
    &["name", "district", "listen", "http", "frames", "agent", "drainMs", "healthLagMs", "workers"];

fn main() {
    let flags = flags::RequestRouter::from_env_or_exit();
    if flags.version {
        return println!("request-router {}", env!("CARGO_PKG_VERSION"));
    }
    ring::start("request-router");
    let signals = SignalQueue::catch(|| std::process::exit(0));
    let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, SETTING_NAMES);
    let name = settings.text("name");
    let zone = settings.text("district");
    let (listen, http, frames) = (settings.address("listen"), settings.address("http"), settings.address("frames"));
    let agent = settings.address("agent");
    let shutdown = shutdown::limits(&mut settings);
    let workers = settings.number("workers", DEFAULT_WORKERS, 8, 4096);
    settings.exit_if_invalid(flags.check);
    let bind = |at| listen_on("request-router", at);
    let (clients, operators, peers) = (bind(listen), bind(http), bind(frames));
    let state = Arc::new(RouterState::new(name, zone, agent, workers - SPARE_WORKERS, shutdown));
    handle_signals(&signals, state.clone(), flags);
    let for_peers = state.clone();
    frame::serve(peers, move |request| Some(peer_requests::answer(&for_peers, request)));
    let for_pages = state.clone();
    let for_clients = state.clone();
    let served =
        http_server::serve(operators, http_server::WORKERS, move |incoming| pages::answer(&for_pages, incoming))
            .and_then(|_| {
                http_server::serve(clients, workers as usize, move |incoming| phases::serve(&for_clients, incoming))
            });
    if let Err(e) = served {
        eprintln!("request-router: {e}");
        std::process::exit(EXIT_LISTEN);
    }
    claims::start(&state);
    transfer_audit::start(state.clone());
    agent_client::follow(&*state)
}

/// Drains the router when it is told to stop, and takes changed settings of the shutdown.
fn handle_signals(signals: &SignalQueue, state: Arc<RouterState>, flags: flags::RequestRouter) {
    signals.listen(move |signal| match signal {
        Signal::Terminate => {
            shutdown::drain(&state);
            std::process::exit(0);
        }
        Signal::Reload => {
            let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, SETTING_NAMES);
            let limits = shutdown::limits(&mut settings);
            settings.apply_if_valid(|| state.shutdown().set_limits(limits));
        }
    });
}
