//! The platform's listing of replicas: the head asks for it and puts changes through the chain.
use crate::drive::Driver;
use control_chain::command::{Command, Envelope, Replica};
use fleet_common::ask::{Answer, Ask};
use fleet_common::json::{self, Fault};
use fleet_common::{Mishap, Rcu, Step, http_out, ring};
use std::sync::Arc;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_millis(250);
const ANEW: Duration = Duration::from_secs(10);

fn read(text: &[u8]) -> Result<Vec<Replica>, Fault> {
    let root = json::root(text)?;
    root.only(&["replicas"])?;
    let rows = root.need("replicas")?;
    let mut replicas = Vec::new();
    for row in rows.items()? {
        row.only(&["id", "at", "model", "district", "leaving"])?;
        let text = |name: &str| row.need(name)?.text();
        replicas.push(Replica {
            id: text("id")?,
            at: text("at")?,
            model: text("model")?,
            district: text("district")?,
            leaving: row.need("leaving")?.truth()?,
        });
    }
    replicas.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(replicas)
}

pub fn follow(driver: Arc<Driver>, platform: Arc<Rcu<Option<String>>>) {
    std::thread::spawn(move || {
        let mut sent: Option<(Vec<Replica>, Instant)> = None;
        let mut troubled = false;
        loop {
            std::thread::sleep(EVERY);
            if driver.place().as_deref() != Some("head") {
                sent = None;
                continue;
            }
            let Some(platform) = platform.read().as_ref().clone() else { continue };
            let url = format!("http://{platform}/replicas");
            let listing = http_out::json("GET", &url, "", Duration::from_secs(1))
                .and_then(|text| read(text.as_bytes()).map_err(|e| Mishap::at(Step::Decode, &platform, e)));
            let replicas = match listing {
                Ok(replicas) => replicas,
                Err(mishap) => {
                    if !troubled {
                        ring::mishap(&mishap);
                    }
                    troubled = true;
                    continue;
                }
            };
            troubled = false;
            if sent.as_ref().is_some_and(|(last, at)| *last == replicas && at.elapsed() < ANEW) {
                continue;
            }
            let command = Envelope::bare(Command::Listing { replicas: replicas.clone() });
            if let Answer::Json(_) = driver.ask(Ask::Command(command.pack().into())) {
                sent = Some((replicas, Instant::now()));
            }
        }
    });
}
