//! How an index node speaks with replicas and stores: a trait, so that another program can speak
//! another way, and the speech of this project's own replicas.
use fleet_common::{http_client, json};
pub use prefix_table::event::{CacheReport, EventBatch};
pub use prefix_table::index_node::OrderOutcome;
use serde::Serialize;
use std::time::Duration;

const LONG_POLL_MS: u64 = 200;
const POLL_TIMEOUT: Duration = Duration::from_millis(1500);
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// What is wanted of a replica's or a store's events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The replica's id.
    pub replica: String,
    /// Its IP and port.
    pub at: String,
    /// The incarnation known; empty when none is.
    pub incarnation: String,
    /// The number of the next event wanted.
    pub from: u64,
    /// Whether it is a prefix store rather than a replica.
    pub is_store: bool,
    /// An order is not yet seen done: the answer is awaited, and should not wait for events alone.
    pub ordered: bool,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRequest {
    /// The replica's id.
    pub replica: String,
    /// Its IP and port.
    pub at: String,
    /// The index node that gives it.
    pub owner: String,
    /// The fencing token of the node's assignment.
    pub fencing_token: u64,
    /// The model whose weights are meant.
    pub model: String,
    /// Whether the replica serves other models too.
    pub has_several_models: bool,
    /// The version of the weights to load.
    pub weights: String,
}

/// Speech with replicas and stores.
pub trait ReplicaApi: Send + Sync {
    /// Events of a replica or store since a place; may wait a while for some.
    fn poll(&self, ask: &PollRequest) -> Result<CacheReport, String>;

    /// Orders new weights under a fence, whoever holds the replica's assignment by then.
    fn order(&self, ask: &OrderRequest) -> Result<OrderOutcome, String> {
        self.order_while(ask, &|| true)
    }

    /// Orders new weights under a fence. `is_owner` is asked as late as possible, after any wait for a connection: nothing
    /// is sent once the assignment is gone.
    fn order_while(&self, ask: &OrderRequest, is_owner: &dyn Fn() -> bool) -> Result<OrderOutcome, String>;
}

/// Why an order is not sent.
pub const NO_LONGER_ASSIGNED: &str = "the replica is not assigned to this node any more";

/// The speech of this project's own replicas: JSON over HTTP.
pub struct HttpReplicaClient;

/// The body of an order, under the names that replicas read.
#[derive(Serialize)]
struct OrderBody<'a> {
    fence: u64,
    index: &'a str,
    order: &'a str,
    /// Only replicas with several models are told which is meant.
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    weights: &'a str,
}

impl ReplicaApi for HttpReplicaClient {
    fn poll(&self, ask: &PollRequest) -> Result<CacheReport, String> {
        let PollRequest { at, incarnation, from, .. } = ask;
        let url = format!("http://{at}/events?from={from}&incarnation={incarnation}&wait_ms={LONG_POLL_MS}");
        let text = http_client::json("GET", &url, "", POLL_TIMEOUT).map_err(|error| error.to_string())?;
        sonic_rs::from_str(&text).map_err(|e| format!("events of {at} cannot be read: {e}"))
    }

    fn order_while(&self, ask: &OrderRequest, is_owner: &dyn Fn() -> bool) -> Result<OrderOutcome, String> {
        // Connecting and sending are one step here; these replicas refuse an older fence themselves.
        if !is_owner() {
            return Err(NO_LONGER_ASSIGNED.into());
        }
        let body = json::to_text(&OrderBody {
            fence: ask.fencing_token,
            index: &ask.owner,
            order: "load_weights",
            model: ask.has_several_models.then_some(ask.model.as_str()),
            weights: &ask.weights,
        });
        let sent = http_client::json("POST", &format!("http://{}/orders", ask.at), &body, ORDER_TIMEOUT);
        sent.map(|_| OrderOutcome::Accepted).map_err(|error| error.to_string())
    }
}
