//! The boundary between a router and the header names of its clients and replicas.
use http_streams::head::{RequestHead, ResponseHead};
use std::time::Duration;

/// Tokens of a request, by the client's estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Limit on the tokens of the response.
    pub max_output: u64,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPart {
    /// The id by which other requests name the same part.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a client asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The request's own id, which its response repeats.
    pub id: String,
    /// How long the client will wait for the response.
    pub time_left: Option<Duration>,
    /// The API key.
    pub key: Option<String>,
    /// The model; empty where the request names none.
    pub model: String,
    /// How long it is, and how long its response may become.
    pub tokens: TokenCounts,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
    /// The id of the last event that the client has of this stream.
    pub last_event_id: Option<String>,
}

/// What a replica is told besides the client's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardInfo<'a> {
    /// The time that the replica has to answer.
    pub time_left: Duration,
    /// The id of the replica that is meant.
    pub replica: &'a str,
    /// The tenant that the API key belongs to.
    pub tenant: Option<&'a str>,
    /// The salt of the prefix cache's keys.
    pub cache_salt: Option<&'a str>,
    /// The address from which cached parts can be transferred.
    pub cache_source: Option<&'a str>,
    /// The address of the store that is to get the parts.
    pub cache_target: Option<&'a str>,
    /// 0 is the most urgent, 9 the least.
    pub urgency: Option<u8>,
    /// The version of the model's weights that the replica is expected to run.
    pub weights: Option<&'a str>,
    /// The id of the event after which the stream is resumed.
    pub last_event_id: Option<&'a str>,
}

/// A replica's load by its own report, in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests that it works on.
    pub running: u64,
    /// Requests in its queue.
    pub waiting: u64,
    /// How many requests it runs at once.
    pub slots: u64,
}

/// What a replica says in the head of its response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether it says that the request did not run there and never will.
    pub not_executed: bool,
    /// Whether it is another replica, or runs other weights, than was asked for.
    pub misdirected: bool,
    /// Its load.
    pub load: Option<ReplicaLoad>,
    /// The version of the weights that it runs for the model.
    pub weights: Option<String>,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Whether it carries the seal of a replica's response.
    pub sealed: bool,
}

/// Translates between the router's terms and the headers of clients and replicas. It decides nothing.
pub trait Dialect: Send + Sync {
    /// Reads a request's head. The error is the text of the 400 that the client gets.
    fn parse_request(&self, head: &RequestHead) -> Result<RequestInfo, String>;

    /// Writes the head for a replica, with the empty line: the client's headers, less those that are not the client's
    /// to set. `body` is the length of the body in bytes.
    fn write_request(&self, head: &RequestHead, body: usize, info: &ForwardInfo) -> Vec<u8>;

    /// Reads the head of a replica's response to a request for this model.
    fn parse_response(&self, head: &ResponseHead, model: &str) -> ResponseInfo;

    /// The version of the weights that an event starts with, where they changed within a stream.
    fn weights_of_event(&self, event: &[u8], model: &str) -> Option<String>;
}
