//! The router's link to its agent: whole versions and freshness, applied together.
use crate::shared::Shared;
use fleet_common::ask::{Answer, Ask, Pull};
use fleet_common::frame::Caller;
use fleet_common::{PeerError, ring};
use std::time::{Duration, Instant};

const PARK_MS: u32 = 300;

fn pull(shared: &Shared, caller: &mut Caller) -> Result<bool, PeerError> {
    let have = shared.fleet.read().vector.to_vec();
    let ask = Ask::Pull(Pull {
        node: shared.name.as_str().into(),
        kind: "edge".into(),
        incarnation: shared.start,
        at: "".into(),
        district: shared.district.as_str().into(),
        have: have.clone().into(),
        confirmed: have.into(),
        holding: 1,
        wait_ms: PARK_MS,
    });
    let asked = Instant::now();
    let Answer::Pulled(pulled) = caller.ask(&ask)? else { return Ok(false) };
    let asked_at = shared.now().saturating_sub(asked.elapsed());
    let learns = shared.fleet.read().learns(asked_at, &pulled);
    let taken = !learns || shared.fleet.change(|fleet| fleet.take_pulled(asked_at, &pulled));
    if pulled.member != 0 && taken {
        // What came with the confirmation is in use by now, so the freshness may count.
        shared.fresh.confirm(asked, Duration::from_millis(pulled.age_ms));
    }
    Ok(pulled.member != 0 && taken)
}

pub fn follow(shared: &Shared) -> ! {
    let mut caller = Caller::new(shared.agent, Duration::from_millis(1500));
    loop {
        match pull(shared, &mut caller) {
            Ok(true) => {}
            Ok(false) => std::thread::sleep(Duration::from_millis(30)),
            Err(error) => {
                ring::note(&error.to_string());
                std::thread::sleep(Duration::from_millis(60));
            }
        }
    }
}
