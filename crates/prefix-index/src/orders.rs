//! Orders to replicas: load the weights the blueprint names. In three waves, so that capacity is
//! kept; each order carries the fence, and a replica refuses an older one.
use crate::known::{Shared, lock};
use fleet_common::ask::TERM;
use fleet_common::{hash, http_out, json, ring};
use std::sync::Arc;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_millis(200);
const WAVE: Duration = Duration::from_secs(4);
const WAVES: u64 = 3;
const AGAIN: Duration = Duration::from_secs(2);

fn round(shared: &Shared) {
    let fleet = shared.fleet.read();
    let Some(blueprint) = &fleet.blueprint else { return };
    for row in &fleet.replicas {
        let Some(model) = blueprint.models.get(&row.model) else { continue };
        let since = fleet.weights_since.get(&row.model).map_or(Duration::MAX, |(_, at)| at.elapsed());
        let (Some(fence), Some(kept)) = (shared.holds(&row.id), shared.kept(&row.id)) else { continue };
        let (weights, down, ordered, since_held) = {
            let held = lock(&kept);
            (held.table.facts().0.to_string(), held.down, held.ordered.clone(), held.since.elapsed())
        };
        if weights == model.weights || down {
            continue;
        }
        // A holder that lapsed may have been given a term after its lapse was on its way: until that
        // has run out two might give orders.
        let after_lapse = fleet.duties.get(&row.id).is_some_and(|duty| duty.after_lapse);
        if after_lapse && since_held < TERM + Duration::from_millis(400) {
            continue;
        }
        // A replica with weights still serves while its wave waits; one without has nothing to lose.
        let wave = hash::bytes(5, row.id.as_bytes()) % WAVES;
        let early = !weights.is_empty() && since < WAVE * wave as u32;
        let asked = ordered.is_some_and(|(w, at)| w == model.weights && at.elapsed() < AGAIN);
        if early || asked {
            continue;
        }
        lock(&kept).ordered = Some((model.weights.clone(), Instant::now()));
        let body = format!(
            "{{\"fence\":{fence},\"index\":{},\"order\":\"load_weights\",\"weights\":{}}}",
            json::quote(&shared.me.name),
            json::quote(&model.weights)
        );
        let sent = http_out::json("POST", &format!("http://{}/orders", row.at), &body, Duration::from_millis(800));
        match sent {
            Ok(_) => ring::note(&format!("ordered {} to load {} under fence {fence}", row.id, model.weights)),
            Err(mishap) => ring::note(&mishap.to_string()),
        }
    }
}

pub fn start(shared: Arc<Shared>) {
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(EVERY);
            round(&shared);
        }
    });
}
