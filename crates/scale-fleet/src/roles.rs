//! What a child process is: one role of the fleet. It reads a word a line and answers each with a line.
use crate::hollow::{self, Nodes};
use control_chain::command::Replica;
use control_chain::view::CoreAt;
use control_core::listing::Listing;
use fleet_common::Rcu;
use fleet_common::node::{Identity, Seeds};
use http_streams::head::{AnswerHead, RequestHead};
use prefix_index::Shared;
use scale_fleet::counts::Report;
use scale_fleet::events::Hollow;
use scale_fleet::made_up;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stream_router::dialect::{Dialect, ForwardInfo, RequestInfo, ResponseInfo};
use stream_router::run::Listeners;
use stream_router::setup::{Setup, ShutdownLimits};

/// A child's role with all it is to know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    Core { id: u32, cores: Vec<String>, data: PathBuf, replicas: u64 },
    Index { name: String, seeds: Vec<SocketAddr>, rate: f64, parts: u64, seed: u64 },
    Agent { seeds: Vec<SocketAddr>, frames: SocketAddr, router: SocketAddr },
    Router { agent: SocketAddr, frames: SocketAddr },
    Hollow { nodes: u64, seeds: Vec<SocketAddr> },
}

struct Made(Vec<Replica>);

impl Listing for Made {
    fn list(&self) -> Result<Vec<Replica>, String> {
        Ok(self.0.clone())
    }
}

/// A router that nobody calls needs no words.
struct Mute;

impl Dialect for Mute {
    fn read(&self, _: &RequestHead) -> Result<RequestInfo, String> {
        Err("nobody calls here".into())
    }
    fn ask(&self, _: &RequestHead, _: usize, _: &ForwardInfo) -> Vec<u8> {
        Vec::new()
    }
    fn said(&self, _: &AnswerHead, _: &str) -> ResponseInfo {
        ResponseInfo::default()
    }
    fn weights_in(&self, _: &[u8], _: &str) -> Option<String> {
        None
    }
}

fn seeds(at: &[SocketAddr]) -> Seeds {
    Arc::new(Rcu::new(at.to_vec()))
}

fn listen(at: &str) -> Result<TcpListener, String> {
    TcpListener::bind(at).map_err(|e| format!("listening at {at}: {e}"))
}

fn core(id: u32, cores: &[String], data: PathBuf, replicas: u64) -> Result<(), String> {
    let read = |text: &String| CoreAt::read(text).ok_or(format!("{text} is no core's address"));
    let cores: Vec<CoreAt> = cores.iter().map(read).collect::<Result<_, _>>()?;
    let me = cores.iter().find(|core| core.id == id).cloned().ok_or(format!("core {id} is not listed"))?;
    let (chain, node) = (listen(me.chain.as_str())?, listen(me.node.as_str())?);
    let listing = Box::new(Made(made_up::replicas(replicas)));
    let start =
        control_core::Start { me, seeds: cores, found: true, open: false, data, tolerance: 1, listing, chain, node };
    let driver = control_core::start(start)?;
    heed(|word| match word {
        "place" => Report { fault: driver.place().unwrap_or_default(), ..Report::default() },
        _ => Report::default(),
    })
}

fn index(name: String, at: &[SocketAddr], hollow: Arc<Hollow>) -> Result<(), String> {
    let frames = listen("127.0.0.1:0")?;
    let own = frames.local_addr().map_err(|e| format!("address of {name}: {e}"))?.to_string();
    let identity = Identity { name, kind: "index", incarnation: 1, at: own, district: "zone-0".into() };
    let replicas = hollow.clone();
    let shared = prefix_index::start(prefix_index::Start {
        identity,
        seeds: seeds(at),
        frames,
        replicas,
        older_weights_bound: prefix_index::OLDER_WEIGHTS_BOUND,
    });
    let following = shared.clone();
    std::thread::spawn(move || prefix_index::follow(&following));
    heed(|_| index_report(&shared, &hollow))
}

fn index_report(shared: &Shared, hollow: &Hollow) -> Report {
    let keeper = shared.keeper();
    let held = keeper.kept.values().filter(|kept| kept.fence.is_some()).count() as u64;
    let items = keeper.kept.values().map(|kept| kept.table.items() as u64).sum();
    let (polls, events) = (hollow.polls.load(Ordering::Relaxed), hollow.events.load(Ordering::Relaxed));
    Report { held, items, polls, events, ..Report::default() }
}

fn agent(at: &[SocketAddr], frames: SocketAddr, router: SocketAddr) -> Result<(), String> {
    let identity = Identity {
        name: "node-real".into(),
        kind: "edge",
        incarnation: 1,
        at: router.to_string(),
        district: "zone-0".into(),
    };
    let agent = router_agent::start(identity, seeds(at), listen(&frames.to_string())?);
    let following = agent.clone();
    std::thread::spawn(move || following.follow());
    heed(|_| Report { fault: agent.words(), ..Report::default() })
}

fn router(agent: SocketAddr, frames: SocketAddr) -> Result<(), String> {
    let setup = Setup {
        name: "node-real".into(),
        zone: "zone-0".into(),
        agent,
        at: frames,
        bound: Default::default(),
        old_weights: Duration::from_secs(15),
        weights_promise: Duration::from_secs(16),
        lease: fleet_common::ask::LEASE,
        patience: stream_router::setup::Patience::default(),
        shutdown: ShutdownLimits {
            grace: Duration::ZERO,
            withdrawal: Duration::ZERO,
            not_ready_answers: 0,
            transit: Duration::ZERO,
        },
    };
    let listeners = Listeners {
        callers: listen("127.0.0.1:0")?,
        ready: listen("127.0.0.1:0")?,
        frames: listen(&frames.to_string())?,
    };
    let shared = stream_router::run::start(setup, Box::new(Mute), listeners).shared;
    let following = shared.clone();
    std::thread::spawn(move || stream_router::feed::follow(&following));
    heed(|_| Report { members: shared.is_ready().into(), ..Report::default() })
}

fn hollow_word(nodes: &Nodes, word: &str) -> Report {
    let (word, number) = word.split_once(' ').unwrap_or((word, "0"));
    let number: u64 = number.parse().unwrap_or(0);
    let done = match word {
        "configure" => nodes.configure(number),
        // The number holds the tenants, and the revision that is changed.
        "change" => {
            let (tenants, over) = (number / 1000, number % 1000);
            nodes.change(over, made_up::change(tenants, over + 1))
        }
        "restart" => {
            nodes.restart(number);
            Ok(nodes.report())
        }
        _ => Ok(nodes.report()),
    };
    done.unwrap_or_else(|fault| Report { fault, ..nodes.report() })
}

/// Answers each line until there are no more.
fn heed(answer: impl Fn(&str) -> Report) -> Result<(), String> {
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("reading the parent's word: {e}"))?;
        let text = sonic_rs::to_string(&answer(line.trim())).map_err(|e| format!("own report: {e}"))?;
        let mut out = std::io::stdout().lock();
        writeln!(out, "{text}").and_then(|_| out.flush()).map_err(|e| format!("telling the parent: {e}"))?;
    }
    Ok(())
}

/// Plays a role until the parent closes its end.
pub fn play(role: Role) -> Result<(), String> {
    match role {
        Role::Core { id, cores, data, replicas } => core(id, &cores, data, replicas),
        Role::Index { name, seeds, rate, parts, seed } => index(name, &seeds, Arc::new(Hollow::new(rate, parts, seed))),
        Role::Agent { seeds, frames, router } => agent(&seeds, frames, router),
        Role::Router { agent, frames } => router(agent, frames),
        Role::Hollow { nodes, seeds: at } => {
            let nodes = hollow::start(nodes, seeds(&at))?;
            heed(|word| hollow_word(&nodes, word))
        }
    }
}
