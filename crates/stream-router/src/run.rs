//! Starts a router, and ends one that was warned.
use crate::dialect::Dialect;
use crate::shared::{Setup, Shared};
use crate::{auditing, chain, feed, sharing};
use fleet_common::{frame, threads};
use http_streams::inbound::{Inbound, Limits, ReadOutcome};
use http_streams::serve::serve;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Workers of the listener for callers, at the most.
pub const WORKERS: usize = 1024;
const READY_WORKERS: usize = 4;
/// A warned router goes on accepting for so long: callers are sent to it until it is seen not to be ready.
const STILL_COMING: Duration = Duration::from_millis(3000);

/// Where a router listens.
pub struct Listeners {
    pub callers: TcpListener,
    pub ready: TcpListener,
    /// For filters and news that are pushed.
    pub frames: TcpListener,
}

/// Starts a router; the calling thread may then `feed::follow` the agent.
/// ```no_run
/// # fn show(setup: stream_router::shared::Setup, dialect: Box<dyn stream_router::dialect::Dialect>,
/// #     listeners: stream_router::run::Listeners) {
/// let shared = stream_router::run::start(setup, dialect, listeners);
/// stream_router::feed::follow(&shared);
/// # }
/// ```
pub fn start(setup: Setup, dialect: Box<dyn Dialect>, listeners: Listeners) -> Arc<Shared> {
    let shared = Arc::new(Shared::new(setup, dialect));
    let for_frames = shared.clone();
    frame::serve(listeners.frames, move |ask| Some(feed::answer(&for_frames, ask)));
    let for_ready = shared.clone();
    serve(listeners.ready, READY_WORKERS, move |stream| ready(&for_ready, Inbound::new(stream)));
    let for_callers = shared.clone();
    serve(listeners.callers, WORKERS, move |stream| chain::connection(&for_callers, stream));
    auditing::start(shared.clone());
    sharing::start(shared.clone());
    shared
}

fn ready(shared: &Shared, mut inbound: Inbound) {
    while let ReadOutcome::Request(head, _) = inbound.next(&Limits::default()) {
        let gauge = || format!("coursebend_router_threads {}\n", threads::live());
        let counters = head.target.ends_with("metrics").then(|| shared.counters.words() + &gauge());
        let (status, reason) = if shared.is_ready() { (200, "OK") } else { (503, "Service Unavailable") };
        let body = counters.unwrap_or_default();
        if inbound.whole(status, reason, &[], body.as_bytes(), false).is_err() {
            return;
        }
    }
}

/// A warned router: says that it is not ready, finishes what it has, goes on accepting while callers may still
/// be sent to it, and returns when all is done or its grace is over.
/// ```no_run
/// # fn show(shared: &stream_router::shared::Shared) {
/// stream_router::run::drain(shared);
/// std::process::exit(0);
/// # }
/// ```
pub fn drain(shared: &Shared) {
    let warned = Instant::now();
    shared.draining.store(true, Ordering::Relaxed);
    while warned.elapsed() < shared.setup.grace {
        let idle = shared.running.load(Ordering::Acquire) == 0;
        if idle && warned.elapsed() > STILL_COMING {
            return;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
}
