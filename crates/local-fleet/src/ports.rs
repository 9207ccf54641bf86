//! Free ports on loopback, from below those that the system gives to outgoing streams.
//!
//! Ports are taken from blocks. Whoever takes from a block keeps its first port bound for as long as the process
//! lives, so that two processes that start fleets at the same time never give out the same port, and the ports of
//! a program that is down for a while stay its own.
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;

const LEAST: u16 = 12_000;
const MOST: u16 = 30_000;
/// Ports of a block, the guard among them.
const BLOCK: u16 = 250;

/// A block that this process took, and the last of its ports that was looked at.
struct Block {
    first: u16,
    last: u16,
    /// Held to the end of the process, since blocks are kept in a static.
    _guard: TcpListener,
}

static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Gives out free ports, each once in this process's life.
pub struct Ports;

impl Ports {
    /// The next free port.
    ///
    /// # Panics
    /// Where all blocks are taken by other processes.
    /// ```
    /// assert_ne!(local_fleet::ports::Ports.next(), local_fleet::ports::Ports.next());
    /// ```
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> SocketAddr {
        let mut blocks = BLOCKS.lock().unwrap_or_else(|held| held.into_inner());
        loop {
            if let Some(port) = blocks.last_mut().and_then(Block::next) {
                return port;
            }
            blocks.push(Block::take());
        }
    }
}

impl Block {
    /// Takes a block that no other process has, beginning at one drawn by lot.
    fn take() -> Self {
        let all = (MOST - LEAST) / BLOCK;
        let drawn = (fleet_common::hash::unique_id() % u64::from(all)) as u16;
        let firsts = (0..all).map(|step| LEAST + (drawn + step) % all * BLOCK);
        let mut free = firsts.filter_map(|first| Some((first, TcpListener::bind(loopback(first)).ok()?)));
        let (first, guard) = free.next().unwrap_or_else(|| panic!("all {all} blocks of ports are taken"));
        Block { first, last: first, _guard: guard }
    }

    /// The next port of the block that nobody listens on.
    fn next(&mut self) -> Option<SocketAddr> {
        let rest = self.last + 1..self.first + BLOCK;
        let found = rest.map(loopback).find(|at| TcpListener::bind(at).is_ok());
        self.last = found.map_or(self.first + BLOCK - 1, |at| at.port());
        found
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
