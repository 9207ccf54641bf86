//! A day as the bench reads it.
use crate::GenerateError;
use serde::{Deserialize, Serialize};

/// One entry of a day: a trouble or a piece of planned work. Absent fields are left to the bench's defaults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Seconds from the start of traffic.
    pub at: f64,
    /// The kind of trouble.
    pub kind: String,
    /// The class of machines that is struck.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<String>,
    /// The service that is struck.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The class of requests that is struck.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// How many things are struck.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
    /// The part of all things that is struck, from 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// How strong it is; the unit depends on the kind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub x: Option<f64>,
    /// How long it lasts, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// The time between its steps, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gap_s: Option<f64>,
    /// The variants, separated by spaces.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub how: Option<String>,
}

/// The fault at the end of a day, right after a change was acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Closing {
    /// What strikes.
    pub kind: String,
    /// How long the machines are down, in seconds.
    pub down_s: f64,
    /// The variant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub how: Option<String>,
}

/// A whole day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Day {
    /// The day's name; a label only.
    pub name: String,
    /// The bench's own seed for the day.
    pub seed: u64,
    /// The fault at its end, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub closing: Option<Closing>,
    /// Planned work.
    pub plan: Vec<Trouble>,
    /// Unplanned troubles.
    pub faults: Vec<Trouble>,
    /// The traffic, as the site file has it.
    pub traffic: toml::Value,
}

impl Day {
    /// The day as a TOML document.
    ///
    /// # Errors
    /// `GenerateError::Write` where the site's traffic cannot be written.
    /// ```
    /// use workload_generator::day::Day;
    /// let traffic = toml::Value::Array(vec![]);
    /// let day = Day { name: "calm".into(), seed: 1, closing: None, plan: vec![], faults: vec![], traffic };
    /// assert!(day.to_toml().unwrap().starts_with("name = \"calm\""));
    /// ```
    pub fn to_toml(&self) -> Result<String, GenerateError> {
        toml::to_string(self).map_err(|source| GenerateError::Write { name: self.name.clone(), source })
    }
}
