//! The platform's words to a process: SIGTERM is its warning before a kill, SIGHUP says that settings
//! have changed.
use crate::threads::{self, STACK};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// What the platform said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Stop soon: finish, hand over, end.
    Warning,
    /// Settings changed: read them again.
    Settings,
}

/// Calls `heed` for each word, on a thread of its own.
/// ```
/// fleet_common::signals::heed(|word| println!("{word:?}"));
/// ```
pub fn heed(heed: impl Fn(Word) + Send + 'static) {
    let Ok(mut signals) = Signals::new([SIGTERM, SIGINT, SIGHUP]) else { return };
    threads::start("signals", STACK, move || {
        for signal in signals.forever() {
            heed(if signal == SIGHUP { Word::Settings } else { Word::Warning });
        }
    });
}
