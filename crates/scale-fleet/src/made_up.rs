//! A configuration and a listing of replicas, made up at a given size.
use control_chain::command::Replica;
use control_chain::configuration::{Bounds, Change, Configuration, Engine, Item, Named, Route, Service, Tenant};
use fleet_common::hash::key_print;

/// Models in use, each behind a service of its own.
pub const MODELS: u64 = 15;
const ZONES: u64 = 5;

fn item<T: serde::Serialize>(row: T) -> Item<T> {
    // The operator's own text is kept beside each item, about as long as the item itself.
    let text = sonic_rs::to_string(&row).unwrap_or_default();
    Item { row, text }
}

fn tenant(n: u64, turn: u64) -> (String, Item<Tenant>) {
    let keys = vec![key_print(&format!("key-{n}-0")), key_print(&format!("key-{n}-{}", turn + 1))];
    (format!("tenant-{n:05}"), item(Tenant { keys, rank: Some(n % 4), apart: n.is_multiple_of(3) }))
}

fn route(n: u64) -> (String, Item<Route>) {
    let route = Route {
        host: format!("host-{n:05}.fleet.example"),
        prefix: "/v1/".into(),
        targets: vec![(format!("service-{}", n % MODELS), 100)],
        stream: true,
        tries: 2,
        timeout_ms: 30_000,
        rank: n % 4,
        ..Route::default()
    };
    (format!("route-{n:05}"), item(route))
}

/// A configuration with so many tenants (two keys each) and as many routes.
/// ```
/// let made = scale_fleet::made_up::configuration(3, 7);
/// assert_eq!((made.tenants.len(), made.routes.len(), made.revision, made.fault()), (3, 3, 7, None));
/// ```
pub fn configuration(tenants: u64, revision: u64) -> Configuration {
    let service = |n: u64| {
        let models = vec![format!("model-{n}")];
        let engine = Engine { slots: 8, cache_tokens: 1 << 20, token_bytes: 4096, models, ..Engine::default() };
        (format!("service-{n}"), item(Service { connections: 8, engine: Some(engine), ..Service::default() }))
    };
    Configuration {
        revision,
        routes: (0..tenants).map(route).collect(),
        services: (0..MODELS).map(service).collect(),
        tenants: (0..tenants).map(|n| tenant(n, 0)).collect(),
        bounds: item(Bounds::default()),
        keyed: true,
        ..Configuration::default()
    }
}

/// A change by name: one tenant gets another key.
/// ```
/// use control_chain::configuration::Change;
/// let Change::Named(named) = scale_fleet::made_up::change(3, 8) else { panic!() };
/// assert_eq!((named.revision, named.set_tenants.len()), (8, 1));
/// ```
pub fn change(tenants: u64, revision: u64) -> Change {
    let set_tenants = [tenant(revision % tenants.max(1), revision)].into_iter().collect();
    Change::Named(Box::new(Named { revision, set_tenants, ..Named::default() }))
}

/// So many replicas, over all models and zones. Nobody listens where they are said to be.
/// ```
/// assert_eq!(scale_fleet::made_up::replicas(4).len(), 4);
/// ```
pub fn replicas(count: u64) -> Vec<Replica> {
    let row = |n: u64| Replica {
        id: format!("replica-{n:05}"),
        at: format!("127.1.{}.{}:9", n / 250, n % 250 + 1),
        model: format!("model-{}", n % MODELS),
        district: format!("zone-{}", n % ZONES),
        service: format!("service-{}", n % MODELS),
        slots: 8,
        ..Replica::default()
    };
    (0..count).map(row).collect()
}
