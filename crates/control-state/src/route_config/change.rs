//! Changes of a configuration: a complete new one, or named items to set and to drop.
use super::unknown_field::UnknownFieldPatch;
use super::{Bounds, Item, Items, Route, RouteConfig, Service, Tenant};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A change as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A complete configuration in place of the one that holds.
    #[serde(rename = "whole")]
    Replace(Box<RouteConfig>),
    /// Some items of it.
    #[serde(rename = "named")]
    Patch(Box<RouteConfigPatch>),
}

/// Items to add or replace, and names to drop.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouteConfigPatch {
    /// The operator's number of what comes of it.
    pub revision: u64,
    /// Routes to add or replace.
    pub set_routes: Items<Route>,
    /// Services to add or replace.
    pub set_services: Items<Service>,
    /// Tenants to add or replace.
    pub set_tenants: Items<Tenant>,
    /// Other bounds, if any.
    pub set_bounds: Option<Item<Bounds>>,
    /// Names of routes to drop.
    pub drop_routes: Vec<String>,
    /// Names of services to drop.
    pub drop_services: Vec<String>,
    /// Names of tenants to drop.
    pub drop_tenants: Vec<String>,
    /// Changes of fields that mean nothing here, by the name of the field.
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    pub unknown_fields: IndexMap<String, UnknownFieldPatch>,
}

/// Setting an item that is there replaces it at its position.
fn patch<T: Clone>(items: &mut Items<T>, set: &Items<T>, drop: &[String]) {
    items.retain(|name, _| !drop.contains(name));
    for (name, item) in set {
        items.insert(name.clone(), item.clone());
    }
}

impl Change {
    /// The operator's number of what comes of it.
    pub fn revision(&self) -> u64 {
        match self {
            Change::Replace(config) => config.revision,
            Change::Patch(patch) => patch.revision,
        }
    }

    /// What holds after it.
    pub fn applied_to(&self, held: &RouteConfig) -> RouteConfig {
        match self {
            Change::Replace(config) => (**config).clone(),
            Change::Patch(patch) => patch.applied_to(held),
        }
    }
}

impl RouteConfigPatch {
    fn applied_to(&self, held: &RouteConfig) -> RouteConfig {
        let mut next = RouteConfig { revision: self.revision, ..held.clone() };
        patch(&mut next.routes, &self.set_routes, &self.drop_routes);
        patch(&mut next.services, &self.set_services, &self.drop_services);
        patch(&mut next.tenants, &self.set_tenants, &self.drop_tenants);
        next.requires_keys |= !self.set_tenants.is_empty();
        if let Some(bounds) = &self.set_bounds {
            next.bounds = bounds.clone();
        }
        for (name, change) in &self.unknown_fields {
            let held = next.unknown_fields.get(name).map(String::as_str);
            if let Some(text) = change.applied_to(held) {
                next.unknown_fields.insert(name.clone(), text);
            }
        }
        next
    }
}
