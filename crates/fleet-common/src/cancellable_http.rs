//! Asking over HTTP/1.1 on a stream that can be shut from outside at any moment, with a check before
//! every byte that leaves. `attohttpc` hands its socket to nobody, so this goes through its nearest kin
//! `ureq`, whose connector and transport are ours.
use crate::http_client::{Headers, StreamedResponse};
use crate::{PeerError, Step};
use std::fmt;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use ureq::Error;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport};

const CONNECT_WAIT: Duration = Duration::from_millis(800);
/// A peer that takes nothing for so long is given up.
const WRITE_WAIT: Duration = Duration::from_secs(8);

/// Asked before each byte that leaves; `false` lets none go.
pub type Gate = Arc<dyn Fn() -> bool + Send + Sync>;

#[derive(Default)]
struct Held {
    stream: Mutex<Option<TcpStream>>,
    shut: AtomicBool,
    begun: AtomicBool,
}

/// Shuts a stream at once, whoever reads from it or writes to it.
#[derive(Clone, Default)]
pub struct CancelHandle(Arc<Held>);

impl fmt::Debug for CancelHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Shutter(shut: {})", self.0.shut.load(Ordering::Acquire))
    }
}

impl CancelHandle {
    /// Shuts the stream, now or as soon as it is there.
    /// ```
    /// let handle = fleet_common::cancellable_http::CancelHandle::default();
    /// handle.cancel();
    /// assert!(!handle.started());
    /// ```
    pub fn cancel(&self) {
        self.0.shut.store(true, Ordering::Release);
        let held = self.0.stream.lock().unwrap_or_else(|held| held.into_inner()).take();
        held.into_iter().for_each(reset);
    }

    /// Whether any byte may have left.
    /// ```
    /// assert!(!fleet_common::cancellable_http::CancelHandle::default().started());
    /// ```
    pub fn started(&self) -> bool {
        self.0.begun.load(Ordering::Acquire)
    }

    fn hold(&self, stream: &TcpStream) -> std::io::Result<()> {
        *self.0.stream.lock().unwrap_or_else(|held| held.into_inner()) = Some(stream.try_clone()?);
        if self.0.shut.load(Ordering::Acquire) {
            // It was told to shut before the stream was there.
            self.cancel();
        }
        Ok(())
    }
}

/// Ends a stream so that nobody can take it for one that only sends no more: whoever reads is woken,
/// and the other side gets a reset when the last handle goes.
fn reset(stream: TcpStream) {
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let size = std::mem::size_of::<libc::linger>() as libc::socklen_t;
    unsafe {
        libc::setsockopt(stream.as_raw_fd(), libc::SOL_SOCKET, libc::SO_LINGER, (&raw const linger).cast(), size)
    };
    let _ = stream.shutdown(Shutdown::Both);
}

struct Way {
    to: SocketAddr,
    gate: Gate,
    shutter: CancelHandle,
}

impl fmt::Debug for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Way({})", self.to)
    }
}

impl Way {
    fn pass(&self) -> Result<(), Error> {
        match !self.shutter.0.shut.load(Ordering::Acquire) && (self.gate)() {
            true => Ok(()),
            false => Err(Error::Io(std::io::Error::other("stopped before it was sent whole"))),
        }
    }
}

#[derive(Debug)]
struct Opening(Arc<Way>);

#[derive(Debug)]
struct Gated {
    way: Arc<Way>,
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl Connector<()> for Opening {
    type Out = Gated;

    fn connect(&self, details: &ConnectionDetails, _: Option<()>) -> Result<Option<Gated>, Error> {
        self.0.pass()?;
        let stream = crate::socket::connect(self.0.to, CONNECT_WAIT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        self.0.shutter.hold(&stream)?;
        let buffers = LazyBuffers::new(details.config.input_buffer_size(), details.config.output_buffer_size());
        Ok(Some(Gated { way: self.0.clone(), stream, buffers }))
    }
}

impl Transport for Gated {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _: NextTimeout) -> Result<(), Error> {
        self.way.pass()?;
        self.way.shutter.0.begun.store(true, Ordering::Release);
        Ok(self.stream.write_all(&self.buffers.output()[..amount])?)
    }

    fn await_input(&mut self, _: NextTimeout) -> Result<bool, Error> {
        let got = loop {
            match self.stream.read(self.buffers.input_append_buf()) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                got => break got?,
            }
        };
        self.buffers.input_appended(got);
        Ok(got > 0)
    }

    fn is_open(&mut self) -> bool {
        false
    }
}

/// Sends a request and returns once the head of the answer is in. Waiting has no limit of its own:
/// whoever watches shuts the stream. An error at `Step::Connect` means that no byte has left.
/// ```
/// use fleet_common::cancellable_http::{CancelHandle, open};
/// let closed = open("POST", "http://127.0.0.1:1/", &[], b"x", std::sync::Arc::new(|| false), &CancelHandle::default());
/// assert_eq!(closed.err().unwrap().step, fleet_common::Step::Connect);
/// ```
pub fn open(
    method: &str,
    url: &str,
    headers: Headers,
    body: &[u8],
    gate: Gate,
    shutter: &CancelHandle,
) -> Result<StreamedResponse<impl Read + Send + use<>>, PeerError> {
    let fault = |e: String| {
        let step = if shutter.started() { Step::Receive } else { Step::Connect };
        PeerError::at(step, url, e)
    };
    let authority = url.strip_prefix("http://").unwrap_or(url).split(['/', '?']).next().unwrap_or_default();
    let to = authority.parse().map_err(|_| fault(format!("{authority} is not an IP and port")))?;
    let way = Arc::new(Way { to, gate, shutter: shutter.clone() });
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .allow_non_standard_methods(true)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .build();
    let agent = ureq::Agent::with_parts(config, Opening(way), DefaultResolver::default());
    let mut request = ureq::http::Request::builder().method(method).uri(url).header("connection", "close");
    for (name, value) in headers {
        request = request.header(*name, value.as_str());
    }
    let answer = match body.is_empty() {
        true => request.body(()).map_err(|e| fault(e.to_string())).map(|r| agent.run(r))?,
        false => request.body(body).map_err(|e| fault(e.to_string())).map(|r| agent.run(r))?,
    };
    let (head, body) = answer.map_err(|e| fault(e.to_string()))?.into_parts();
    let words = |v: &ureq::http::HeaderValue| String::from_utf8_lossy(v.as_bytes()).into_owned();
    let headers = head.headers.iter().map(|(n, v)| (n.as_str().to_string(), words(v))).collect();
    Ok(StreamedResponse { status: head.status.as_u16(), headers, body: body.into_reader() })
}
