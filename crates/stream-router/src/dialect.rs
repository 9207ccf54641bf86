//! What callers and replicas say, whatever the words they use for it.
use http_streams::head::{AnswerHead, RequestHead};
use std::time::Duration;

/// What a caller asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The request's own id: repeated in its answer.
    pub id: String,
    /// For how long the caller will wait.
    pub left: Option<Duration>,
    pub key: Option<String>,
    pub model: String,
    /// Tokens of the prompt, and the most that may come out.
    pub tokens: (u64, u64),
    /// The prompt's parts: ids and tokens, in order.
    pub parts: Vec<(String, u64)>,
    /// The last event that the caller has had of this stream.
    pub after: Option<String>,
}

/// What a replica is told beside the caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardInfo<'a> {
    pub left: Duration,
    pub replica: &'a str,
    pub tenant: Option<&'a str>,
    /// Under which text its parts are kept.
    pub salt: Option<&'a str>,
    pub source: Option<&'a str>,
    pub target: Option<&'a str>,
    /// 0 is the most urgent, 9 the least.
    pub urgency: Option<u8>,
    pub weights: Option<&'a str>,
    pub after: Option<&'a str>,
}

/// What a replica says in the head of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    pub id: Option<String>,
    /// It says that the request did not run there and never will.
    pub not_run: bool,
    /// It is another replica, or runs other weights, than was asked for.
    pub misdirected: bool,
    /// Running, waiting, slots.
    pub load: Option<(u64, u64, u64)>,
    /// The version of the weights that it runs for the model.
    pub weights: Option<String>,
    pub retry_after: Option<Duration>,
    /// Whether it is sealed as an answer of a replica.
    pub sealed: bool,
}

/// How callers and replicas speak. Translates only.
pub trait Dialect: Send + Sync {
    /// Reads a request's head; an error is told to the caller as a bad request.
    fn read(&self, head: &RequestHead) -> Result<RequestInfo, String>;

    /// The head for a replica, with the empty line: the caller's headers, less those that are not its to set.
    fn ask(&self, head: &RequestHead, body: usize, told: &ForwardInfo) -> Vec<u8>;

    /// Reads the head of a replica's answer to a request for this model.
    fn said(&self, head: &AnswerHead, model: &str) -> ResponseInfo;

    /// The version that an event begins with, where weights changed within a stream.
    fn weights_in(&self, event: &[u8], model: &str) -> Option<String>;
}
