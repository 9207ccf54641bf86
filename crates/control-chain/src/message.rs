//! What cores say to each other.
use crate::view::{Accepted, CoreAt, View};
use fleet_common::{Bytes, List};

fleet_common::messages! {
    /// Whether a replica can do its part in the chain.
    pub enum Condition {
        0 = Fit,
        /// It was told to stop.
        1 = Leaving,
        /// Its disk fails or stalls.
        2 = DiskTrouble,
        /// It hears no majority of the voters, though others may hear it.
        3 = Isolated,
    }

    /// A sign of life with how far its sender is; it doubles as an acknowledgement.
    pub struct Beat { pub view: u64, pub seq: u64, pub committed: u64, pub full: u8, pub condition: Condition }
    pub struct Prepare { pub n: u64, pub ballot: u64 }
    pub struct Promise { pub n: u64, pub ballot: u64, pub accepted: List<Accepted> }
    pub struct Accept { pub n: u64, pub ballot: u64, pub view: View }
    pub struct Vote { pub n: u64, pub ballot: u64 }
    pub struct Append { pub view: u64, pub first: u64, pub entries: List<Bytes> }
    pub struct Capture { pub view: u64, pub seq: u64, pub state: Bytes }
    pub struct Ack { pub view: u64, pub seq: u64 }
    pub struct Term { pub view: u64, pub sent_us: u64 }

    pub enum Chain {
        1 = Beat(Beat),
        2 = ViewIs(View),
        3 = Prepare(Prepare),
        4 = Promise(Promise),
        5 = Accept(Accept),
        6 = Vote(Vote),
        7 = Append(Append),
        8 = Capture(Capture),
        9 = Ack(Ack),
        10 = TermAsk(Term),
        11 = TermGrant(Term),
        12 = Command(Bytes),
        /// A core that the view does not list, or that hears no majority, says where it is.
        13 = Hello(CoreAt),
    }

    /// A message with its sender's id and incarnation.
    pub struct Sent { pub from: u32, pub incarnation: u64, pub message: Chain }
}

impl Chain {
    /// About how many bytes this takes on the wire.
    /// ```
    /// use control_chain::message::Chain;
    /// assert!(Chain::Command(vec![0; 5000].into()).bytes() > 5000);
    /// ```
    pub fn bytes(&self) -> usize {
        const SMALL: usize = 512;
        SMALL
            + match self {
                Chain::Append(append) => append.entries.items().iter().map(|e| e.as_slice().len() + 4).sum(),
                Chain::Capture(capture) => capture.state.as_slice().len(),
                Chain::Command(bytes) => bytes.as_slice().len(),
                _ => 0,
            }
    }
}
