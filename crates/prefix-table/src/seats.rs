//! News of replicas' states as index nodes tell it, to routers and to each other.
use fleet_common::ask::SeatNews;
use std::collections::BTreeMap;
use std::time::Duration;

/// State news of replicas, with when it came.
pub type News = BTreeMap<String, (SeatNews, Duration)>;

/// Takes news that is not older than what is known.
/// ```
/// use fleet_common::ask::SeatNews;
/// use std::time::Duration;
/// let told = |fence| SeatNews { replica: "r".into(), fence, load: fence, weights: "w".into(), down: 0, floor: 0,
///     order: "".into(), stage: 0, running: 0, waiting: 0, used_tokens: 0, total_tokens: 0, busy: 0 };
/// let mut news = Default::default();
/// prefix_table::seats::take(&mut news, Duration::ZERO, vec![told(5), told(4)]);
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

/// Whether two tell the same of a replica's state, its load and memory apart.
/// ```
/// # use fleet_common::ask::SeatNews;
/// # let told = |down, load| SeatNews { replica: "r".into(), fence: 1, load, weights: "w".into(), down, floor: 0,
/// #     order: "".into(), stage: 0, running: 0, waiting: 0, used_tokens: 0, total_tokens: 0, busy: 0 };
/// use prefix_table::seats::same_state;
/// assert!(same_state(&told(0, 1), &told(0, 2)) && !same_state(&told(0, 1), &told(1, 1)));
/// ```
pub fn same_state(one: &SeatNews, other: &SeatNews) -> bool {
    let state = |seat: &SeatNews| (seat.fence, seat.down, seat.floor, seat.stage);
    state(one) == state(other) && one.weights == other.weights && one.order == other.order
}

/// Whether news would change the state of any replica as it is known.
/// ```
/// assert!(!prefix_table::seats::stirs(&Default::default(), &[]));
/// ```
pub fn stirs(news: &News, told: &[SeatNews]) -> bool {
    let changes = |one: &SeatNews| news.get(one.replica.as_str()).is_none_or(|(held, _)| !same_state(held, one));
    told.iter().any(changes)
}
