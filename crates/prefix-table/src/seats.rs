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
/// let told = |fence| SeatNews { replica: "r".into(), fence, load: fence, weights: "w".into(), down: 0, floor: 0, order: "".into(), stage: 0 };
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
