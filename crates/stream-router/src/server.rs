//! Starts a router's threads, and stops it in order.
use crate::dialect::Dialect;
use crate::state::{RouterSettings, RouterState};
use crate::{agent_client, announcements, peer_requests, phases, transfer_audit};
use fleet_common::{frame, process, threads};
use http_streams::inbound::{Inbound, Limits, ReadOutcome};
use http_streams::serve::{Server, serve};
use std::net::TcpListener;
use std::sync::Arc;

/// Limit on the threads that serve clients.
pub const MAX_WORKERS: usize = 1024;
/// Limit on the threads that serve the readiness page.
const READINESS_WORKERS: usize = 4;

/// The listeners of a router.
pub struct Listeners {
    /// For clients' requests.
    pub clients: TcpListener,
    /// For readiness probes and metrics.
    pub readiness: TcpListener,
    /// For filters and load reports that index nodes push.
    pub peers: TcpListener,
}

/// A router that was started.
pub struct RunningRouter {
    /// The state that its threads share.
    pub state: Arc<RouterState>,
    clients: Server,
}

/// Starts a router; the calling thread may then follow the agent by `agent_client::follow`.
/// ```no_run
/// # fn show(settings: stream_router::settings::RouterSettings, dialect: Box<dyn stream_router::dialect::Dialect>,
/// #     listeners: stream_router::server::Listeners) {
/// let started = stream_router::server::start(settings, dialect, listeners);
/// stream_router::agent_client::follow(&*started.state);
/// # }
/// ```
pub fn start(settings: RouterSettings, dialect: Box<dyn Dialect>, listeners: Listeners) -> RunningRouter {
    let state = Arc::new(RouterState::new(settings, dialect));
    let for_peers = state.clone();
    frame::serve(listeners.peers, move |request| Some(peer_requests::answer(&for_peers, request)));
    let for_readiness = state.clone();
    serve(listeners.readiness, READINESS_WORKERS, move |stream| serve_readiness(&for_readiness, Inbound::new(stream)));
    let for_clients = state.clone();
    let clients = serve(listeners.clients, MAX_WORKERS, move |stream| phases::serve_connection(&for_clients, stream));
    transfer_audit::start(state.clone());
    announcements::start(state.clone());
    RunningRouter { state, clients }
}

/// The page that is asked for in place of a readiness probe, if one is.
fn requested_page(state: &RouterState, target: &str) -> Option<String> {
    if target.ends_with("metrics") {
        return Some(format!("{}coursebend_router_threads {}\n", state.counters.words(), threads::live()));
    }
    let peak_bytes = || format!("coursebend_process_peak_memory_bytes {}\n", process::peak_memory_bytes());
    target.ends_with("process").then(peak_bytes)
}

/// Answers readiness probes, and with a page where one is asked for: the counters, or what the process uses.
fn serve_readiness(state: &RouterState, mut inbound: Inbound) {
    while let ReadOutcome::Request(head, _) = inbound.read_request(&Limits::default()) {
        let page = requested_page(state, &head.target);
        let is_ready = state.is_ready();
        let (status, reason) = if is_ready { (200, "OK") } else { (503, "Service Unavailable") };
        let is_probe = page.is_none();
        let body = page.unwrap_or_default();
        if inbound.respond(status, reason, &[], body.as_bytes(), false).is_err() {
            return;
        }
        if is_probe && !is_ready {
            state.shutdown.record_not_ready_answer();
        }
    }
}

impl RunningRouter {
    /// Stops the router in order; returns when it is done. Its caller then ends the process.
    /// ```no_run
    /// # fn show(started: &stream_router::server::RunningRouter) {
    /// started.stop();
    /// std::process::exit(0);
    /// # }
    /// ```
    pub fn stop(&self) {
        self.state.shutdown.drain(&self.clients);
        if self.state.shutdown.open_connections() == 0 {
            agent_client::say_goodbye(&*self.state);
        }
    }
}
