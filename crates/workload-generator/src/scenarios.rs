//! Days that are written out entry by entry in `scenarios.toml`.
use crate::GenerateError;
use crate::day::{Closing, Trouble};
use crate::kinds::round;
use crate::site::Site;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::Deserialize;

/// How far an entry's time is moved at the most, in seconds.
const JITTER_S: f64 = 0.5;

/// A day before the site and the seed are known.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Planned work.
    pub plan: Vec<Trouble>,
    /// Unplanned troubles.
    pub faults: Vec<Trouble>,
    /// The fault at its end.
    pub closing: Option<Closing>,
}

#[derive(Deserialize)]
struct Table {
    scenario: Vec<Scenario>,
}

/// All scenarios of the table that come with this crate.
///
/// # Errors
/// `GenerateError::Parse` where the table is damaged.
/// ```
/// assert!(!workload_generator::scenarios::all().unwrap().is_empty());
/// ```
pub fn all() -> Result<Vec<Scenario>, GenerateError> {
    let table: Table = toml::from_str(include_str!("../scenarios.toml"))
        .map_err(|source| GenerateError::Parse { what: "table of scenarios", source })?;
    Ok(table.scenario)
}

/// Names the site's own service in an entry and moves its time a little.
/// ```
/// use workload_generator::{day::Trouble, scenarios::place, site::{EXAMPLE, Site}};
/// use rand::{SeedableRng, rngs::StdRng};
/// let entry = Trouble { at: 4.0, kind: "garble".into(), service: Some("model".into()), ..Default::default() };
/// let placed = place(&entry, &Site::parse(EXAMPLE).unwrap(), &mut StdRng::seed_from_u64(1));
/// assert_eq!(placed.service.as_deref(), Some("assistant"));
/// ```
pub fn place(entry: &Trouble, site: &Site, rng: &mut StdRng) -> Trouble {
    let service = entry.service.as_deref().and_then(|target| site.service(target));
    let at = entry.at + rng.random_range(-JITTER_S..=JITTER_S);
    Trouble { at: round(at), service: service.map(String::from), ..entry.clone() }
}
