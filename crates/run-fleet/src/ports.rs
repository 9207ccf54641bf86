//! Free ports on loopback, from below those that the system gives to outgoing streams: a port found
//! free there stays free until its program starts, and again while that program is down.
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;

const LEAST: u16 = 12_000;
const MOST: u16 = 30_000;
static NEXT: Mutex<Option<u16>> = Mutex::new(None);

/// Gives out free ports, each once in this process's life.
pub struct Ports;

impl Ports {
    /// The next free port.
    /// ```
    /// assert_ne!(run_fleet::ports::Ports.next(), run_fleet::ports::Ports.next());
    /// ```
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> SocketAddr {
        let mut next = NEXT.lock().unwrap_or_else(|held| held.into_inner());
        let start = || LEAST + (fleet_common::hash::unique() % u64::from(MOST - LEAST)) as u16;
        let mut port = next.unwrap_or_else(start);
        loop {
            port = if port >= MOST { LEAST } else { port + 1 };
            let at = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(at).is_ok() {
                *next = Some(port);
                return at;
            }
        }
    }
}
