//! The control link of an edge machine: pulls from the core for its router and feeds it over loopback.
use fleet_common::node::{Identity, Seeds};
use fleet_common::settings::{EXIT_LISTEN, Settings, listen as listen_on};
use fleet_common::signals::{Signal, SignalQueue};
use fleet_common::{Rcu, hash, http_server, ring};
use router_agent::Agent;
use std::sync::Arc;

mod flags {
    use std::path::PathBuf;
    xflags::xflags! {
        /// The control link beside a request-router.
        cmd router-agent {
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

const SETTING_NAMES: &[&str] = &["name", "district", "listen", "http", "router", "seeds"];

fn main() {
    let flags = flags::RouterAgent::from_env_or_exit();
    if flags.version {
        return println!("router-agent {}", env!("CARGO_PKG_VERSION"));
    }
    ring::start("router-agent");
    let signals = SignalQueue::catch(|| std::process::exit(0));
    let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, SETTING_NAMES);
    let name = settings.text("name");
    let district = settings.text("district");
    let (listen, http, router) = (settings.address("listen"), settings.address("http"), settings.address("router"));
    let seeds: Seeds = Arc::new(Rcu::new(settings.addresses("seeds")));
    settings.exit_if_invalid(flags.check);
    let identity =
        Identity { name, kind: "edge", incarnation: hash::unique_id(), address: router.to_string(), zone: district };
    let bind = |at| listen_on("router-agent", at);
    let (frames, pages) = (bind(listen), bind(http));
    let agent = router_agent::start(identity, seeds.clone(), frames);
    handle_signals(&signals, agent.clone(), seeds, flags);
    let for_pages = agent.clone();
    let served = http_server::serve(pages, http_server::WORKERS, move |incoming| match incoming.path.as_str() {
        "/health" => incoming.respond_json(200, "{\"up\":true}", vec![]),
        "/self" => incoming.respond_json(200, &for_pages.status_json(), vec![]),
        "/log" => incoming.respond_log(),
        _ => incoming.respond_json(404, "{\"error\":{\"pointer\":\"\",\"what\":\"no such page\"}}", vec![]),
    });
    if served.is_err() {
        std::process::exit(EXIT_LISTEN);
    }
    agent.pull_forever()
}

/// On a warning: feed the router for as long as it asks, then say good-bye to the core. On changed
/// settings: the seeds.
fn handle_signals(signals: &SignalQueue, agent: Arc<Agent>, seeds: Seeds, flags: flags::RouterAgent) {
    signals.listen(move |word| match word {
        Signal::Terminate => {
            agent.shut_down();
            std::process::exit(0);
        }
        Signal::Reload => {
            let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, SETTING_NAMES);
            let changed = settings.addresses("seeds");
            settings.apply_if_valid(|| seeds.update(|held| *held = changed));
        }
    });
}
