//! What a change of the configuration of routes does to the state, and versions of weights that are named.
use crate::configuration::{Change, Configuration};
use crate::ruling::{Ruling, no};
use crate::state::State;
use fleet_common::hash;

/// Of so many of the newest changes it is remembered that they were taken.
const TAKEN_KEPT: usize = 512;

fn digest(over: u64, change: &Change) -> u64 {
    hash::bytes(over, &sonic_rs::to_vec(change).unwrap_or_default())
}

impl State {
    /// The same change sent again is answered as the first time; of two on one version one wins.
    pub(crate) fn configure(&mut self, over: u64, change: &Change) -> Ruling {
        let (revision, digest) = (change.revision(), digest(over, change));
        if self.taken.get(&revision) == Some(&digest) {
            return Ok("nothing to change".into());
        }
        let empty = Configuration::default();
        let held = self.configuration.as_ref().unwrap_or(&empty);
        if held.revision != over {
            return no(412, format!("version {} holds, not {over}", held.revision));
        }
        if revision <= held.revision {
            return no(400, format!("/revision: {revision} is not above {}", held.revision));
        }
        let next = change.over(held);
        if let Some(fault) = next.fault() {
            return no(400, fault);
        }
        self.configuration = Some(next);
        self.taken.insert(revision, digest);
        while self.taken.len() > TAKEN_KEPT {
            self.taken.pop_first();
        }
        Ok("configuration taken".into())
    }

    /// An older version than the one that holds changes nothing: it was named already.
    pub(crate) fn name_weights(&mut self, model: &str, revision: u64) -> Ruling {
        let held = self.weights.entry(model.to_string()).or_insert(0);
        if *held >= revision {
            return Ok("nothing to change".into());
        }
        *held = revision;
        Ok("weights named".into())
    }
}
