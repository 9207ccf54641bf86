//! Plain counts of what a program did, under their names.

/// Declares counters, all 0 at first, and `words` that tells them, one a line, each name behind a prefix.
/// ```
/// fleet_common::counters! { "demo_", requests, refused }
/// let counters = Counters::default();
/// fleet_common::counters::count(&counters.requests);
/// assert_eq!(counters.words(), "demo_requests 1\ndemo_refused 0\n");
/// ```
/// A counter may have a doc comment, and a name on pages that differs from the field's.
/// ```
/// fleet_common::counters! { "demo_", /** Requests that were rejected. */ rejected = "refused" }
/// assert_eq!(Counters::default().words(), "demo_refused 0\n");
/// ```
#[macro_export]
macro_rules! counters {
    (@metric $name:ident) => { stringify!($name) };
    (@metric $name:ident $metric:literal) => { $metric };
    ($prefix:literal, $($(#[$attribute:meta])* $name:ident $(= $metric:literal)?),* $(,)?) => {
        /// Counters of what the program did since it started.
        #[derive(Default)]
        pub struct Counters { $($(#[$attribute])* pub $name: std::sync::atomic::AtomicU64),* }
        impl Counters {
            /// Names and counts, one a line.
            pub fn words(&self) -> String {
                let mut text = String::new();
                $(text += &format!("{}{} {}\n", $prefix, $crate::counters!(@metric $name $($metric)?), self.$name.load(std::sync::atomic::Ordering::Relaxed));)*
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
