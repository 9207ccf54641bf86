//! What is done to a calm fleet to see what it costs.
use crate::child::Played;
use crate::point::{CALM, Fleet, INDEX_NODES, LOOK, SETTLE};
use std::time::Instant;

/// How often each is done.
pub const TIMES: u64 = 3;

/// Changes of the configuration by name, one after another.
pub fn changes(fleet: &mut Fleet) -> Result<(f64, f64), String> {
    let (mut took, mut force) = (0.0, 0.0);
    for over in 1..=TIMES {
        let said = fleet.ask("hollow", &format!("change {}", fleet.size.tenants * 1000 + over))?;
        if !said.fault.is_empty() {
            return Err(said.fault);
        }
        took += said.took_ms / TIMES as f64;
        force += said.in_force_ms / TIMES as f64;
    }
    Ok((took, force))
}

/// Nodes that come again.
pub fn restarts(fleet: &mut Fleet) -> Result<(f64, f64), String> {
    let begun = Instant::now();
    for at in 0..TIMES {
        fleet.ask("hollow", &format!("restart {at}"))?;
        std::thread::sleep(CALM / 2);
    }
    Ok((begun.elapsed().as_secs_f64() * 1000.0 / TIMES as f64, 0.0))
}

/// An index node fails: until all its duties are held by others.
pub fn loss(fleet: &mut Fleet) -> Result<(f64, f64), String> {
    let begun = Instant::now();
    let last = format!("index {INDEX_NODES}");
    let mut lost = fleet.children.iter().position(|c| c.name == last).map(|at| fleet.children.remove(at));
    lost.iter_mut().for_each(Played::end);
    while fleet.indexes()?.held < fleet.size.replicas {
        if begun.elapsed() > SETTLE {
            return Err("the duties of a lost index node were not taken".into());
        }
        std::thread::sleep(LOOK);
    }
    let took = begun.elapsed();
    std::thread::sleep(CALM / 2);
    Ok((took.as_secs_f64() * 1000.0, 0.0))
}
