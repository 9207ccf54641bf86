//! Watching a replica: its cache events and its load, by long polls, for as long as the duty is held.
use crate::known::{Kept, Shared, lock};
use fleet_common::{http_out, ring};
use prefix_table::event::Batch;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(200);
const LOST: Duration = Duration::from_millis(900);

fn poll(shared: &Shared, replica: &str, kept: &Mutex<Kept>) -> Result<Batch, String> {
    let fleet = shared.fleet.read();
    let row = fleet.replicas.iter().find(|r| r.id == replica).ok_or("no longer listed")?;
    let (incarnation, from) = {
        let held = lock(kept);
        let (incarnation, next) = held.table.wanted();
        (incarnation.to_string(), next)
    };
    let url = format!("http://{}/events?from={from}&incarnation={incarnation}&wait_ms={}", row.at, POLL.as_millis());
    let text = http_out::json("GET", &url, "", Duration::from_millis(1500)).map_err(|e| e.to_string())?;
    sonic_rs::from_str(&text).map_err(|e| format!("events cannot be read: {e}"))
}

pub fn start(shared: Arc<Shared>, replica: String, fence: u64) {
    std::thread::spawn(move || {
        let Some(kept) = shared.kept(&replica) else { return };
        lock(&kept).first_loss = None;
        loop {
            if shared.fleet.read().fence(&replica, &shared.me) != Some(fence) {
                ring::note(&format!("no longer holds {replica} under fence {fence}"));
                return;
            }
            match poll(&shared, &replica, &kept) {
                Ok(batch) => {
                    let now = shared.now();
                    let mut held = lock(&kept);
                    held.table.apply(now, &batch);
                    held.table.age(now);
                    held.load = batch.load;
                    held.first_loss = None;
                    if std::mem::replace(&mut held.down, false) {
                        ring::note(&format!("{replica} is back"));
                    }
                }
                Err(what) => {
                    let mut held = lock(&kept);
                    let since = *held.first_loss.get_or_insert_with(Instant::now);
                    let now = shared.now();
                    held.table.age(now);
                    if !held.down && since.elapsed() > LOST {
                        held.down = true;
                        ring::note(&format!("{replica} is down: {what}"));
                    }
                    drop(held);
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }
    });
}
