//! A request on its way through the phases, and how it ends.
use crate::dialect::RequestInfo;
use crate::retry_policy::AttemptHistory;
use crate::shutdown::ShutdownCoordinator;
use control_state::route_config::Route;
use fleet_common::hash;
use http_streams::head::RequestHead;
use std::time::{Duration, Instant};

/// `Retry-After` of a router that holds no lease.
const NO_LEASE_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The time that a request has until its route is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request and what the phases have found out about it.
pub struct RequestContext {
    /// The head as the client sent it.
    pub head: RequestHead,
    /// The body as the client sent it.
    pub body: Vec<u8>,
    /// When its first bytes arrived.
    pub started_at: Instant,
    /// When the client stops waiting, or the route's time-out ends.
    pub deadline: Instant,
    /// What the head asks for.
    pub info: RequestInfo,
    /// The version of the configuration by which it was judged last; none where it was not judged yet.
    pub(crate) config_version: Option<u64>,
    /// The route that it takes.
    pub route: Route,
    /// The service that its replicas belong to.
    pub service: String,
    /// The fingerprint of its API key, where it has a valid one.
    pub key_print: Option<String>,
    /// The tenant that the key belongs to.
    pub tenant: Option<String>,
    /// Whose cached prompts it may share: those of its tenant alone, or of all tenants that share.
    pub cache_scope: String,
    /// 0 is the most urgent, 9 the least.
    pub urgency: Option<u8>,
    /// The replicas that attempts went to, by id.
    pub attempted_replicas: Vec<String>,
    /// The attempts so far.
    pub attempts: AttemptHistory,
    /// Whether the client's connection ends with this response.
    pub close_connection: bool,
    /// Whether a replica's response has been forwarded completely.
    pub response_complete: bool,
}

impl RequestContext {
    /// A request as it arrived.
    /// ```
    /// let context = stream_router::request_context::RequestContext::new(Default::default(), Vec::new());
    /// assert!(context.tenant.is_none());
    /// ```
    pub fn new(head: RequestHead, body: Vec<u8>) -> Self {
        let now = Instant::now();
        let close = head.is_http_1_0 || head.headers.contains_token("connection", "close");
        RequestContext {
            head,
            body,
            started_at: now,
            deadline: now + DEFAULT_TIMEOUT,
            info: RequestInfo::default(),
            config_version: None,
            route: Route::default(),
            service: String::new(),
            key_print: None,
            tenant: None,
            cache_scope: String::new(),
            urgency: None,
            attempted_replicas: Vec::new(),
            attempts: AttemptHistory::new(false, false, 1),
            close_connection: close,
            response_complete: false,
        }
    }

    /// A number that identifies its route.
    /// ```
    /// let context = stream_router::request_context::RequestContext::new(Default::default(), Vec::new());
    /// assert_eq!(context.route_key(), context.route_key());
    /// ```
    pub fn route_key(&self) -> u64 {
        hash::bytes(hash::bytes(0, self.route.host.as_bytes()), self.route.prefix.as_bytes())
    }

    /// Whether the client's connection ends with the response that is written now. Once the router drains, it does,
    /// also for requests that were accepted before.
    pub fn closes_connection(&mut self, stopping: &ShutdownCoordinator) -> bool {
        self.close_connection |= stopping.is_draining();
        self.close_connection
    }
}

/// A response that the router makes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalReply {
    /// The status code.
    pub status: u16,
    /// The text of the error in the body.
    pub message: String,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// An error response.
    /// ```
    /// assert_eq!(stream_router::request_context::LocalReply::new(404, "no route").status, 404);
    /// ```
    pub fn new(status: u16, what: impl ToString) -> Self {
        LocalReply { status, message: what.to_string(), retry_after: None }
    }

    /// A 503: the request has not run, and the client may send it again after a while.
    /// ```
    /// use std::time::Duration;
    /// assert!(stream_router::request_context::LocalReply::unavailable("busy", Duration::from_millis(100)).retry_after.is_some());
    /// ```
    pub fn unavailable(what: impl ToString, after: Duration) -> Self {
        LocalReply { retry_after: Some(after), ..LocalReply::new(503, what) }
    }

    /// The reply of a router that holds no lease.
    pub(crate) fn no_lease() -> Self {
        LocalReply::unavailable("this node holds no lease", NO_LEASE_RETRY_AFTER)
    }

    /// The reply to a request whose API key is not valid.
    pub(crate) fn unknown_key() -> Self {
        LocalReply::new(401, "unknown key")
    }

    /// Its headers, and its body as JSON.
    /// ```
    /// let (headers, body) = stream_router::request_context::LocalReply::new(404, "no route").headers_and_body();
    /// assert!(headers.len() == 1 && body.contains("no route"));
    /// ```
    pub fn headers_and_body(&self) -> (Vec<(String, String)>, String) {
        let mut headers = vec![("Content-Type".to_string(), "application/json".to_string())];
        if let Some(after) = self.retry_after {
            headers.push(("Retry-After".into(), format!("{:.2}", after.as_secs_f64())));
        }
        (headers, format!("{{\"error\":{}}}", fleet_common::json::quote(&self.message)))
    }

    /// The reason phrase of its status.
    /// ```
    /// assert_eq!(stream_router::request_context::LocalReply::new(503, "").reason(), "Service Unavailable");
    /// ```
    pub fn reason(&self) -> &'static str {
        match self.status {
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Error",
        }
    }
}

/// How a request ends.
pub enum RequestEnd {
    /// With a response that the router makes itself.
    Reply(LocalReply),
    /// The response was forwarded, or its connection is to be closed.
    Forwarded,
}
