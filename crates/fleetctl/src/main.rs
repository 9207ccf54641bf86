//! The operators' tool: commands that state what should hold, queries that ask what holds now.
mod commands;
mod compare;
mod control_plane;
mod exit_code;
mod queries;

use commands::Submission;
use std::net::SocketAddr;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;
    xflags::xflags! {
        /// Commands and queries to a coursebend fleet. Exit codes: 0 done, 1 refused or differing,
        /// 2 unknown or unreachable, 64 wrong usage.
        cmd fleetctl {
            /// Operators' addresses of cores, parted by commas (or COURSEBEND_CORES).
            optional --cores list: String
            /// Show the version.
            optional --version
            /// Show where two nodes' beliefs differ: versions, terms, duties, filters, keys.
            cmd compare {
                required a: SocketAddr
                required b: SocketAddr
                /// Compare loads and sizes too, which differ by nature.
                optional --all
            }
            /// What holds now, with who confirmed it.
            cmd holds {}
            /// One source whole: blueprint, keys, replicas, members, duties or cores.
            cmd source { required name: String }
            /// What one node itself believes.
            cmd node { required at: SocketAddr }
            /// A node's log ring.
            cmd log { required at: SocketAddr }
            /// The story of a request, from all who know a part of it, or from the routers named.
            cmd explain {
                required request: String
                /// Operators' addresses of routers, parted by commas.
                optional --routers list: String
            }
            /// What came of a command.
            cmd outcome { required id: String }
            /// What came of a once-request.
            cmd claim { required tenant: String required key: String }
            /// Replace the blueprint with a file's.
            cmd apply {
                required path: PathBuf
                optional --id id: String
                /// The version it replaces; asked for when not given.
                optional --expect version: u64
                /// Wait until it is in force everywhere.
                optional --wait
            }
            /// Have the blueprint (and weights) before this one hold again, as a new version.
            cmd back {
                optional --id id: String
                /// The version it replaces; by default the one that holds.
                optional --expect version: u64
                optional --wait
            }
            /// Replace the list of control machines: id@chain/node/http, parted by commas.
            cmd cores {
                required list: String
                /// The view it follows; asked for when not given.
                optional --expect view: u64
            }
            /// Name a model's weights.
            cmd weights {
                required model: String
                required weights: String
                optional --id id: String
                optional --expect version: u64
                optional --wait
            }
            /// Add a tenant's key.
            cmd key-add {
                required key: String
                required tenant: String
                optional --id id: String
                optional --expect version: u64
                optional --wait
            }
            /// Withdraw a key for good.
            cmd key-withdraw {
                required key: String
                optional --id id: String
                optional --expect version: u64
                optional --wait
            }
        }
    }
}

fn parse_addresses(list: &str) -> Vec<SocketAddr> {
    let read: Result<Vec<SocketAddr>, _> =
        list.split(',').filter(|p| !p.is_empty()).map(|p| p.trim().parse()).collect();
    read.unwrap_or_else(|_| {
        eprintln!("fleetctl: {list} is not a list of IPs and ports");
        std::process::exit(exit_code::USAGE)
    })
}

fn submission(id: Option<String>, expected_version: Option<u64>, wait: bool) -> Submission {
    Submission { id, expected_version, wait }
}

fn main() {
    use flags::FleetctlCmd as Cmd;
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|arg| arg == "--version") {
        return println!("fleetctl {}", env!("CARGO_PKG_VERSION"));
    }
    let flags = flags::Fleetctl::from_env_or_exit();
    let list = flags.cores.or_else(|| std::env::var("COURSEBEND_CORES").ok()).unwrap_or_default();
    let control_plane = control_plane::ControlPlane::new(parse_addresses(&list));
    let code = match flags.subcommand {
        Cmd::Compare(c) => compare::run(c.a, c.b, c.all),
        Cmd::Holds(_) => queries::print_result(control_plane.get("/holds")),
        Cmd::Source(s) => queries::print_result(control_plane.get(&format!("/source/{}", s.name))),
        Cmd::Node(n) => queries::print_result(queries::fetch(n.at, "/self")),
        Cmd::Log(l) => queries::print_result(queries::fetch(l.at, "/log")),
        Cmd::Explain(e) => match e.routers {
            Some(routers) => queries::explain(&parse_addresses(&routers), &e.request),
            None => queries::print_result(control_plane.get(&format!("/explain/{}", e.request))),
        },
        Cmd::Outcome(o) => queries::print_result(control_plane.get(&format!("/command/{}", o.id))),
        Cmd::Claim(c) => queries::print_result(control_plane.get(&format!("/claim/{}/{}", c.tenant, c.key))),
        Cmd::Apply(a) => commands::apply(&control_plane, &a.path, submission(a.id, a.expect, a.wait)),
        Cmd::Back(b) => commands::submit(&control_plane, "back", &[], submission(b.id, b.expect, b.wait)),
        Cmd::Cores(c) => commands::set_members(&control_plane, &c.list, c.expect),
        Cmd::Weights(w) => {
            let fields = [("model", w.model), ("weights", w.weights)];
            commands::submit(&control_plane, "weights", &fields, submission(w.id, w.expect, w.wait))
        }
        Cmd::KeyAdd(k) => {
            let fields = [("key", k.key), ("tenant", k.tenant)];
            commands::submit(&control_plane, "key_add", &fields, submission(k.id, k.expect, k.wait))
        }
        Cmd::KeyWithdraw(k) => {
            commands::submit(&control_plane, "key_withdraw", &[("key", k.key)], submission(k.id, k.expect, k.wait))
        }
    };
    std::process::exit(code);
}
