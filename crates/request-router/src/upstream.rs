//! The response of a replica or the app service, read by a thread of its own and delivered event by event. Dropping
//! an [`Upstream`] closes its connection at once, not at the next event.
use crossbeam::channel::{Receiver, Sender, bounded};
use fleet_common::cancellable_http::{self, CancelHandle, Gate};
use fleet_common::http_client::StreamedResponse;
use fleet_common::threads::{self, STACK};
use fleet_common::{PeerError, Step};
use std::io::Read;

/// Limit on a response that is not a stream of events, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// How much is read at once, in bytes.
const READ_BYTES: usize = 16 << 10;
/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// How many events may wait for the client.
const EVENTS_BUFFERED: usize = 64;

/// A complete response that is not a stream of events.
pub struct BufferedResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// The first value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// What arrives, in order.
pub enum UpstreamEvent {
    /// A complete response that is not a stream of events.
    Response(BufferedResponse),
    /// A complete event of a stream.
    Event(Vec<u8>),
    /// The response is complete.
    Complete,
    /// The response cannot be read to its end.
    Broken(PeerError),
}

/// A request to a replica or the app service.
pub struct UpstreamRequest {
    pub method: String,
    pub url: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    /// Whether a response with status 200 is a stream of events.
    pub events: bool,
}

/// An open exchange. Dropping it closes its connection.
pub struct Upstream {
    pub events: Receiver<UpstreamEvent>,
    shutter: CancelHandle,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.shutter.cancel();
    }
}

/// Sends a request from a thread of its own. Nothing is sent while the gate is closed.
pub fn start(request: UpstreamRequest, gate: Gate) -> Upstream {
    let (sender, events) = bounded(EVENTS_BUFFERED);
    let shutter = CancelHandle::default();
    let connection = shutter.clone();
    let (url, refused) = (request.url.clone(), sender.clone());
    let started = threads::spawn_named("upstream", STACK, move || {
        let opened =
            cancellable_http::open(&request.method, &request.url, &request.headers, &request.body, gate, &connection);
        let last = match opened {
            Err(error) => UpstreamEvent::Broken(error),
            Ok(opened) if request.events && opened.status == 200 => read_events(opened.body, &request.url, &sender),
            Ok(opened) => read_complete(opened, &request.url, &sender),
        };
        let _ = sender.send(last);
    });
    if let Err(error) = started {
        // Nothing was sent, as where the peer could not be reached.
        let _ = refused.send(UpstreamEvent::Broken(PeerError::at(Step::Connect, url, error)));
    }
    Upstream { events, shutter }
}

fn read_complete(opened: StreamedResponse<impl Read>, url: &str, sender: &Sender<UpstreamEvent>) -> UpstreamEvent {
    let mut body = Vec::new();
    match opened.body.take(MAX_BODY_BYTES + 1).read_to_end(&mut body) {
        Ok(_) if body.len() as u64 <= MAX_BODY_BYTES => {
            let response = BufferedResponse { status: opened.status, headers: opened.headers, body };
            let _ = sender.send(UpstreamEvent::Response(response));
            UpstreamEvent::Complete
        }
        Ok(_) => UpstreamEvent::Broken(PeerError::at(Step::Forward, url, "an answer over 64 MiB")),
        Err(e) => UpstreamEvent::Broken(PeerError::at(Step::Forward, url, e)),
    }
}

fn read_events(mut body: impl Read, url: &str, sender: &Sender<UpstreamEvent>) -> UpstreamEvent {
    let mut pending: Vec<u8> = Vec::new();
    let mut buffer = [0u8; READ_BYTES];
    loop {
        match body.read(&mut buffer) {
            Ok(0) if pending.is_empty() => return UpstreamEvent::Complete,
            Ok(0) => {
                return UpstreamEvent::Broken(PeerError::at(Step::Forward, url, "the stream ended inside an event"));
            }
            Ok(count) => {
                pending.extend_from_slice(&buffer[..count]);
                while let Some(event) = take_event(&mut pending) {
                    if sender.send(UpstreamEvent::Event(event)).is_err() {
                        return UpstreamEvent::Complete;
                    }
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return UpstreamEvent::Broken(PeerError::at(Step::Forward, url, e)),
        }
    }
}

/// Takes the first event from the front of a buffer, with the empty line that ends it.
fn take_event(pending: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = pending.windows(EVENT_END.len()).position(|bytes| bytes == EVENT_END)? + EVENT_END.len();
    let rest = pending.split_off(end);
    Some(std::mem::replace(pending, rest))
}
