//! Gossip between routers: each announces what it sends to which replica, by UDP. A lost datagram only makes a
//! replica look a little less busy for a moment.
use deku::{DekuContainerRead, DekuContainerWrite};
use fleet_common::{List, startup};
use std::net::{SocketAddr, UdpSocket};
use std::sync::OnceLock;

fleet_common::messages! {
    /// A prompt was sent to a replica.
    pub struct RequestSent {
        /// The replica's key.
        pub replica: u64,
        /// The id of the attempt.
        pub id: u64,
        /// Its prefill time at a replica of ordinary pace, in microseconds.
        pub work_us: u32,
        /// The tokens of KV cache that it needs.
        pub tokens: u32,
        /// Those of its parts that other requests may share.
        pub parts: List<u64>,
    }

    /// A prompt that was sent to a replica.
    pub struct RequestRef {
        /// The replica's key.
        pub replica: u64,
        /// The id of the attempt.
        pub id: u64,
    }

    /// A transfer occupies a link.
    pub struct LinkOccupied {
        /// The link's key.
        pub link: u64,
        /// For how long, in microseconds.
        pub took_us: u32,
    }

    /// Prompt parts that a replica has just cached.
    pub struct PartsCached {
        /// The replica's key.
        pub replica: u64,
        /// The parts.
        pub parts: List<u64>,
    }

    /// What routers announce to each other.
    pub enum Announcement {
        /// A prompt was sent to a replica.
        1 = RequestSent(RequestSent),
        /// Its prefill is done: the first event came.
        2 = PrefillDone(RequestRef),
        /// It will not be prefilled.
        3 = Cancelled(RequestRef),
        /// A transfer occupies a link.
        4 = LinkOccupied(LinkOccupied),
        /// For routers that do not serve the replica: it is a source of transfers before its filter says so.
        5 = PartsCached(PartsCached),
    }
}

impl Announcement {
    /// Reads a datagram; `None` where it is no announcement.
    /// ```
    /// assert!(stream_router::gossip::Announcement::from_datagram(&[99]).is_none());
    /// ```
    pub fn from_datagram(bytes: &[u8]) -> Option<Announcement> {
        Announcement::from_bytes((bytes, 0)).ok().map(|(_, announcement)| announcement)
    }
}

/// Limit on a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;
/// Delay after an error of the socket, so that a broken one does not take the processor.
const RECEIVE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);
/// Limit on the parts of one prompt that are announced: the first ones matter most.
const MAX_ANNOUNCED_PARTS: usize = 32;

/// The socket for announcements.
pub struct GossipSocket {
    address: SocketAddr,
    /// Empty until the address could be bound.
    socket: OnceLock<UdpSocket>,
}

impl GossipSocket {
    /// Binds the address at which other routers reach this one. Where it is taken, nothing is announced or received until
    /// [`GossipSocket::receive`] could bind it.
    /// ```
    /// let _sharing = stream_router::gossip::GossipSocket::bind("127.0.0.1:0".parse().unwrap());
    /// ```
    pub fn bind(address: SocketAddr) -> Self {
        let socket = UdpSocket::bind(address).map(OnceLock::from).unwrap_or_default();
        GossipSocket { address, socket }
    }

    fn bound(&self) -> &UdpSocket {
        self.socket.get_or_init(|| {
            startup::until_ready(&format!("datagrams at {}", self.address), || UdpSocket::bind(self.address))
        })
    }

    /// Receives announcements for ever, and gives each to `apply`.
    pub fn receive(&self, mut apply: impl FnMut(&Announcement)) {
        let socket = self.bound();
        let mut bytes = [0u8; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut bytes) else {
                std::thread::sleep(RECEIVE_RETRY_DELAY);
                continue;
            };
            if let Some(announcement) = Announcement::from_datagram(&bytes[..length]) {
                apply(&announcement);
            }
        }
    }

    /// Sends an announcement to other routers.
    /// ```
    /// # let sharing = stream_router::gossip::GossipSocket::bind("127.0.0.1:0".parse().unwrap());
    /// use stream_router::gossip::{RequestRef, Announcement};
    /// sharing.send(&[], &Announcement::PrefillDone(RequestRef { replica: 7, id: 1 }));
    /// ```
    pub fn send(&self, others: &[SocketAddr], announcement: &Announcement) {
        let (Some(socket), Ok(bytes)) = (self.socket.get(), announcement.to_bytes()) else { return };
        for to in others {
            let _ = socket.send_to(&bytes, to);
        }
    }
}

/// The parts that are announced.
/// ```
/// assert_eq!(stream_router::gossip::announced_parts(&[7; 40]).len(), 32);
/// ```
pub fn announced_parts(parts: &[u64]) -> Vec<u64> {
    parts[..parts.len().min(MAX_ANNOUNCED_PARTS)].to_vec()
}
