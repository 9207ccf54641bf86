//! The fleet's configuration that a configuration of routes stands for, so that everything behind the routes (isolation
//! of caches, weights, rollouts, tables) is decided in one way whichever of the two is sent.
use super::RouteConfig;
use crate::fleet_config::{FleetConfig, IndexConfig, LoadLimits, ModelConfig, TenantConfig, TransferCosts};
use crate::state::Key;
use std::collections::BTreeMap;

/// The version that a model's weights have before any is released.
const FIRST_WEIGHTS: u64 = 1;
/// So many percent of a model's replicas go on serving while weights are rolled out.
const KEEP_SERVING_PERCENT: u64 = 70;
/// What prefilling a block costs where nothing is known of the model, in microseconds.
const PREFILL_US_PER_BLOCK: u64 = 4000;

impl RouteConfig {
    /// The digests of all keys with their tenants.
    pub fn key_table(&self) -> BTreeMap<String, Key> {
        let key =
            |tenant: &str, digest: &String| (digest.clone(), Key { tenant: tenant.to_string(), withdrawn: false });
        let tenants = self.tenants.iter();
        tenants.flat_map(|(name, tenant)| tenant.value.keys.iter().map(|digest| key(name, digest))).collect()
    }

    /// Whose caches are isolated, the models with the weights that are released for them, and the numbers of the index.
    pub fn fleet_config(&self, released_weights: &BTreeMap<String, u64>) -> FleetConfig {
        let tenant = |isolated| TenantConfig { isolated, quota_share: 1 };
        let model = |name: &str| ModelConfig {
            weights: released_weights.get(name).copied().unwrap_or(FIRST_WEIGHTS).to_string(),
            prefill_us_per_block: PREFILL_US_PER_BLOCK,
        };
        let tenants = self.tenants.iter().map(|(name, item)| (name.clone(), tenant(item.value.isolated)));
        // A release may be of a model that no service names: replicas may have it all the same, now or later.
        let models = self.models().map(|(name, _)| name).chain(released_weights.keys().map(String::as_str));
        FleetConfig {
            tenants: tenants.collect(),
            models: models.map(|name| (name.to_string(), model(name))).collect(),
            request_classes: BTreeMap::new(),
            route_rules: Vec::new(),
            rules: Vec::new(),
            links: TransferCosts { near_us_per_block: 200, far_us_per_block: 800, setup_us: 2000 },
            index: IndexConfig { block_bytes: 64, alpha: 5, beta: 25, bits: 32_768, hashes: 0 },
            limits: LoadLimits { per_replica: 8, per_edge: 48, stall_ms: 10_000, keep_serving: KEEP_SERVING_PERCENT },
        }
    }
}
