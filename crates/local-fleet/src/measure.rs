//! Measurements on real processes: time back to service after faults, commits a second, the cost of a
//! large blueprint, and what the router adds to a call.
use crate::fleet::Fleet;
use fleet_common::http_client;
use sonic_rs::JsonValueTrait;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(30);

/// The middle and the ends of some figures.
/// ```
/// assert_eq!(local_fleet::measure::spread(vec![3.0, 1.0, 2.0]), "2.00 (1.00-3.00, n 3)");
/// ```
pub fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    match (all.first(), all.last()) {
        (Some(least), Some(most)) => format!("{:.2} ({least:.2}-{most:.2}, n {})", all[all.len() / 2], all.len()),
        _ => "nothing".into(),
    }
}

fn cores(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.processes.iter().filter(|p| p.program == "control-server" && p.runs()).map(|p| p.http).collect()
}

fn weights_command(id: &str, expect: u64) -> String {
    format!("{{\"id\":\"{id}\",\"expect\":{expect},\"kind\":\"weights\",\"model\":\"m1\",\"weights\":\"w1\"}}")
}

/// Sends commands until one gets an outcome, whatever it is: then the chain serves.
fn until_commits(fleet: &Fleet, name: &str) -> Duration {
    let begun = Instant::now();
    let mut turn = 0;
    loop {
        let all = cores(fleet);
        let at = all[turn % all.len()];
        turn += 1;
        let body = weights_command(&format!("{name}-{turn}"), 0);
        let kind = [("content-type", "application/json".to_string())];
        let sent = http_client::send(
            "POST",
            &format!("http://{at}/commands"),
            &kind,
            body.as_bytes(),
            Duration::from_millis(700),
        );
        if matches!(sent, Ok((202 | 409, _))) || begun.elapsed() > WAIT {
            return begun.elapsed();
        }
    }
}

fn place(fleet: &Fleet, wanted: &str) -> Option<String> {
    let names = (1..=4).map(|n| format!("core-{n}"));
    names.into_iter().find(|name| fleet.page(name, "/self").contains(&format!("\"place\":\"{wanted}\"")))
}

/// Kills or freezes the core in a place, times the next commit, and puts the core back.
/// ```no_run
/// # fn show(fleet: &mut local_fleet::fleet::Fleet) {
/// println!("{:?}", local_fleet::measure::core_lost(fleet, "head", true));
/// # }
/// ```
pub fn core_lost(fleet: &mut Fleet, wanted: &str, kill: bool) -> Option<Duration> {
    Fleet::until(WAIT, || place(fleet, "spare").is_some() && place(fleet, wanted).is_some());
    let name = place(fleet, wanted)?;
    if kill {
        fleet.process(&name).kill();
    } else {
        fleet.process(&name).signal(libc::SIGSTOP);
    }
    let took = until_commits(fleet, &format!("{wanted}-{kill}-{}", fleet_common::hash::unique_id()));
    if kill {
        fleet.process(&name).start();
    } else {
        fleet.process(&name).signal(libc::SIGCONT);
    }
    Fleet::until(WAIT, || place(fleet, "spare").is_some());
    Some(took)
}

/// Commits a second with so many callers at once for a while. All go through disk syncs of the chain.
/// ```no_run
/// # fn show(fleet: &local_fleet::fleet::Fleet) {
/// println!("{}", local_fleet::measure::commits(fleet, 8));
/// # }
/// ```
pub fn commits(fleet: &Fleet, callers: u64) -> f64 {
    let (done, all) = (AtomicU64::new(0), cores(fleet));
    let begun = Instant::now();
    let length = Duration::from_secs(3);
    std::thread::scope(|scope| {
        for caller in 0..callers {
            let (done, all) = (&done, &all);
            scope.spawn(move || {
                let kind = [("content-type", "application/json".to_string())];
                let at = all[caller as usize % all.len()];
                let mut number = 0;
                while begun.elapsed() < length {
                    number += 1;
                    let body = weights_command(&format!("c-{callers}-{caller}-{number}"), 0);
                    let url = format!("http://{at}/commands");
                    if matches!(http_client::send("POST", &url, &kind, body.as_bytes(), WAIT), Ok((202 | 409, _))) {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    done.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64()
}

/// Applies a blueprint with so many ways; gives its bytes and the time until it is in force everywhere.
/// ```no_run
/// # fn show(fleet: &local_fleet::fleet::Fleet) {
/// println!("{:?}", local_fleet::measure::large_blueprint(fleet, 5000));
/// # }
/// ```
pub fn large_blueprint(fleet: &Fleet, ways: usize) -> (usize, Duration) {
    let text = fleet.shape.blueprint("w1");
    let more: String = (0..ways).map(|n| format!(",{{\"path\":\"/app/route-{n:05}/\",\"to\":\"app\"}}")).collect();
    let text = text.replace("\"to\":\"app\"}]", &format!("\"to\":\"app\"}}{more}]"));
    let path = fleet.folder().join("large.json");
    let _ = std::fs::write(&path, &text);
    let begun = Instant::now();
    let applied = fleet.query(&["apply", &path.display().to_string(), "--wait"]);
    if !applied.status.success() {
        eprintln!("local-fleet: {}", String::from_utf8_lossy(&applied.stderr));
    }
    (text.len(), begun.elapsed())
}

/// The same short call through a router and straight to the replica, in turns; gives milliseconds.
/// ```no_run
/// # fn show(fleet: &local_fleet::fleet::Fleet) {
/// let (through, straight) = local_fleet::measure::added_delay(fleet, 100);
/// # }
/// ```
pub fn added_delay(fleet: &Fleet, turns: usize) -> (Vec<f64>, Vec<f64>) {
    let body = b"{\"model\":\"m1\",\"prompt\":\"how far is the next stop\",\"max_tokens\":1}";
    let key = fleet.shape.tenants[0].0;
    let to_router = [("authorization", format!("Bearer key-{key}")), ("x-session", "delay".to_string())];
    let to_replica = [("x-wall", "delay".to_string()), ("x-weights", "w1".to_string())];
    let (mut through, mut straight) = (Vec::new(), Vec::new());
    let time = |at: SocketAddr, headers: &[(&str, String)]| {
        let begun = Instant::now();
        let answer = http_client::send("POST", &format!("http://{at}/v1/completions"), headers, body, WAIT);
        answer.is_ok_and(|(status, _)| status == 200).then(|| begun.elapsed().as_secs_f64() * 1000.0)
    };
    for _ in 0..turns {
        through.extend(time(fleet.edges[0], &to_router));
        straight.extend(time(fleet.replicas[0].1, &to_replica));
    }
    (through, straight)
}

/// Runs all measurements and prints them.
/// ```no_run
/// # fn show(fleet: &mut local_fleet::fleet::Fleet) {
/// local_fleet::measure::all(fleet);
/// # }
/// ```
pub fn all(fleet: &mut Fleet) {
    for kill in [true, false] {
        for wanted in ["head", "chain 1", "tail"] {
            let runs = (0..5).filter_map(|_| core_lost(fleet, wanted, kill));
            let what = if kill { "killed" } else { "frozen" };
            println!(
                "  {wanted} {what}: seconds to the next commit {}",
                spread(runs.map(|d| d.as_secs_f64()).collect())
            );
        }
    }
    for callers in [1, 8, 32] {
        println!(
            "  commits a second, {callers} callers: {}",
            spread((0..3).map(|_| commits(fleet, callers)).collect())
        );
    }
    for ways in [100, 5000] {
        let runs: Vec<(usize, Duration)> = (0..3).map(|_| large_blueprint(fleet, ways)).collect();
        let seconds = runs.iter().map(|(_, took)| took.as_secs_f64()).collect();
        println!("  blueprint of {ways} ways, {} bytes: seconds until in force {}", runs[0].0, spread(seconds));
    }
    let (through, straight) = added_delay(fleet, 300);
    println!("  short call through a router: ms {}", spread(through));
    println!("  the same straight to a replica: ms {}", spread(straight));
    roll_outs(fleet);
    let lost: Vec<f64> = (0..5).filter_map(|_| owner_lost(fleet)).collect();
    println!("  index node killed: seconds until all its duties were held elsewhere {}", spread(lost));
    let bytes: Vec<f64> = (1..=4).map(|n| size_of(&fleet.folder().join(format!("core-{n}"))) as f64 / 1e6).collect();
    println!("  disk used by each core after all this: MB {}", spread(bytes));
}

fn size_of(path: &std::path::Path) -> u64 {
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    entries.map(|e| if e.path().is_dir() { size_of(&e.path()) } else { e.metadata().map_or(0, |m| m.len()) }).sum()
}

/// Kills whoever holds the duty for r1, waits until all its duties are held elsewhere, starts it again.
fn owner_lost(fleet: &mut Fleet) -> Option<f64> {
    let holds = |fleet: &Fleet| String::from_utf8_lossy(&fleet.query(&["holds"]).stdout).into_owned();
    let owner = sonic_rs::get(&holds(fleet), ["duties", "r1", "owner"]).ok()?.as_str()?.to_string();
    let begun = Instant::now();
    fleet.process(&owner).kill();
    Fleet::until(WAIT, || !holds(fleet).contains(&format!("\"owner\":\"{owner}\"")));
    let took = begun.elapsed().as_secs_f64();
    fleet.process(&owner).start();
    Fleet::until(WAIT, || {
        sonic_rs::get(&holds(fleet), ["duties", "r1", "owner"]).is_ok_and(|v| v.as_str() == Some(&owner))
    });
    Some(took)
}

fn seconds(act: impl FnOnce()) -> f64 {
    let begun = Instant::now();
    act();
    begun.elapsed().as_secs_f64()
}

/// Keys withdrawn and weights named: how long until they are in force or in use everywhere.
fn roll_outs(fleet: &mut Fleet) {
    let tenants: Vec<&str> = fleet.shape.tenants.iter().map(|t| t.0).collect();
    let withdraw = |fleet: &Fleet, tenant: &str| {
        seconds(|| _ = fleet.query(&["key-withdraw", &format!("key-{tenant}"), "--wait"]))
    };
    let up = (1..4).map(|at| withdraw(fleet, tenants[at])).collect();
    println!("  key withdrawn, all up: seconds until in force {}", spread(up));
    let mut cut_off = Vec::new();
    for tenant in &tenants[4..7] {
        fleet.process("agent-2").signal(libc::SIGSTOP);
        cut_off.push(withdraw(fleet, tenant));
        fleet.process("agent-2").signal(libc::SIGCONT);
        Fleet::until(WAIT, || fleet.page("edge-2", "/self").contains("\"fresh\":true"));
    }
    println!("  key withdrawn, one agent frozen: seconds until in force {}", spread(cut_off));
    let mut rolled = Vec::new();
    for weights in ["w2", "w3", "w4", "w5", "w6"] {
        rolled.push(seconds(|| {
            let _ = fleet.query(&["weights", "m1", weights, "--wait"]);
            let wanted = format!("\"weights\":\"{weights}\"");
            let all = || fleet.replicas.iter().all(|(id, _)| fleet.page(id, "/load").contains(&wanted));
            Fleet::until(WAIT, all);
        }));
    }
    println!("  weights named: seconds until all replicas use them (loading takes 1.5) {}", spread(rolled));
}
