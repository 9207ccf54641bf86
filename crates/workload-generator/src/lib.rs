//! Generates day files for the users' bench: each kind of trouble alone, in pairs, twice in a row, and at the
//! moments when the control side is most easily hurt.
//!
//! The days come from two tables, `kinds.toml` and `scenarios.toml`, and from a seed. The same seed, site and
//! tables give the same days, so a day that broke a rule is named by its site, seed and number.
pub mod catalogue;
pub mod day;
pub mod kinds;
pub mod scenarios;
pub mod site;

/// Why no day could be generated.
#[derive(Debug, thiserror::Error)]
pub enum GenerateError {
    /// The site file could not be read.
    #[error("site file {path}: {source}")]
    Read {
        /// The path that was given.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A site file or table is no TOML of the expected form.
    #[error("{what}: {source}")]
    Parse {
        /// What was read.
        what: &'static str,
        /// Where it does not fit.
        source: toml::de::Error,
    },
    /// A day could not be written as TOML.
    #[error("day {name}: {source}")]
    Write {
        /// The day's name.
        name: String,
        /// What could not be written.
        source: toml::ser::Error,
    },
    /// The catalogue has fewer days.
    #[error("no day {number}, the catalogue has days 0 to {last}")]
    NoSuchDay {
        /// The number that was asked for.
        number: usize,
        /// The last number there is.
        last: usize,
    },
}
