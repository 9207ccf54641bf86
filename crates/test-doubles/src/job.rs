//! A request that a client is to make.

/// A request to be made.
pub struct Job {
    /// The router's address.
    pub edge: String,
    /// The tenant's key.
    pub key: String,
    /// The tenant that the key belongs to.
    pub tenant: String,
    /// The model that is asked for.
    pub model: String,
    /// The kind of work, as the configuration names it.
    pub kind: &'static str,
    /// The id of the conversation.
    pub session: String,
    /// The prompt.
    pub prompt: String,
    /// How many tokens are asked for.
    pub tokens: u64,
    /// Whether the response is to be streamed.
    pub stream: bool,
    /// The idempotency key, where the request may run only once.
    pub once: Option<String>,
    /// How long the response may take.
    pub budget_ms: Option<u64>,
}

impl Job {
    /// A plain streamed call of the model `m1`.
    /// ```
    /// assert!(test_doubles::job::Job::plain("127.0.0.1:1", "key", "prompt", 4).stream);
    /// ```
    pub fn plain(edge: &str, key: &str, prompt: &str, tokens: u64) -> Self {
        Job {
            edge: edge.into(),
            key: key.into(),
            tenant: String::new(),
            model: "m1".into(),
            kind: "",
            session: format!("s-{prompt:.20}"),
            prompt: prompt.into(),
            tokens,
            stream: true,
            once: None,
            budget_ms: None,
        }
    }
}
