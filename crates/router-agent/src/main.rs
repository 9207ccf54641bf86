//! The control link of an edge machine: pulls from the core for its router and feeds it over loopback.
mod held;

use control_chain::command::{Command, Envelope};
use fleet_common::ask::{Answer, Ask};
use fleet_common::node::{Identity, Link, Seeds};
use fleet_common::settings::{EXIT_LISTEN, Settings, listen as listen_on};
use fleet_common::signals::{self, Word};
use fleet_common::{Rcu, frame, hash, http_in, ring};
use held::Held;
use std::sync::{Arc, Mutex};
use std::time::Duration;

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

/// How long a warned agent goes on feeding a router that drains.
const LINGER: Duration = Duration::from_secs(20);
const NAMES: &[&str] = &["name", "district", "listen", "http", "router", "seeds"];

/// Links for commands of the router, opened as needed.
struct Links {
    identity: Identity,
    seeds: Seeds,
    idle: Mutex<Vec<Link>>,
}

impl Links {
    fn ask(&self, ask: &Ask, cores: Option<Vec<u8>>) -> Answer {
        let idle = self.idle.lock().unwrap_or_else(|held| held.into_inner()).pop();
        let mut link = idle.unwrap_or_else(|| Link::new(self.identity.clone(), self.seeds.clone()));
        if let Some(cores) = cores {
            link.learn_cores(&cores);
        }
        match link.ask(ask) {
            Ok(answer) => {
                self.idle.lock().unwrap_or_else(|held| held.into_inner()).push(link);
                answer
            }
            Err(mishap) => {
                ring::note(&mishap.to_string());
                Answer::Refused(mishap.to_string().as_str().into())
            }
        }
    }
}

fn main() {
    let flags = flags::RouterAgent::from_env_or_exit();
    if flags.version {
        return println!("router-agent {}", env!("CARGO_PKG_VERSION"));
    }
    ring::start("router-agent");
    let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, NAMES);
    let name = settings.text("name");
    let district = settings.text("district");
    let (listen, http, router) = (settings.address("listen"), settings.address("http"), settings.address("router"));
    let seeds: Seeds = Arc::new(Rcu::new(settings.addresses("seeds")));
    settings.or_exit(flags.check);
    let identity = Identity { name, kind: "edge", incarnation: hash::unique(), at: router.to_string(), district };
    let bind = |at| listen_on("router-agent", at);
    let (frames, pages) = (bind(listen), bind(http));
    let held = Arc::new(Held::default());
    let links = Arc::new(Links { identity: identity.clone(), seeds: seeds.clone(), idle: Mutex::new(Vec::new()) });
    heed(held.clone(), links.clone(), seeds.clone(), flags);
    let for_router = held.clone();
    frame::serve(frames, move |ask: Ask| {
        Some(match ask {
            Ask::Pull(pull) => for_router.answer(&pull),
            Ask::Command(_) | Ask::Query(_) => links.ask(&ask, for_router.cores()),
            _ => Answer::Refused("not an agent's to answer".into()),
        })
    });
    let for_pages = held.clone();
    let served = http_in::serve(pages, http_in::WORKERS, move |incoming| match incoming.path.as_str() {
        "/health" => incoming.json(200, "{\"up\":true}", vec![]),
        "/self" => incoming.json(200, &for_pages.words(), vec![]),
        "/log" => incoming.log(),
        _ => incoming.json(404, "{\"error\":{\"pointer\":\"\",\"what\":\"no such page\"}}", vec![]),
    });
    if served.is_err() {
        std::process::exit(EXIT_LISTEN);
    }
    pull_for_ever(Link::new(identity, seeds), &held)
}

/// Pulls on; the core is told what the router has confirmed, and whether the router still can hold
/// a term that this agent passed on.
fn pull_for_ever(mut link: Link, held: &Held) {
    loop {
        let plan = held.plan();
        match link.pull(plan.have, plan.confirmed, plan.holding, plan.wait_ms) {
            Ok((sent, pulled)) => {
                let member = pulled.member != 0;
                held.take(sent, plan.holding, pulled);
                if !member {
                    std::thread::sleep(Duration::from_millis(50));
                }
            }
            Err(mishap) => {
                ring::note(&mishap.to_string());
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// On a warning: feed the router for as long as it asks, then say good-bye to the core. On changed
/// settings: the seeds.
fn heed(held: Arc<Held>, links: Arc<Links>, seeds: Seeds, flags: flags::RouterAgent) {
    signals::heed(move |word| match word {
        Word::Warning => {
            let until = std::time::Instant::now() + LINGER;
            while held.router_may_hold() && std::time::Instant::now() < until {
                std::thread::sleep(Duration::from_millis(50));
            }
            let me = &links.identity;
            let bye = Command::Lapse { node: me.name.clone(), incarnation: me.incarnation };
            if !held.router_may_hold() {
                links.ask(&Ask::Command(Envelope::bare(bye).pack().into()), held.cores());
            }
            std::process::exit(0);
        }
        Word::Settings => {
            let mut settings = Settings::read(flags.settings.as_deref(), &flags.set, NAMES);
            let changed = settings.addresses("seeds");
            settings.put_to_use(|| seeds.change(|held| *held = changed));
        }
    });
}
