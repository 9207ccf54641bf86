//! What makes a configuration invalid as a whole.
use super::{Route, RouteConfig};
use std::collections::{HashMap, HashSet};

/// The first thing that makes a configuration invalid. Its text is for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteConfigError {
    /// The route gives its requests no time.
    #[error("route {route}: a timeout of 0")]
    NoTimeout {
        /// The name of the route.
        route: String,
    },
    /// The route sends its requests nowhere.
    #[error("route {route}: its weights sum to 0")]
    NoWeight {
        /// The name of the route.
        route: String,
    },
    /// The route's target is not configured.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The name of the service.
        service: String,
    },
    /// A store answers no requests.
    #[error("route {route}: {service} is a store")]
    TargetIsStore {
        /// The name of the route.
        route: String,
        /// The name of the service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("route {route}: another has its host and prefix")]
    DuplicateRoute {
        /// The name of the route.
        route: String,
    },
    /// A key must stand for one tenant.
    #[error("tenant {tenant}: one of its keys is another's")]
    SharedKey {
        /// The name of the tenant.
        tenant: String,
    },
}

impl RouteConfig {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    /// The first of these: a route without time or without weight, one to an unknown service or to a store, two routes of
    /// one host and prefix, a key of two tenants.
    pub fn validate(&self) -> Result<(), RouteConfigError> {
        let mut matched = HashSet::new();
        for (name, item) in &self.routes {
            let route = &item.value;
            self.validate_route(name, route)?;
            if !matched.insert((route.host.to_lowercase(), &route.prefix)) {
                return Err(RouteConfigError::DuplicateRoute { route: name.clone() });
            }
        }
        self.validate_keys()
    }

    fn validate_route(&self, name: &str, route: &Route) -> Result<(), RouteConfigError> {
        if route.timeout_ms == 0 {
            return Err(RouteConfigError::NoTimeout { route: name.to_string() });
        }
        if route.targets.iter().all(|(_, weight)| *weight == 0) {
            return Err(RouteConfigError::NoWeight { route: name.to_string() });
        }
        for (target, _) in &route.targets {
            let (route, service) = (name.to_string(), target.clone());
            match self.services.get(target) {
                None => return Err(RouteConfigError::UnknownService { route, service }),
                Some(found) if found.value.store.is_some() => {
                    return Err(RouteConfigError::TargetIsStore { route, service });
                }
                Some(_) => {}
            }
        }
        Ok(())
    }

    fn validate_keys(&self) -> Result<(), RouteConfigError> {
        let mut owners: HashMap<&str, &str> = HashMap::new();
        for (name, tenant) in &self.tenants {
            for key in &tenant.value.keys {
                if owners.insert(key, name).is_some_and(|other| other != name) {
                    return Err(RouteConfigError::SharedKey { tenant: name.clone() });
                }
            }
        }
        Ok(())
    }
}
