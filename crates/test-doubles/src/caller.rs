//! Callers of both deployments' shapes. Requests come steadily; each begins with a long shared
//! prefix and ends with its session's own part. Every piece of every answer is checked.
use crate::checks::{call, call_again};
use crate::figures::Figures;
use crate::flags::Caller as Flags;
use crate::job::Job;
use crossbeam::channel::bounded;
use fleet_common::hash::SeededRng;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A kind of work: name, weight, blocks of shared prefix, bytes of its own, tokens.
type Kind = (&'static str, u64, usize, usize, u64);

const COURIER: &[Kind] = &[("directions", 5, 48, 400, 24), ("reroute", 3, 32, 300, 12), ("question", 2, 4, 120, 8)];
const QUIZ: &[Kind] = &[("mark", 6, 40, 300, 8), ("tiebreak", 2, 24, 200, 8), ("hint", 2, 6, 100, 16)];

/// Deterministic text, so that the same prefix is the same bytes everywhere.
fn text(seed: u64, bytes: usize) -> String {
    let mut rng = SeededRng::new(seed);
    let mut out = String::with_capacity(bytes + 12);
    while out.len() < bytes {
        out.push_str(&format!("{:x} ", rng.next(1 << 40)));
    }
    out.truncate(bytes);
    out
}

fn jobs(flags: &Flags) -> impl Iterator<Item = Job> + use<> {
    let kinds = if flags.shape.as_deref() == Some("quiz") { QUIZ } else { COURIER };
    let edges: Vec<String> = flags.edges.split(',').map(str::to_string).collect();
    let pairs = flags.keys.split(',').filter_map(|pair| pair.split_once(':'));
    let keys: Vec<(String, String)> = pairs.map(|(key, tenant)| (key.into(), tenant.into())).collect();
    let model = flags.model.clone().unwrap_or_else(|| "m1".into());
    let seed = flags.seed.unwrap_or(1);
    let once_share = flags.once_share.unwrap_or(5);
    let mut rng = SeededRng::new(seed);
    let mut number = 0u64;
    std::iter::repeat_with(move || {
        number += 1;
        // A few tenants are large: the first ones come up more often.
        let at = rng.next(keys.len() as u64).min(rng.next(keys.len() as u64)) as usize;
        let (key, tenant) = keys[at].clone();
        let mut roll = rng.next(kinds.iter().map(|k| k.1).sum());
        let kind = kinds.iter().find(|k| {
            let found = roll < k.1;
            roll = roll.saturating_sub(k.1);
            found
        });
        let (name, _, blocks, own, tokens) = *kind.unwrap_or(&kinds[0]);
        let session = rng.next(6);
        let shared = text(at as u64 * 31 + name.len() as u64, blocks * 64);
        let rest = text(seed ^ (number << 8), own);
        Job {
            edge: edges[rng.next(edges.len() as u64) as usize].clone(),
            session: format!("{tenant}-{name}-{session}"),
            prompt: format!("{shared}{:08}{rest}", session),
            key,
            tenant,
            model: model.clone(),
            kind: name,
            tokens,
            stream: rng.next(5) > 0,
            once: (rng.next(100) < once_share).then(|| format!("once-{seed}-{number}")),
            budget_ms: None,
        }
    })
}

pub(crate) fn run(flags: &Flags) {
    let figures = Arc::new(Mutex::new(Figures::default()));
    let comes_back = flags.come_back;
    let (sender, receiver) = bounded::<Job>(1024);
    let workers: Vec<_> = (0..96)
        .map(|_| {
            let (receiver, figures) = (receiver.clone(), figures.clone());
            std::thread::spawn(move || {
                for job in receiver {
                    let (result, refusals) = if comes_back { call_again(&job) } else { (call(&job), Vec::new()) };
                    let mut figures = figures.lock().unwrap();
                    figures.take_refusals(refusals);
                    figures.take(&job, &result);
                }
            })
        })
        .collect();
    let gap = Duration::from_micros(1_000_000 / flags.per_second.unwrap_or(20).max(1));
    let begun = Instant::now();
    let total = flags.seconds.unwrap_or(5) * flags.per_second.unwrap_or(20);
    for (number, job) in jobs(flags).take(total as usize).enumerate() {
        std::thread::sleep((gap * number as u32).saturating_sub(begun.elapsed()));
        let _ = sender.send(job);
    }
    drop(sender);
    for worker in workers {
        let _ = worker.join();
    }
    println!("{}", figures.lock().unwrap().words());
}
