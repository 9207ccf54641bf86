//! The platform's listing of model servers: fetched when the head wants it, and parsed strictly.
use crate::event_loop::ReplicaHandle;
use chain_replication::listing::ListingError;
use control_state::command::ReplicaInfo;
use crossbeam::channel::Receiver;
use fleet_common::json::{self, JsonField, ParseError};
use fleet_common::threads::{self, STACK};
use fleet_common::{Rcu, http_client};
use std::sync::Arc;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

fn parse_listing(text: &[u8]) -> Result<Vec<ReplicaInfo>, ParseError> {
    let root = json::root(text)?;
    root.only_fields(&["replicas"])?;
    let rows = root.required("replicas")?;
    let mut replicas = Vec::new();
    for row in rows.items()? {
        row.only_fields(&["id", "at", "model", "other_models", "district", "leaving"])?;
        let text = |name: &str| row.required(name)?.text();
        replicas.push(ReplicaInfo {
            id: text("id")?,
            at: text("at")?,
            model: text("model")?,
            other_models: parse_other_models(&row)?,
            zone: text("district")?,
            leaving: row.required("leaving")?.boolean()?,
            ..ReplicaInfo::default()
        });
    }
    Ok(replicas)
}

/// The models of a replica that has several, besides the first.
fn parse_other_models(row: &JsonField) -> Result<Vec<String>, ParseError> {
    let Some(list) = row.optional("other_models")? else { return Ok(Vec::new()) };
    list.items()?.iter().map(JsonField::text).collect()
}

/// A source of the listing of model servers.
pub trait ReplicaLister: Send {
    /// Fetches the listing once. It may block, but not without bound. The error is a text for logs.
    fn list(&self) -> Result<Vec<ReplicaInfo>, String>;
}

/// The platform of this project: one JSON document. Its IP and port may change while the process runs.
pub struct PlatformLister(pub Arc<Rcu<Option<String>>>);

impl ReplicaLister for PlatformLister {
    fn list(&self) -> Result<Vec<ReplicaInfo>, String> {
        let Some(platform) = self.0.read().as_ref().clone() else { return Err("no platform is named".into()) };
        http_client::json("GET", &format!("http://{platform}/replicas"), "", REQUEST_TIMEOUT)
            .map_err(|error| error.to_string())
            .and_then(|text| parse_listing(text.as_bytes()).map_err(|fault| format!("{platform}: {fault}")))
    }
}

/// Fetches the listing whenever the control replica wants it.
pub(crate) fn spawn(driver: Arc<ReplicaHandle>, listing: Box<dyn ReplicaLister>, polls: Receiver<u64>) {
    threads::start_restarting("listing", STACK, move || {
        polls.iter().for_each(|first| {
            // Polls that became due during the one before ask for the same list: the newest stands for all of them.
            let number = polls.try_iter().last().unwrap_or(first);
            let result = listing.list().map_err(|reason| ListingError::Unavailable { reason });
            driver.complete_listing(number, result);
        });
    });
}
