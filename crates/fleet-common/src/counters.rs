//! Plain counts of what a program did, under their names.

/// Declares counters, all 0 at first, and `words` that tells them, one a line, each name behind a prefix.
/// ```
/// fleet_common::counters! { "demo_", requests, refused }
/// let counters = Counters::default();
/// fleet_common::counters::count(&counters.requests);
/// assert_eq!(counters.words(), "demo_requests 1\ndemo_refused 0\n");
/// ```
#[macro_export]
macro_rules! counters {
    ($prefix:literal, $($name:ident),* $(,)?) => {
        /// Plain counts.
        #[derive(Default)]
        pub struct Counters { $(pub $name: std::sync::atomic::AtomicU64),* }
        impl Counters {
            /// Names and counts, one a line.
            pub fn words(&self) -> String {
                let mut text = String::new();
                $(text += &format!("{}{} {}\n", $prefix, stringify!($name), self.$name.load(std::sync::atomic::Ordering::Relaxed));)*
                text
            }
        }
    };
}

/// Counts one.
/// ```
/// let counter = Default::default();
/// fleet_common::counters::count(&counter);
/// assert_eq!(counter.into_inner(), 1);
/// ```
pub fn count(counter: &std::sync::atomic::AtomicU64) {
    counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
}
