//! Frames between our own processes: length, checksum, then a message packed by `deku`.
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::threads::{self, STACK};
use crate::{PeerError, Step, hash, ring, socket};
use deku::{DekuContainerRead, DekuContainerWrite};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

const FRAME_MAX: usize = 64 << 20;
/// A frame and the message that is read from it are in memory at the same time.
const COPIES: usize = 2;
/// What each served stream may take for a frame in any case, in bytes, so that small frames do not wait for large ones.
const STREAM_ALLOWANCE_BYTES: usize = 16 << 10;
/// How much of a frame is read at once, in bytes.
const READ_BYTES: usize = 64 << 10;
const STREAMS_MAX: usize = 512;
const WRITE_WAIT: Duration = Duration::from_secs(3);
/// A peer that does not accept a connection for so long is not reached.
const CONNECT_WAIT: Duration = Duration::from_millis(500);
/// After an error a listener accepts again so much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Packs a message into a whole frame.
/// ```
/// let frame = fleet_common::frame::pack(&fleet_common::Text::from("hi")).unwrap();
/// assert_eq!(frame.len(), 8 + 4 + 2);
/// ```
pub fn pack<M: DekuContainerWrite>(message: &M) -> Result<Vec<u8>, PeerError> {
    let body = message.to_bytes().map_err(|e| PeerError::at(Step::Decode, "self", e))?;
    let mut frame = Vec::with_capacity(body.len() + 8);
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&(hash::bytes(3, &body) as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Reads the message of a frame's body; bytes left over are an error.
/// ```
/// use fleet_common::{Text, frame};
/// let packed = frame::pack(&Text::from("hi")).unwrap();
/// assert_eq!(frame::unpack::<Text>(&packed[8..], "x").unwrap().as_str(), "hi");
/// assert!(frame::unpack::<Text>(&[9, 0, 0, 0, 1], "x").is_err());
/// ```
pub fn unpack<M: for<'a> DekuContainerRead<'a>>(body: &[u8], peer: &str) -> Result<M, PeerError> {
    match M::from_bytes((body, 0)) {
        Ok((([], _), message)) => Ok(message),
        Ok(_) => Err(PeerError::at(Step::Decode, peer, "bytes left over in a frame")),
        Err(e) => Err(PeerError::at(Step::Decode, peer, e)),
    }
}

/// Writes one frame.
/// ```
/// let mut out = Vec::new();
/// fleet_common::frame::write(&mut out, &fleet_common::Text::from("a"), "core-1").unwrap();
/// assert_eq!(out.len(), 13);
/// ```
pub fn write<M: DekuContainerWrite>(out: &mut impl Write, message: &M, peer: &str) -> Result<(), PeerError> {
    let frame = pack(message)?;
    out.write_all(&frame).and_then(|_| out.flush()).map_err(|e| PeerError::at(Step::Send, peer, e))
}

static MEMORY: OnceLock<Arc<MemoryBudget>> = OnceLock::new();

/// Bounds the memory that the frames of all served streams of this process take together, in bytes. What exceeds it ends its
/// stream, which its other side opens again. To be called before the first stream is served; later calls change nothing.
/// ```
/// fleet_common::frame::set_memory(32 << 20);
/// ```
pub fn set_memory(bytes: usize) {
    let _ = MEMORY.set(MemoryBudget::with_allowance(bytes, STREAM_ALLOWANCE_BYTES));
}

/// The memory that frames of served streams share; as good as unbounded where nobody bounded it.
fn memory() -> &'static Arc<MemoryBudget> {
    MEMORY.get_or_init(|| MemoryBudget::new(usize::MAX))
}

/// Reads the body of a frame, in memory that is reserved as it comes: what is announced and not sent takes none.
fn read_body(
    input: &mut impl Read,
    length: usize,
    peer: &str,
    reservation: &mut Reservation,
) -> Result<Vec<u8>, PeerError> {
    let mut body = Vec::new();
    while body.len() < length {
        let wanted = READ_BYTES.min(length - body.len());
        // Doubling, as a vector grows, takes the old and the new room at once.
        if !reservation.grow_to((body.len() + wanted) * COPIES) {
            return Err(PeerError::at(Step::Receive, peer, format!("no memory for a frame of {length} bytes")));
        }
        let read = input.by_ref().take(wanted as u64).read_to_end(&mut body);
        let count = read.map_err(|error| PeerError::at(Step::Receive, peer, error))?;
        if count == 0 {
            break;
        }
    }
    Ok(body)
}

/// Reads one frame; `None` when the stream ended between frames.
/// ```
/// use fleet_common::{Text, frame};
/// let packed = frame::pack(&Text::from("a")).unwrap();
/// assert_eq!(frame::read::<Text>(&mut &packed[..], "x").unwrap().unwrap().as_str(), "a");
/// assert!(frame::read::<Text>(&mut &packed[..9], "x").is_err());
/// ```
pub fn read<M: for<'a> DekuContainerRead<'a>>(input: &mut impl Read, peer: &str) -> Result<Option<M>, PeerError> {
    read_within(&MemoryBudget::new(usize::MAX), input, peer)
}

/// Reads one frame within a bound on memory.
fn read_within<M: for<'a> DekuContainerRead<'a>>(
    memory: &Arc<MemoryBudget>,
    input: &mut impl Read,
    peer: &str,
) -> Result<Option<M>, PeerError> {
    let fault = |e: std::io::Error| PeerError::at(Step::Receive, peer, e);
    let mut head = [0u8; 8];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => {
                return Err(PeerError::at(Step::Receive, peer, "stream ended inside a frame"));
            }
            Ok(n) => got += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(fault(e)),
        }
    }
    let length = u32::from_le_bytes(head[..4].try_into().unwrap_or_default()) as usize;
    let sum = u32::from_le_bytes(head[4..].try_into().unwrap_or_default());
    if length > FRAME_MAX {
        return Err(PeerError::at(Step::Decode, peer, format!("frame of {length} bytes")));
    }
    let mut reservation = Reservation::new(memory);
    let body = read_body(input, length, peer, &mut reservation)?;
    if body.len() != length || hash::bytes(3, &body) as u32 != sum {
        return Err(PeerError::at(Step::Decode, peer, "frame cut or damaged"));
    }
    unpack(&body, peer).map(Some)
}

/// Opens a stream to a peer with bounds on connecting, reading and writing. A client that waits less than
/// the bound on connecting is not held up longer than it waits.
/// ```
/// let gone = fleet_common::frame::connect("127.0.0.1:1".parse().unwrap(), std::time::Duration::from_millis(50));
/// assert!(gone.is_err());
/// ```
pub fn connect(to: SocketAddr, read_wait: Duration) -> Result<TcpStream, PeerError> {
    let fault = |e| PeerError::at(Step::Connect, to, e);
    let stream = socket::connect(to, CONNECT_WAIT.min(read_wait)).map_err(fault)?;
    stream.set_nodelay(true).map_err(fault)?;
    stream.set_read_timeout(Some(read_wait)).map_err(fault)?;
    stream.set_write_timeout(Some(WRITE_WAIT)).map_err(fault)?;
    Ok(stream)
}

/// A kept stream on which asks are answered one at a time; reopened after any error.
pub struct Client {
    to: SocketAddr,
    wait: Duration,
    stream: Option<TcpStream>,
}

impl Client {
    /// Prepares a client; nothing is opened yet.
    /// ```
    /// let client = fleet_common::frame::Client::new("127.0.0.1:1".parse().unwrap(), std::time::Duration::from_secs(1));
    /// assert_eq!(client.peer().port(), 1);
    /// ```
    pub fn new(to: SocketAddr, wait: Duration) -> Self {
        Client { to, wait, stream: None }
    }

    /// Whom this client asks.
    /// ```
    /// # use fleet_common::frame::Client;
    /// # let client = Client::new("127.0.0.1:7".parse().unwrap(), std::time::Duration::from_secs(1));
    /// assert_eq!(client.peer().port(), 7);
    /// ```
    pub fn peer(&self) -> SocketAddr {
        self.to
    }

    /// Sends an ask and waits for its answer.
    /// ```
    /// use fleet_common::{Text, frame::Client};
    /// let mut client = Client::new("127.0.0.1:1".parse().unwrap(), std::time::Duration::from_millis(50));
    /// assert!(client.call::<Text, Text>(&Text::from("anyone?")).is_err());
    /// ```
    pub fn call<A: DekuContainerWrite, B: for<'a> DekuContainerRead<'a>>(&mut self, ask: &A) -> Result<B, PeerError> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(self.to, self.wait)?,
        };
        let name = self.to.to_string();
        write(&mut stream, ask, &name)?;
        let answer = read(&mut stream, &name)?;
        self.stream = Some(stream);
        answer.ok_or_else(|| PeerError::at(Step::Receive, self.to, "stream ended before an answer"))
    }
}

/// Serves frames: each stream has a thread that reads an ask and writes what `answer` gives.
/// A broken frame closes its stream and is noted; the process goes on.
/// ```
/// use fleet_common::{Text, frame};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let at = listener.local_addr().unwrap();
/// frame::serve(listener, |ask: Text| Some(ask));
/// let mut client = frame::Client::new(at, std::time::Duration::from_secs(5));
/// assert_eq!(client.call::<Text, Text>(&Text::from("echo")).unwrap().as_str(), "echo");
/// ```
pub fn serve<A, B>(listener: TcpListener, answer: impl Fn(A) -> Option<B> + Send + Sync + 'static)
where
    A: for<'a> DekuContainerRead<'a> + 'static,
    B: DekuContainerWrite + 'static,
{
    let answer = Arc::new(answer);
    threads::start_restarting("frame listener", STACK, move || accept(&listener, &answer));
}

/// One of the streams that a listener may serve at once, until it is dropped, by a panic too.
struct StreamPlace(Arc<AtomicUsize>);

impl StreamPlace {
    fn take(open: &Arc<AtomicUsize>) -> Option<StreamPlace> {
        let place = StreamPlace(open.clone());
        (open.fetch_add(1, Ordering::Relaxed) < STREAMS_MAX).then_some(place)
    }
}

impl Drop for StreamPlace {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn accept<A, B>(listener: &TcpListener, answer: &Arc<impl Fn(A) -> Option<B> + Send + Sync + 'static>)
where
    A: for<'a> DekuContainerRead<'a> + 'static,
    B: DekuContainerWrite + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            // Out of descriptors: give those that hold them time to end.
            std::thread::sleep(ACCEPT_AGAIN);
            continue;
        };
        let Some(place) = StreamPlace::take(&open) else { continue };
        let answer = answer.clone();
        let served = threads::spawn_named("frame stream", STACK, move || {
            let _place = place;
            serve_stream(stream, &*answer);
        });
        // Without a thread the stream is closed, and its other side opens another one later.
        if let Err(error) = served {
            ring::info(&error.to_string());
        }
    }
}

fn serve_stream<A, B>(mut stream: TcpStream, answer: &impl Fn(A) -> Option<B>)
where
    A: for<'a> DekuContainerRead<'a>,
    B: DekuContainerWrite,
{
    let from = stream.peer_addr().map(|a| a.to_string()).unwrap_or_default();
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_WAIT));
    loop {
        match read_within::<A>(memory(), &mut stream, &from) {
            Ok(Some(ask)) => {
                if let Some(reply) = answer(ask)
                    && write(&mut stream, &reply, &from).is_err()
                {
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => {
                match error.step {
                    Step::Decode => ring::error(&error),
                    _ => ring::info(&error.to_string()),
                }
                return;
            }
        }
    }
}
