//! A replica with several models: the weights of each, and one load at a time.
use prefix_table::event::{CacheReport, EventBatch};
use prefix_table::index_node::OrderOutcome;
use std::collections::BTreeMap;
use std::time::Duration;

const LOAD_TIME: Duration = Duration::from_millis(1800);
pub const FIRST_VERSION: u64 = 1;

/// A load that is under way.
#[derive(Clone, Debug)]
struct Load {
    model: String,
    version: u64,
    done_at: Duration,
}

/// A poll that waits for news.
#[derive(Clone, Debug)]
pub struct Poll {
    pub node: usize,
    pub fence: u64,
    pub until: Duration,
}

/// A replica.
#[derive(Clone, Debug)]
pub struct Replica {
    pub versions: BTreeMap<String, u64>,
    pub is_up: bool,
    pub polls: Vec<Poll>,
    pub orders: usize,
    pub loads: usize,
    incarnation: u64,
    load: Option<Load>,
    has_news: bool,
}

impl Replica {
    pub fn new(models: &[String]) -> Replica {
        Replica {
            versions: models.iter().map(|model| (model.clone(), FIRST_VERSION)).collect(),
            is_up: true,
            polls: Vec::new(),
            orders: 0,
            loads: 0,
            incarnation: 1,
            load: None,
            has_news: false,
        }
    }

    pub fn loaded_model(&self) -> Option<&str> {
        Some(&self.load.as_ref()?.model)
    }

    pub fn crash(&mut self) {
        (self.is_up, self.load) = (false, None);
        self.polls.clear();
    }

    pub fn start(&mut self, forgets: Option<&str>) {
        self.is_up = true;
        self.incarnation += 1;
        if let Some(version) = forgets.and_then(|model| self.versions.get_mut(model)) {
            *version = FIRST_VERSION;
        }
    }

    pub fn order(&mut self, now: Duration, model: &str, version: u64) -> Result<OrderOutcome, String> {
        if !self.is_up {
            return Err("no answer".into());
        }
        self.orders += 1;
        if self.load.is_some() {
            return Ok(OrderOutcome::Busy);
        }
        if self.versions.get(model) == Some(&version) {
            return Ok(OrderOutcome::AlreadyLoaded);
        }
        self.loads += 1;
        self.load = Some(Load { model: model.into(), version, done_at: now + LOAD_TIME });
        Ok(OrderOutcome::Accepted)
    }

    /// Lets time pass; returns the polls that are answered now.
    pub fn step(&mut self, now: Duration) -> Vec<Poll> {
        if let Some(done) = self.load.take_if(|load| load.done_at <= now) {
            self.versions.insert(done.model, done.version);
            self.has_news = true;
        }
        let has_news = self.has_news;
        let due: Vec<Poll> = self.polls.extract_if(.., |poll| has_news || poll.until <= now).collect();
        self.has_news &= due.is_empty();
        due
    }

    /// Its report: one model without its name, several by name.
    pub fn report(&self) -> CacheReport {
        let texts = self.versions.iter().map(|(model, version)| (model.clone(), version.to_string()));
        let models: BTreeMap<String, String> = texts.collect();
        let (weights, models) = match models.len() {
            1 => (models.into_values().collect(), BTreeMap::new()),
            _ => (String::new(), models),
        };
        let batch = EventBatch { incarnation: self.incarnation.to_string(), weights, ..EventBatch::default() };
        CacheReport { models, busy: Some(self.load.is_some()), ..CacheReport::from(batch) }
    }
}
