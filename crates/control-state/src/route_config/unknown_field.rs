//! Changes of fields of a configuration that mean nothing here: they are kept as text, and an operator reads back what the
//! changes made of them.
use fleet_common::json;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A change of such a field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownFieldPatch {
    /// Another value, as JSON text.
    #[serde(rename = "value")]
    Replace(String),
    /// Items of a list, as of routes and services.
    #[serde(rename = "items")]
    Items {
        /// Items to add or replace: their JSON texts by name.
        set: IndexMap<String, String>,
        /// Names of items to drop.
        drop: Vec<String>,
    },
}

/// The items of a list by name; none where the text is no list of named items.
fn named_items(text: &str) -> IndexMap<String, String> {
    let items = || {
        let field = json::root(text.as_bytes()).ok()?;
        let list = field.items().ok()?;
        let named = list.iter().map(|item| Some((item.required("name").ok()?.text().ok()?, item.raw().to_string())));
        named.collect::<Option<IndexMap<String, String>>>()
    };
    items().unwrap_or_default()
}

impl UnknownFieldPatch {
    /// The field's JSON text after the change; none where the field is not there and nothing is added. An item that is there
    /// is replaced at its position.
    pub(crate) fn applied_to(&self, held: Option<&str>) -> Option<String> {
        match self {
            UnknownFieldPatch::Replace(value) => Some(value.clone()),
            UnknownFieldPatch::Items { set, .. } if held.is_none() && set.is_empty() => None,
            UnknownFieldPatch::Items { set, drop } => {
                let mut items = held.map(named_items).unwrap_or_default();
                items.retain(|name, _| !drop.contains(name));
                items.extend(set.iter().map(|(name, item)| (name.clone(), item.clone())));
                let texts: Vec<&str> = items.values().map(String::as_str).collect();
                Some(format!("[{}]", texts.join(",")))
            }
        }
    }
}
