//! When which weights of a model were named, as a node learnt it: older weights may serve for a while after newer
//! ones were named, counted for each from when the first newer ones came.
use std::collections::BTreeMap;
use std::time::Duration;

/// So many of the newest names of a model's weights are remembered.
const NAMES_MAX: usize = 16;

/// When weights were followed by newer ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Superseded {
    /// This node saw it happen.
    At(Duration),
    /// It had happened when this node began, nobody here knows how long ago; the node began then.
    BeforeStart(Duration),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Named {
    weights: String,
    at: Superseded,
}

/// How long older weights may serve, besides the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OlderWeights {
    /// After newer ones were named.
    pub after_naming: Duration,
    /// After the start of a node that found newer ones named.
    pub after_start: Duration,
}

/// The weights that were named for each model, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightsHistory {
    models: BTreeMap<String, Vec<Named>>,
}

impl WeightsHistory {
    /// Notes that these weights are named now. What a node finds named when it begins may have been so for long.
    /// ```
    /// use control_chain::weights::WeightsHistory;
    /// let mut history = WeightsHistory::default();
    /// history.note("m", "w1", std::time::Duration::ZERO, true);
    /// assert_eq!(history.superseded("m", "w1"), None);
    /// ```
    pub fn note(&mut self, model: &str, weights: &str, now: Duration, node_begins: bool) {
        let names = self.models.entry(model.to_string()).or_default();
        if names.last().is_some_and(|newest| newest.weights == weights) {
            return;
        }
        let at = if node_begins { Superseded::BeforeStart(now) } else { Superseded::At(now) };
        // Weights that are named again are the newest once more.
        names.retain(|named| named.weights != weights);
        names.push(Named { weights: weights.to_string(), at });
        if names.len() > NAMES_MAX {
            names.remove(0);
        }
    }

    /// When newer weights than these were first named; none where these are the newest, or the model is unknown.
    /// Weights that this node never saw named are older than all that it did.
    /// ```
    /// use control_chain::weights::{Superseded, WeightsHistory};
    /// use std::time::Duration;
    /// let mut history = WeightsHistory::default();
    /// let at = Duration::from_secs;
    /// for (number, second) in [(1, 0), (2, 5), (3, 15)] {
    ///     history.note("m", &format!("w{number}"), at(second), second == 0);
    /// }
    /// assert_eq!(history.superseded("m", "w1"), Some(Superseded::At(at(5))));
    /// assert_eq!(history.superseded("m", "w2"), Some(Superseded::At(at(15))));
    /// assert_eq!(history.superseded("m", "w0"), Some(Superseded::BeforeStart(at(0))));
    /// ```
    pub fn superseded(&self, model: &str, weights: &str) -> Option<Superseded> {
        let names = self.models.get(model)?;
        let next = names.iter().position(|named| named.weights == weights).map_or(0, |own| own + 1);
        names.get(next).map(|named| named.at)
    }

    /// Until when requests may begin on these weights; none where they are the newest, or the model is unknown.
    /// ```
    /// use control_chain::weights::{OlderWeights, WeightsHistory};
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let mut history = WeightsHistory::default();
    /// history.note("m", "w1", seconds(0), true);
    /// history.note("m", "w2", seconds(5), false);
    /// let bounds = OlderWeights { after_naming: seconds(14), after_start: seconds(2) };
    /// assert_eq!(history.serves_until("m", "w1", bounds), Some(seconds(19)));
    /// assert_eq!(history.serves_until("m", "w0", bounds), Some(seconds(2)));
    /// ```
    pub fn serves_until(&self, model: &str, weights: &str, bounds: OlderWeights) -> Option<Duration> {
        Some(match self.superseded(model, weights)? {
            Superseded::At(named) => named + bounds.after_naming,
            Superseded::BeforeStart(began) => began + bounds.after_start.min(bounds.after_naming),
        })
    }
}
