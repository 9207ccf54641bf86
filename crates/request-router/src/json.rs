//! Serialization of what pages and responses show.
use serde::Serialize;
use sonic_rs::RawNumber;

/// A value as JSON text; `null` where it cannot be serialized.
pub fn to_json(value: &impl Serialize) -> String {
    sonic_rs::to_string(value).unwrap_or_else(|_| "null".into())
}

/// A number with a fixed count of decimals; `null` where it is not finite.
pub fn fixed_decimals(number: f64, decimals: usize) -> Option<RawNumber> {
    sonic_rs::from_str(&format!("{number:.decimals$}")).ok()
}
