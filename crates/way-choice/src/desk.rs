//! What a router knows of replicas besides the listing: what the index told, and where it met a closed
//! door itself.
use crate::place::Seat;
use control_chain::fleet::Fleet;
use fleet_common::ask::{SeatNews, TERM};
use std::collections::HashMap;
use std::time::Duration;

/// State news of replicas, with when it came.
pub type News = HashMap<String, (SeatNews, Duration)>;
/// Until when a replica that could not be reached is left alone.
pub type Down = HashMap<String, Duration>;

/// No mirror is as new as this: what is known of the replica is too old to trust one.
pub const NO_FLOOR: (u64, u64) = (u64::MAX, u64::MAX);

/// Takes news that is not older than what is known.
/// ```
/// use fleet_common::ask::SeatNews;
/// use std::time::Duration;
/// let told = |fence| SeatNews { replica: "r".into(), fence, load: fence, weights: "w".into(), down: 0, floor: 0, order: "".into(), stage: 0 };
/// let mut news = Default::default();
/// way_choice::desk::take(&mut news, Duration::ZERO, vec![told(5), told(4)]);
/// assert_eq!(news["r"].0.load, 5);
/// ```
pub fn take(news: &mut News, now: Duration, told: Vec<SeatNews>) {
    for one in told {
        let replica = one.replica.to_string();
        if news.get(&replica).is_none_or(|(held, _)| held.fence <= one.fence) {
            news.insert(replica, (one, now));
        }
    }
}

/// Replicas as they look now: listed by the platform, loaded and running as the index told. A mirror
/// is trusted only while its holder is heard, and from the floor on that it names: a replica that
/// started anew, a store that came back empty and a holder that died draw no hand-overs.
/// ```
/// let seats = way_choice::desk::seats(&Default::default(), &Default::default(), &Default::default(), std::time::Duration::ZERO);
/// assert!(seats.is_empty());
/// ```
pub fn seats(fleet: &Fleet, news: &News, down: &Down, now: Duration) -> Vec<Seat> {
    let seat = |row: &control_chain::command::Replica| {
        let told = news.get(&row.id);
        let lately = down.get(&row.id).is_some_and(|until| now < *until);
        let heard = told.filter(|(_, at)| now.saturating_sub(*at) < TERM).map(|(told, _)| told);
        let fence = fleet.duties.get(&row.id).map_or(0, |duty| duty.fence);
        let floor = heard.map_or(NO_FLOOR, |told| (told.fence.max(fence), told.floor));
        let told = told.map(|(told, _)| told);
        Seat {
            id: row.id.clone(),
            at: row.at.clone(),
            district: row.district.clone(),
            model: row.model.clone(),
            weights: told.map(|t| t.weights.to_string()).unwrap_or_default(),
            leaving: row.leaving,
            down: lately || told.is_some_and(|t| t.down != 0),
            load: told.map_or(0, |t| t.load),
            floor,
        }
    };
    fleet.replicas.iter().map(seat).collect()
}
