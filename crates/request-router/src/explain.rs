//! What is remembered of each request, so that it can be explained afterwards.
use fleet_common::json::quote;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

const KEPT: usize = 4096;

/// One request's story.
#[derive(Clone, Debug)]
pub struct Explain {
    pub begun: Instant,
    pub tenant: String,
    pub kind: String,
    pub session: String,
    pub steps: Vec<(Duration, String)>,
    pub outcome: String,
}

impl Default for Explain {
    fn default() -> Self {
        Explain {
            begun: Instant::now(),
            tenant: String::new(),
            kind: String::new(),
            session: String::new(),
            steps: Vec::new(),
            outcome: "running".into(),
        }
    }
}

impl Explain {
    pub fn step(&mut self, what: impl ToString) {
        self.steps.push((self.begun.elapsed(), what.to_string()));
    }

    fn words(&self, id: &str) -> String {
        let steps: Vec<String> = self
            .steps
            .iter()
            .map(|(at, what)| format!("{{\"atMs\":{:.1},\"what\":{}}}", at.as_secs_f64() * 1000.0, quote(what)))
            .collect();
        format!(
            "{{\"request\":{},\"tenant\":{},\"kind\":{},\"session\":{},\"outcome\":{},\"steps\":[{}]}}",
            quote(id),
            quote(&self.tenant),
            quote(&self.kind),
            quote(&self.session),
            quote(&self.outcome),
            steps.join(",")
        )
    }
}

/// The last few thousand stories.
#[derive(Default)]
pub struct Explains {
    stories: IndexMap<String, Explain>,
}

impl Explains {
    pub fn keep(&mut self, id: &str, story: Explain) {
        self.stories.insert(id.to_string(), story);
        if self.stories.len() > KEPT {
            self.stories.drain(..KEPT / 8);
        }
    }

    pub fn words(&self, id: &str) -> Option<String> {
        self.stories.get(id).map(|story| story.words(id))
    }

    pub fn latest(&self, most: usize) -> Vec<String> {
        self.stories.keys().rev().take(most).cloned().collect()
    }
}
