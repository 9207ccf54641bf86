//! The index node's program: settings, pages and signals around the library.
mod pages;

use fleet_common::node::{Identity, Seeds};
use fleet_common::settings::{EXIT_LISTEN, Settings, listen as listen_on};
use fleet_common::signals::{Signal, SignalQueue};
use fleet_common::{Rcu, hash, http_server, ring};
use prefix_index::{HttpReplicaClient, IndexService, SUPERSEDED_WEIGHTS_BOUND, StartOptions};
use std::sync::Arc;

mod flags {
    use std::path::PathBuf;
    xflags::xflags! {
        /// An index node: knows which replica holds which prefix.
        cmd prefix-index {
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

const SETTING_NAMES: &[&str] = &["name", "district", "listen", "http", "seeds"];

fn main() {
    let flags = flags::PrefixIndex::from_env_or_exit();
    if flags.version {
        return println!("prefix-index {}", env!("CARGO_PKG_VERSION"));
    }
    ring::start("prefix-index");
    let signals = SignalQueue::catch(|| std::process::exit(0));
    let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, SETTING_NAMES);
    let name = settings.text("name");
    let district = settings.text("district");
    let (listen, http) = (settings.address("listen"), settings.address("http"));
    let seeds: Seeds = Arc::new(Rcu::new(settings.addresses("seeds")));
    settings.exit_if_invalid(flags.check);
    let bind = |at| listen_on("prefix-index", at);
    let (frames, pages) = (bind(listen), bind(http));
    let at = frames.local_addr().map(|a| a.to_string()).unwrap_or_default();
    let identity = Identity { name, kind: "index", incarnation: hash::unique_id(), address: at, zone: district };
    let shared = prefix_index::start(StartOptions {
        identity,
        seeds: seeds.clone(),
        frames,
        replicas: Arc::new(HttpReplicaClient),
        superseded_weights_bound: SUPERSEDED_WEIGHTS_BOUND.into(),
    });
    handle_signals(&signals, shared.clone(), seeds, flags);
    let for_pages = shared.clone();
    if http_server::serve(pages, http_server::WORKERS, move |incoming| pages::respond(&for_pages, incoming)).is_err() {
        std::process::exit(EXIT_LISTEN);
    }
    prefix_index::pull_forever(&shared)
}

/// On a warning: hand tables and duties over, leave, end. On changed settings: the seeds.
fn handle_signals(signals: &SignalQueue, shared: Arc<IndexService>, seeds: Seeds, flags: flags::PrefixIndex) {
    signals.listen(move |word| match word {
        Signal::Terminate => {
            prefix_index::shut_down(&shared);
            std::process::exit(0);
        }
        Signal::Reload => {
            let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, SETTING_NAMES);
            let changed = settings.addresses("seeds");
            settings.apply_if_valid(|| seeds.update(|held| *held = changed));
        }
    });
}
