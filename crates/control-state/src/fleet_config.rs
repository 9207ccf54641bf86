//! The fleet's configuration in the product's own interface, where its JSON is called a blueprint: what operators intend.
//! It is read strictly, with the place of every error, and checked as a whole.
use crate::rules::{self, Rule};
use fleet_common::json::{JsonField, ParseError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantConfig {
    /// Whether its prefix cache is kept apart from that of other tenants.
    #[serde(rename = "apart")]
    pub isolated: bool,
    /// Its weight among tenants when replicas are short.
    #[serde(rename = "share")]
    pub quota_share: u64,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelConfig {
    /// The weights that it should run.
    pub weights: String,
    /// What prefilling a block costs, in microseconds.
    pub prefill_us_per_block: u64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClass {
    /// 9 is the most urgent, 1 the least.
    pub urgency: u64,
    /// How long a request may take when its caller names no time.
    pub budget_ms: u64,
}

/// Requests whose path begins so go to the model replicas or to the app service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The beginning of the paths, with a `/` first.
    pub path: String,
    /// `model` or `app`.
    pub to: String,
}

/// What transferring a block between replicas costs, inside a zone and across, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferCosts {
    /// Inside a zone, for each block.
    pub near_us_per_block: u64,
    /// From one zone to another, for each block.
    pub far_us_per_block: u64,
    /// Once for each transfer.
    pub setup_us: u64,
}

/// The numbers of the index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexConfig {
    /// The bytes of a prompt that are one block of its prefix.
    pub block_bytes: u64,
    /// Weights of what is lost to a wrong entry and to a missing one in a filter.
    pub alpha: u64,
    /// See `alpha`.
    pub beta: u64,
    /// The size of a filter.
    pub bits: u64,
    /// Hashes for each item; 0 has the index choose.
    pub hashes: u64,
}

/// Bounds on load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLimits {
    /// Requests of one router at one replica.
    pub per_replica: u64,
    /// Requests of one edge in all.
    pub per_edge: u64,
    /// A stream without an event for so long has stalled.
    pub stall_ms: u64,
    /// So many percent of a model's replicas go on serving while weights are rolled out.
    #[serde(default = "default_keep_serving")]
    pub keep_serving: u64,
}

fn default_keep_serving() -> u64 {
    60
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// By name.
    pub tenants: BTreeMap<String, TenantConfig>,
    /// By name.
    pub models: BTreeMap<String, ModelConfig>,
    /// By name.
    #[serde(rename = "kinds")]
    pub request_classes: BTreeMap<String, RequestClass>,
    /// Where requests go, by their paths.
    #[serde(rename = "ways")]
    pub route_rules: Vec<RouteRule>,
    /// Which requests are rejected.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// What transfers cost.
    pub links: TransferCosts,
    /// The numbers of the index.
    pub index: IndexConfig,
    /// Bounds on load.
    pub limits: LoadLimits,
}

type Table<T> = BTreeMap<String, T>;

fn parse_table<T>(
    field: &JsonField<'_>,
    parse_row: impl Fn(&JsonField<'_>) -> Result<T, ParseError>,
) -> Result<Table<T>, ParseError> {
    field.fields()?.iter().map(|(name, row)| Ok((name.clone(), parse_row(row)?))).collect()
}

/// A number from `least` to `most`, or `default` where the field is missing.
fn parse_number(field: &JsonField<'_>, name: &str, default: u64, least: u64, most: u64) -> Result<u64, ParseError> {
    field.optional(name)?.map_or(Ok(default), |number| number.number(least, most))
}

impl FleetConfig {
    /// Reads and checks a configuration at a place of a text.
    ///
    /// # Errors
    /// The first place at which it is not as it should be.
    /// ```
    /// use control_state::fleet_config::FleetConfig;
    /// let text = br#"{"tenants":{"t":{"wall":"odd"}},"models":{},"kinds":{},"ways":[]}"#;
    /// let root = fleet_common::json::root(text).unwrap();
    /// assert_eq!(FleetConfig::parse(&root).unwrap_err().pointer, "/tenants/t/wall");
    /// ```
    pub fn parse(root: &JsonField<'_>) -> Result<Self, ParseError> {
        root.only_fields(&["tenants", "models", "kinds", "ways", "rules", "links", "index", "limits"])?;
        Ok(FleetConfig {
            tenants: parse_table(&root.required("tenants")?, parse_tenant)?,
            models: parse_table(&root.required("models")?, parse_model)?,
            request_classes: parse_table(&root.required("kinds")?, parse_request_class)?,
            route_rules: parse_route_rules(root)?,
            rules: parse_rules(root)?,
            links: parse_links(root)?,
            index: parse_index(root)?,
            limits: parse_limits(root)?,
        })
    }

    /// The rule for a path: the one with the longest beginning of it.
    /// ```
    /// use control_state::fleet_config::FleetConfig;
    /// let text = br#"{"tenants":{},"models":{},"kinds":{},"ways":[{"path":"/v1/","to":"model"}]}"#;
    /// let config = FleetConfig::parse(&fleet_common::json::root(text).unwrap()).unwrap();
    /// assert_eq!(config.route_rule("/v1/completions").unwrap().to, "model");
    /// assert!(config.route_rule("/other").is_none());
    /// ```
    pub fn route_rule(&self, path: &str) -> Option<&RouteRule> {
        let matching = self.route_rules.iter().filter(|rule| path.starts_with(&rule.path));
        matching.max_by_key(|rule| rule.path.len())
    }

    /// The isolation of a tenant's prefix cache: its own, or the one that all others share.
    /// ```
    /// use control_state::fleet_config::FleetConfig;
    /// let text = br#"{"tenants":{"t":{"wall":"apart"},"s":{"wall":"shared"}},"models":{},"kinds":{},"ways":[]}"#;
    /// let config = FleetConfig::parse(&fleet_common::json::root(text).unwrap()).unwrap();
    /// assert_eq!(config.wall("t").unwrap(), "apart:t");
    /// assert_eq!(config.wall("s").unwrap(), "shared");
    /// ```
    pub fn wall(&self, tenant: &str) -> Option<String> {
        let config = self.tenants.get(tenant)?;
        Some(if config.isolated { format!("apart:{tenant}") } else { "shared".into() })
    }
}

fn parse_tenant(row: &JsonField<'_>) -> Result<TenantConfig, ParseError> {
    row.only_fields(&["wall", "share"])?;
    let wall = row.required("wall")?;
    let isolated = match wall.text()?.as_str() {
        "apart" => true,
        "shared" => false,
        _ => return Err(wall.error("apart or shared is wanted")),
    };
    Ok(TenantConfig { isolated, quota_share: parse_number(row, "share", 1, 1, 1000)? })
}

fn parse_model(row: &JsonField<'_>) -> Result<ModelConfig, ParseError> {
    row.only_fields(&["weights", "prefillUsPerBlock"])?;
    if row.pointer().starts_with("/models/@") || row.pointer().contains("/blueprint/models/@") {
        return Err(row.error("names with @ are the platform's: a store or an app, not a model"));
    }
    let weights = row.required("weights")?.text()?;
    Ok(ModelConfig { weights, prefill_us_per_block: parse_number(row, "prefillUsPerBlock", 4000, 1, 10_000_000)? })
}

fn parse_request_class(row: &JsonField<'_>) -> Result<RequestClass, ParseError> {
    row.only_fields(&["urgency", "budgetMs"])?;
    let urgency = row.required("urgency")?.number(1, 9)?;
    Ok(RequestClass { urgency, budget_ms: parse_number(row, "budgetMs", 30_000, 50, 600_000)? })
}

fn parse_route_rules(root: &JsonField<'_>) -> Result<Vec<RouteRule>, ParseError> {
    let mut rules = Vec::new();
    let mut paths = HashSet::new();
    for row in root.required("ways")?.items()? {
        row.only_fields(&["path", "to"])?;
        let (path, to) = (row.required("path")?, row.required("to")?);
        if !path.text()?.starts_with('/') {
            return Err(path.error("a path that begins with / is wanted"));
        }
        if !paths.insert(path.text()?) {
            return Err(path.error("the same path twice"));
        }
        if !["model", "app"].contains(&to.text()?.as_str()) {
            return Err(to.error("model or app is wanted"));
        }
        rules.push(RouteRule { path: path.text()?, to: to.text()? });
    }
    Ok(rules)
}

fn parse_rules(root: &JsonField<'_>) -> Result<Vec<Rule>, ParseError> {
    let Some(list) = root.optional("rules")? else { return Ok(Vec::new()) };
    let rows = list.items()?;
    if rows.len() > rules::MAX_RULES {
        return Err(list.error(format!("at most {} rules", rules::MAX_RULES)));
    }
    rows.iter().map(parse_rule).collect()
}

fn parse_rule(row: &JsonField<'_>) -> Result<Rule, ParseError> {
    row.only_fields(&["name", "refuseWhen", "say"])?;
    let condition = row.required("refuseWhen")?;
    rules::check(&condition.text()?).map_err(|error| condition.error(error.to_string()))?;
    Ok(Rule {
        name: row.required("name")?.text()?,
        refuse_when: condition.text()?,
        message: row.required("say")?.text()?,
    })
}

fn parse_links(root: &JsonField<'_>) -> Result<TransferCosts, ParseError> {
    let Some(links) = root.optional("links")? else {
        return Ok(TransferCosts { near_us_per_block: 200, far_us_per_block: 800, setup_us: 2000 });
    };
    links.only_fields(&["nearUsPerBlock", "farUsPerBlock", "setupUs"])?;
    Ok(TransferCosts {
        near_us_per_block: parse_number(&links, "nearUsPerBlock", 200, 1, 10_000_000)?,
        far_us_per_block: parse_number(&links, "farUsPerBlock", 800, 1, 10_000_000)?,
        setup_us: parse_number(&links, "setupUs", 2000, 0, 10_000_000)?,
    })
}

fn parse_index(root: &JsonField<'_>) -> Result<IndexConfig, ParseError> {
    let Some(index) = root.optional("index")? else {
        return Ok(IndexConfig { block_bytes: 64, alpha: 5, beta: 25, bits: 16_384, hashes: 0 });
    };
    index.only_fields(&["blockBytes", "alpha", "beta", "bits", "hashes"])?;
    Ok(IndexConfig {
        block_bytes: parse_number(&index, "blockBytes", 64, 8, 65_536)?,
        alpha: parse_number(&index, "alpha", 5, 1, 100_000)?,
        beta: parse_number(&index, "beta", 25, 1, 1_000_000)?,
        bits: parse_number(&index, "bits", 16_384, 64, 1 << 24)?,
        hashes: parse_number(&index, "hashes", 0, 0, 16)?,
    })
}

fn parse_limits(root: &JsonField<'_>) -> Result<LoadLimits, ParseError> {
    let Some(limits) = root.optional("limits")? else {
        let keep_serving = default_keep_serving();
        return Ok(LoadLimits { per_replica: 8, per_edge: 48, stall_ms: 10_000, keep_serving });
    };
    limits.only_fields(&["perReplica", "perEdge", "stallMs", "keepServing"])?;
    Ok(LoadLimits {
        per_replica: parse_number(&limits, "perReplica", 8, 1, 1000)?,
        per_edge: parse_number(&limits, "perEdge", 48, 1, 4092)?,
        stall_ms: parse_number(&limits, "stallMs", 10_000, 100, 600_000)?,
        keep_serving: parse_number(&limits, "keepServing", default_keep_serving(), 0, 95)?,
    })
}
