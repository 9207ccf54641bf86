//! Free ports on loopback.
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};

/// Ports that were free when taken; each is given out once.
pub struct Ports(VecDeque<SocketAddr>);

impl Ports {
    /// Finds so many free ports at once, so that none is found twice.
    /// ```
    /// let mut ports = run_fleet::ports::Ports::find(2);
    /// assert_ne!(ports.next(), ports.next());
    /// ```
    pub fn find(count: usize) -> Self {
        let held: Vec<TcpListener> = (0..count).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
        Ports(held.iter().filter_map(|l| l.local_addr().ok()).collect())
    }

    /// The next free port.
    /// ```
    /// assert!(run_fleet::ports::Ports::find(1).next().ip().is_loopback());
    /// ```
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> SocketAddr {
        self.0.pop_front().unwrap_or_else(|| panic!("no more free ports were found"))
    }
}
