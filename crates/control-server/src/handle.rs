//! A handle to a running control replica: its event queue, and requests to it or, through its redirects, to the others.
use chain_replication::listing::ListingResult;
use chain_replication::message::PeerMessage;
use chain_replication::step::RecoveredDisk;
use chain_replication::write_queue::WriteId;
use crossbeam::channel::{Sender, bounded};
use fleet_common::frame::Client;
use fleet_common::rpc::{Request, Response};
use fleet_common::{PeerError, Step};
use std::time::{Duration, Instant};

const ANSWER_WAIT: Duration = Duration::from_secs(4);
/// A replica that may answer is looked for no longer than this.
const SEARCH_WAIT: Duration = Duration::from_millis(400);
/// The pause between two looks for one.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(60);

pub(crate) enum Event {
    Received(PeerMessage),
    /// The disk was opened, with the number of that opening: a replica starts from what was recovered.
    Opened(u64, RecoveredDisk),
    /// Of that opening, the writes up to this one are synced, or not.
    Synced(u64, WriteId, bool),
    Requested(Request, Sender<Response>),
    ListingCompleted(u64, ListingResult),
    Leave,
}

/// A handle to a running control replica. Clones refer to the same one.
#[derive(Clone)]
pub struct ReplicaHandle {
    pub(crate) inbox: Sender<Event>,
}

impl ReplicaHandle {
    /// Passes on a message of another member.
    /// ```no_run
    /// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
    /// use chain_replication::{message::{Message, PeerMessage}, view::View};
    /// driver.receive(PeerMessage { from: 2, incarnation: 1, message: Message::NewView(View::outside(vec![])) });
    /// # }
    /// ```
    pub fn receive(&self, sent: PeerMessage) {
        let _ = self.inbox.send(Event::Received(sent));
    }

    /// Passes on the platform's listing that was requested under this number.
    /// ```no_run
    /// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
    /// use chain_replication::listing::ListingError;
    /// driver.complete_listing(1, Err(ListingError::Unavailable { reason: "the platform is down".into() }));
    /// # }
    /// ```
    pub fn complete_listing(&self, number: u64, listed: ListingResult) {
        let _ = self.inbox.send(Event::ListingCompleted(number, listed));
    }

    /// Has this replica leave the chain.
    /// ```no_run
    /// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
    /// driver.leave();
    /// # }
    /// ```
    pub fn leave(&self) {
        let _ = self.inbox.send(Event::Leave);
    }

    /// This replica's role in the view that it knows: head, chain N, tail, spare or outside.
    /// ```no_run
    /// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
    /// assert_eq!(driver.role().as_deref(), Some("spare"));
    /// # }
    /// ```
    pub fn role(&self) -> Option<String> {
        use sonic_rs::JsonValueTrait;
        match self.request(Request::Query("self".into())) {
            Response::Json(text) => Some(sonic_rs::get(text.as_slice(), ["place"]).ok()?.as_str()?.to_string()),
            _ => None,
        }
    }

    /// Whether this replica is in the chain of the view that it knows.
    /// ```no_run
    /// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
    /// assert!(driver.in_chain());
    /// # }
    /// ```
    pub fn in_chain(&self) -> bool {
        self.role().is_some_and(|place| place != "spare" && place != "outside")
    }

    /// Sends a request to this replica. `Redirect` names the member that would answer, if it is known.
    /// ```no_run
    /// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
    /// use fleet_common::rpc::Request;
    /// println!("{:?}", driver.request(Request::Query("self".into())));
    /// # }
    /// ```
    pub fn request(&self, ask: Request) -> Response {
        self.request_within(ask, ANSWER_WAIT)
    }

    fn request_within(&self, ask: Request, wait: Duration) -> Response {
        let (sender, receiver) = bounded(1);
        let _ = self.inbox.send(Event::Requested(ask, sender));
        receiver.recv_timeout(wait).unwrap_or_else(|_| Response::Rejected("unknown".into()))
    }

    /// Sends a request to this replica and follows redirects. Where no member is found that may answer, the error
    /// comes after at most 400 ms; one that was found is waited for until `wait` is over.
    /// ```no_run
    /// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
    /// use fleet_common::rpc::Request;
    /// println!("{:?}", driver.request_any(Request::Query("holds".into()), std::time::Duration::from_secs(5)));
    /// # }
    /// ```
    pub fn request_any(&self, ask: Request, wait: Duration) -> Result<Response, PeerError> {
        let begun = Instant::now();
        let left = || wait.saturating_sub(begun.elapsed());
        let mut answer = self.request_within(ask.clone(), wait);
        loop {
            let next = match &answer {
                Response::Redirect(at) => at.as_str().parse().ok(),
                Response::Unavailable(_) => None,
                _ => return Ok(answer),
            };
            if left().is_zero() || (next.is_none() && begun.elapsed() >= SEARCH_WAIT) {
                return Err(PeerError::at(Step::Query, "cores", "no control replica holds the lease to answer"));
            }
            answer = match next.map(|to| Client::new(to, left().min(ANSWER_WAIT)).call(&ask)) {
                Some(Ok(answer)) => answer,
                Some(Err(error)) if error.step != Step::Connect => return Err(error),
                Some(Err(_)) | None => {
                    std::thread::sleep(SEARCH_RETRY_DELAY.min(left()));
                    self.request_within(ask.clone(), left())
                }
            };
        }
    }
}
