//! The table of kinds, and drawing an entry of a kind.
use crate::GenerateError;
use crate::day::Trouble;
use crate::site::Site;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde::Deserialize;

/// A range from the least to the most value of a field, both included.
type Range<T> = Option<[T; 2]>;

/// A kind of trouble and the ranges of its fields.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Kind {
    /// The bench's name for it.
    pub name: String,
    /// Whether it is planned work.
    pub planned: bool,
    /// Whether it strikes the control side.
    pub control: bool,
    /// The contract without which a site does not know it.
    pub contract: Option<String>,
    service: Option<String>,
    class: bool,
    on: Vec<String>,
    how: Vec<String>,
    count: Range<u32>,
    share: Range<f64>,
    x: Range<f64>,
    for_s: Range<f64>,
    gap_s: Range<f64>,
}

#[derive(Deserialize)]
struct Table {
    kind: Vec<Kind>,
}

/// All kinds of the table that come with this crate.
///
/// # Errors
/// `GenerateError::Parse` where the table is damaged.
/// ```
/// assert!(workload_generator::kinds::all().unwrap().iter().any(|kind| kind.name == "node_kill"));
/// ```
pub fn all() -> Result<Vec<Kind>, GenerateError> {
    let table: Table = toml::from_str(include_str!("../kinds.toml"))
        .map_err(|source| GenerateError::Parse { what: "table of kinds", source })?;
    Ok(table.kind)
}

impl Kind {
    /// Whether the site knows this kind.
    /// ```
    /// use workload_generator::{kinds, site::{EXAMPLE, Site}};
    /// let site = Site::parse(EXAMPLE).unwrap();
    /// let kinds = kinds::all().unwrap();
    /// assert!(!kinds.iter().find(|kind| kind.name == "idle_race").unwrap().exists_at(&site));
    /// ```
    pub fn exists_at(&self, site: &Site) -> bool {
        let in_force = |contract: &String| site.contracts.contains(contract);
        let has_target = self.service.as_deref().is_none_or(|target| site.service(target).is_some());
        self.contract.as_ref().is_none_or(in_force) && has_target
    }

    /// Draws an entry of this kind that begins at `at` seconds.
    /// ```
    /// use workload_generator::{kinds, site::{EXAMPLE, Site}};
    /// use rand::{SeedableRng, rngs::StdRng};
    /// let (site, kinds) = (Site::parse(EXAMPLE).unwrap(), kinds::all().unwrap());
    /// let entry = kinds[0].draw(&site, 4.0, &mut StdRng::seed_from_u64(1));
    /// assert_eq!((entry.at, entry.kind.as_str()), (4.0, "srv_crash"));
    /// ```
    pub fn draw(&self, site: &Site, at: f64, rng: &mut StdRng) -> Trouble {
        let class = self.class.then(|| site.classes.choose(rng).map(|class| class.name.clone()));
        let service = self.service.as_deref().and_then(|target| site.service(target));
        Trouble {
            at: round(at),
            kind: self.name.clone(),
            on: self.on.choose(rng).cloned(),
            service: service.map(String::from),
            class: class.flatten(),
            count: self.count.map(|[least, most]| rng.random_range(least..=most)),
            share: draw_figure(self.share, rng),
            x: draw_figure(self.x, rng),
            for_s: draw_figure(self.for_s, rng),
            gap_s: draw_figure(self.gap_s, rng),
            how: self.how.choose(rng).cloned(),
        }
    }
}

fn draw_figure(range: Range<f64>, rng: &mut impl Rng) -> Option<f64> {
    range.map(|[least, most]| round(rng.random_range(least..=most)))
}

/// Rounds to hundredths, so that day files stay readable.
pub(crate) fn round(figure: f64) -> f64 {
    (figure * 100.0).round() / 100.0
}
