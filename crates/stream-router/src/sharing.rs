//! Routers tell each other what they send to which replica, by datagrams: a lost one only makes a replica look
//! a little less busy for a moment.
use crate::shared::Shared;
use deku::{DekuContainerRead, DekuContainerWrite};
use fleet_common::List;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

fleet_common::messages! {
    /// A prompt that was sent to a replica or over a link (by its key), how long reading or moving it takes, and
    /// the parts of it that others may ask for; or that those will not be read after all.
    pub struct Work { pub replica: u64, pub work_us: u32, pub undone: u8, pub parts: List<u64> }
}

/// Parts told of one prompt, at the most: the first ones matter most.
const PARTS_MOST: usize = 32;

/// The socket for what routers tell each other, and who they are.
pub struct Sharing {
    socket: Option<UdpSocket>,
}

impl Sharing {
    /// Binds the address at which other routers reach this one; without it nothing is shared.
    /// ```
    /// let _sharing = stream_router::sharing::Sharing::bind("127.0.0.1:0".parse().unwrap());
    /// ```
    pub fn bind(at: SocketAddr) -> Self {
        let socket = UdpSocket::bind(at).inspect_err(|e| fleet_common::ring::note(&format!("datagrams at {at}: {e}")));
        Sharing { socket: socket.ok() }
    }

    /// Tells others of work that was sent to a replica.
    /// ```
    /// # let sharing = stream_router::sharing::Sharing::bind("127.0.0.1:0".parse().unwrap());
    /// sharing.tell(&[], 7, std::time::Duration::from_millis(40), &[], false);
    /// ```
    pub fn tell(&self, others: &[SocketAddr], replica: u64, work: Duration, parts: &[u64], undone: bool) {
        let Some(socket) = &self.socket else { return };
        let work_us = work.as_micros().min(u32::MAX as u128) as u32;
        let work = Work {
            replica,
            work_us,
            undone: undone.into(),
            parts: parts[..parts.len().min(PARTS_MOST)].to_vec().into(),
        };
        let Ok(bytes) = work.to_bytes() else { return };
        for to in others {
            let _ = socket.send_to(&bytes, to);
        }
    }
}

/// Hears what other routers tell.
/// ```no_run
/// # fn show(shared: std::sync::Arc<stream_router::shared::Shared>) {
/// stream_router::sharing::start(shared);
/// # }
/// ```
pub fn start(shared: Arc<Shared>) {
    let Some(socket) = shared.sharing.socket.as_ref().and_then(|s| s.try_clone().ok()) else { return };
    std::thread::spawn(move || {
        let mut bytes = [0u8; 512];
        loop {
            let Ok((got, _)) = socket.recv_from(&mut bytes) else { continue };
            if let Ok((_, work)) = Work::from_bytes((&bytes[..got], 0)) {
                let took = Duration::from_micros(work.work_us.into());
                shared.take_work(work.replica, took, work.parts.items(), work.undone != 0);
            }
        }
    });
}
