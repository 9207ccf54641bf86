//! A configuration of routes: which hosts and paths go to which services, whose keys may call, and what the replicas
//! behind a service can do. Beside what each item means here it keeps the operator's own text, so that the configuration
//! can be read back as it was sent.
mod change;
mod derived;
mod unknown_field;
mod validation;

pub use change::{Change, RouteConfigPatch};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
pub use unknown_field::UnknownFieldPatch;
pub use validation::RouteConfigError;

/// Items of one kind by name, in the operator's order.
pub type Items<T> = IndexMap<String, Item<T>>;

/// An item: what it means here, and the operator's text of it, which is empty where only the meaning travels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<T> {
    /// What it means here.
    #[serde(rename = "row")]
    pub value: T,
    /// The operator's text.
    #[serde(default, rename = "text", skip_serializing_if = "String::is_empty")]
    pub source_text: String,
}

/// Where requests of a host and path go, and how they may be handled. Times are in milliseconds; 0 stands for none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// The host, without a port; compared without case.
    pub host: String,
    /// The beginning of the paths.
    pub prefix: String,
    /// Services with their weights.
    pub targets: Vec<(String, u64)>,
    /// Whether a request may run more than once.
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
    /// Whether the answer may be a stream of events.
    pub stream: bool,
    /// Whether a stream may be continued at another replica after an event.
    pub resume: bool,
    /// To how many replicas one request may be sent.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// How long a request may take in all.
    pub timeout_ms: u64,
    /// The time to the first token that the route aims at.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: u64,
    /// The longest pause between two events of a stream.
    #[serde(rename = "gap_ms")]
    pub max_gap_ms: u64,
    /// 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u64,
    /// Whether no key is asked for.
    #[serde(rename = "open")]
    pub allows_anonymous: bool,
}

/// What a service's model replicas can do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Engine {
    /// Requests that a replica works on at once.
    pub slots: u64,
    /// Tokens that a replica's KV cache holds.
    pub cache_tokens: u64,
    /// The bytes of one token's KV cache.
    pub token_bytes: u64,
    /// Megabits a second between replicas.
    pub link_mbps: u64,
    /// Tokens to an event of a stream, at the most.
    pub stride: u64,
    /// How many may wait for a replica's cache events at once.
    pub watchers: u64,
    /// The models that it serves.
    pub models: Vec<String>,
}

/// A store of prefixes: a source and a target for transfers, never a place for requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Store {
    /// Its address, an IP and port.
    pub at: String,
    /// Its failure domain.
    pub zone: String,
    /// Tokens that it holds.
    pub cache_tokens: u64,
    /// Megabits a second to replicas.
    pub link_mbps: u64,
    /// How many may wait for its cache events at once.
    pub watchers: u64,
}

/// A service: replicas of one kind, or a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// The path of its health check.
    pub health: String,
    /// Connections that a replica takes from all callers together; 0 where unknown.
    pub connections: u64,
    /// Of model replicas; none for a store or another service.
    pub engine: Option<Engine>,
    /// Set where the service is a store.
    pub store: Option<Store>,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Tenant {
    /// Its keys, by their digests.
    pub keys: Vec<String>,
    /// Its priority, if it has one of its own.
    #[serde(rename = "rank")]
    pub priority: Option<u64>,
    /// Whether its prefix cache is kept apart from that of other tenants.
    #[serde(rename = "apart")]
    pub isolated: bool,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Bytes of a request's head.
    pub header_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Milliseconds for the head of a request.
    pub header_ms: u64,
    /// Milliseconds without a byte.
    pub idle_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3000, idle_ms: 15_000 }
    }
}

/// A complete configuration under the operator's own number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouteConfig {
    /// The operator's number; it rises from change to change.
    pub revision: u64,
    /// By name.
    pub routes: Items<Route>,
    /// By name.
    pub services: Items<Service>,
    /// By name.
    pub tenants: Items<Tenant>,
    /// For all callers.
    pub bounds: Item<Bounds>,
    /// Whether the operator sent tenants at all: without them no key is asked for.
    #[serde(rename = "keyed")]
    pub requires_keys: bool,
    /// Fields that mean nothing here, kept for reading back.
    #[serde(rename = "rest")]
    pub unknown_fields: IndexMap<String, String>,
}

impl RouteConfig {
    /// The route of a host and path: the longest prefix that begins the path. The host is compared without its port and
    /// case.
    /// ```
    /// use control_state::route_config::{Item, Route, RouteConfig};
    /// let mut config = RouteConfig::default();
    /// for prefix in ["/a/", "/a/b/"] {
    ///     let value = Route { host: "h.example".into(), prefix: prefix.into(), ..Route::default() };
    ///     config.routes.insert(prefix.into(), Item { value, source_text: String::new() });
    /// }
    /// assert_eq!(config.route("H.example:80", "/a/b/c").unwrap().prefix, "/a/b/");
    /// assert!(config.route("h.example", "/b/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matches = |route: &&Route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix);
        self.routes.values().map(|item| &item.value).filter(matches).max_by_key(|route| route.prefix.len())
    }

    /// The same without the operator's texts: what nodes pull.
    pub fn without_source_text(&self) -> Self {
        fn strip<T: Clone>(items: &Items<T>) -> Items<T> {
            items.iter().map(|(name, item)| (name.clone(), strip_item(item))).collect()
        }
        fn strip_item<T: Clone>(item: &Item<T>) -> Item<T> {
            Item { value: item.value.clone(), source_text: String::new() }
        }
        RouteConfig {
            revision: self.revision,
            routes: strip(&self.routes),
            services: strip(&self.services),
            tenants: strip(&self.tenants),
            bounds: strip_item(&self.bounds),
            requires_keys: self.requires_keys,
            unknown_fields: IndexMap::new(),
        }
    }

    /// The models that services run, each with its service.
    pub fn models(&self) -> impl Iterator<Item = (&str, &str)> {
        self.services.iter().flat_map(|(name, service)| {
            let engine = service.value.engine.iter();
            engine.flat_map(|engine| engine.models.iter()).map(move |model| (model.as_str(), name.as_str()))
        })
    }
}
