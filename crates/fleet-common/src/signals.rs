//! The platform's signals to a process: SIGTERM is its warning before a kill, SIGHUP says that settings have changed.
//!
//! They are caught from the first step of a start on, as the platform does not wait until a process is ready for them. What
//! comes before the process can act on it is kept: a reload is made up for, and a process that is told to stop before it
//! has begun to serve ends at once.
use crate::ring;
use crate::threads::{self, STACK};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the platform said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stop soon: finish, hand over, end.
    Terminate,
    /// Settings changed: read them again.
    Reload,
}

type Handler = Box<dyn FnMut(Signal) + Send>;

/// Who acts on signals.
enum Receiver {
    /// The process is still starting. Nothing is to be handed over yet.
    Starting {
        /// Settings changed meanwhile.
        reload_pending: bool,
    },
    Handler(Handler),
}

/// The signals of this process, caught since [`SignalQueue::catch`].
#[derive(Clone)]
pub struct SignalQueue {
    receiver: Arc<Mutex<Receiver>>,
}

impl SignalQueue {
    /// Catches signals from now on. Until [`SignalQueue::listen`] is called, SIGTERM calls `stop_early`, which ends the
    /// process, and SIGHUP is kept. Where signals cannot be caught, that is logged and the process goes on without them.
    /// ```
    /// let signals = fleet_common::signals::SignalQueue::catch(|| std::process::exit(0));
    /// signals.listen(|signal| println!("{signal:?}"));
    /// ```
    pub fn catch(mut stop_early: impl FnMut() + Send + 'static) -> SignalQueue {
        // A write beyond the limit on file sizes is an error of that write, not the end of the process.
        unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
        let queue = SignalQueue { receiver: Arc::new(Mutex::new(Receiver::Starting { reload_pending: false })) };
        let caught = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
            Ok(signals) => signals,
            Err(error) => {
                ring::announce(&format!("signals cannot be caught: {error}"));
                return queue;
            }
        };
        let receiving = queue.clone();
        threads::start("signals", STACK, move || receiving.receive(caught, &mut stop_early));
        queue
    }

    fn receive(&self, mut caught: Signals, stop_early: &mut dyn FnMut()) {
        for number in caught.forever() {
            let signal = if number == SIGHUP { Signal::Reload } else { Signal::Terminate };
            match (&mut *self.lock(), signal) {
                (Receiver::Handler(handle), signal) => handle(signal),
                (Receiver::Starting { .. }, Signal::Terminate) => stop_early(),
                (Receiver::Starting { reload_pending }, Signal::Reload) => *reload_pending = true,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Receiver> {
        self.receiver.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on `handle` is called for each signal, and at once for a reload that came before.
    pub fn listen(&self, mut handle: impl FnMut(Signal) + Send + 'static) {
        let mut receiver = self.lock();
        if matches!(*receiver, Receiver::Starting { reload_pending: true }) {
            handle(Signal::Reload);
        }
        *receiver = Receiver::Handler(Box::new(handle));
    }
}
