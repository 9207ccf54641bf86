//! Plain counts of what a router did.
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// Plain counts.
        #[derive(Default)]
        pub struct Counters { $(pub $name: AtomicU64),* }
        impl Counters {
            /// Names and counts, one a line.
            /// ```
            /// assert!(stream_router::counters::Counters::default().words().contains("requests 0"));
            /// ```
            pub fn words(&self) -> String {
                let mut text = String::new();
                $(text += &format!("coursebend_router_{} {}\n", stringify!($name), self.$name.load(Ordering::Relaxed));)*
                text
            }
        }
    };
}

counters! {
    requests, whole, cut, refused, passed_on, retries, resumed, handovers, false_hits, filter_pushes,
    filter_pulls, parts_held, parts_anew, not_fresh, misdirected, caller_left, late_answers, connections,
}

/// Counts one.
/// ```
/// let counter = Default::default();
/// stream_router::counters::count(&counter);
/// assert_eq!(counter.into_inner(), 1);
/// ```
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
