//! Test doubles of what surrounds the fleet: model replicas, a prefix store, an app service, the platform and clients.
//! For trying the fleet out and for its tests; none of it is part of the product.
mod app;
pub mod begun;
mod cache;
pub mod caller;
pub mod checks;
mod events;
mod figures;
pub mod job;
mod platform;
mod replica;
mod running;
mod store;

use std::net::TcpListener;

#[allow(missing_docs)]
pub mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;
    xflags::xflags! {
        /// Stand-ins for what surrounds the fleet.
        cmd test-doubles {
            /// A model replica with a real block cache, costs for prefill and transfer, and events.
            cmd replica {
                required --listen at: SocketAddr
                required --id id: String
                optional --district name: String
                /// Blocks its cache holds.
                optional --blocks n: usize
                optional --prefill-us n: u64
                optional --near-us n: u64
                optional --far-us n: u64
                optional --piece-us n: u64
                /// Requests run at once.
                optional --slots n: u64
                /// How long loading weights takes.
                optional --load-ms n: u64
                /// The prefix store to write blocks to.
                optional --store at: SocketAddr
            }
            /// The prefix store.
            cmd store {
                required --listen at: SocketAddr
                optional --blocks n: usize
                optional --near-us n: u64
            }
            /// The app service.
            cmd app { required --listen at: SocketAddr }
            /// The platform, which lists the replicas.
            cmd platform {
                required --listen at: SocketAddr
                optional --listing path: PathBuf
            }
            /// Callers: sends requests, checks every answer byte for byte, prints figures as JSON.
            cmd caller {
                /// Edges to call, parted by commas.
                required --edges at: String
                /// Keys and their tenants: key:tenant, parted by commas.
                required --keys pairs: String
                optional --model name: String
                /// courier or quiz.
                optional --shape name: String
                optional --per-second n: u64
                optional --seconds n: u64
                optional --seed n: u64
                optional --once-share percent: u64
                /// Come back after each refusal that names a time to come back.
                optional --come-back
            }
        }
    }
}

fn listen(at: std::net::SocketAddr) -> TcpListener {
    TcpListener::bind(at).unwrap_or_else(|e| {
        eprintln!("test-doubles: cannot listen on {at}: {e}");
        std::process::exit(66)
    })
}

/// Runs the stand-in that the command line names.
/// ```no_run
/// test_doubles::run(test_doubles::flags::TestDoubles::from_env_or_exit());
/// ```
pub fn run(flags: flags::TestDoubles) {
    use flags::TestDoublesCmd as Cmd;
    match flags.subcommand {
        Cmd::Replica(flags) => replica::run(&flags),
        Cmd::Store(flags) => store::run(&flags),
        Cmd::App(flags) => app::run(listen(flags.listen)),
        Cmd::Platform(flags) => platform::run(listen(flags.listen), flags.listing),
        Cmd::Caller(flags) => caller::run(&flags),
    }
}
