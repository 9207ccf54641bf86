//! What many calls came to, printed as JSON.
use crate::checks::CheckedResponse;
use crate::job::Job;
use fleet_common::json;
use std::collections::BTreeMap;

/// Figures of many calls.
#[derive(Default)]
pub(crate) struct Figures {
    calls: u64,
    whole: u64,
    cut: u64,
    wrong: Vec<String>,
    statuses: BTreeMap<u16, u64>,
    tenants: BTreeMap<String, (u64, u64)>,
    kinds: BTreeMap<String, (u64, u64)>,
    no_retry_after: u64,
    sourced: u64,
    reasons: BTreeMap<String, u64>,
    weights: BTreeMap<String, u64>,
    first_us: Vec<u64>,
    gap_us: Vec<u64>,
    refusals: BTreeMap<String, u64>,
}

fn spread(mut all: Vec<u64>) -> String {
    all.sort_unstable();
    let at = |share: usize| all.get((all.len().saturating_sub(1)) * share / 1000).copied().unwrap_or(0) as f64 / 1000.0;
    format!(
        "{{\"n\":{},\"p50Ms\":{:.2},\"p90Ms\":{:.2},\"p99Ms\":{:.2},\"maxMs\":{:.2}}}",
        all.len(),
        at(500),
        at(900),
        at(990),
        at(1000)
    )
}

impl Figures {
    pub(crate) fn take(&mut self, job: &Job, result: &CheckedResponse) {
        let header = |name: &str| result.header(name).map(str::to_string);
        self.calls += 1;
        self.whole += u64::from(result.complete);
        self.cut += u64::from(result.truncated);
        let tenant = self.tenants.entry(job.tenant.clone()).or_default();
        tenant.0 += 1;
        tenant.1 += u64::from(result.complete);
        let kind = self.kinds.entry(job.kind.to_string()).or_default();
        kind.0 += 1;
        kind.1 += u64::from(result.complete);
        *self.statuses.entry(result.status).or_default() += 1;
        if [429, 503].contains(&result.status) && header("retry-after").is_none() {
            self.no_retry_after += 1;
        }
        if result.violation.is_some() {
            self.wrong.extend(result.violation.clone());
        }
        if result.complete {
            self.first_us.push(result.first_us);
            self.gap_us.push(result.gap_us);
            self.sourced += u64::from(header("x-cache-source").is_some());
            *self.reasons.entry(header("x-place-reason").unwrap_or_default()).or_default() += 1;
            *self.weights.entry(result.weights.clone()).or_default() += 1;
        }
    }

    /// Counts refusals after which a caller came back, by their reasons.
    pub(crate) fn take_refusals(&mut self, reasons: Vec<String>) {
        for reason in reasons {
            *self.refusals.entry(reason).or_default() += 1;
        }
    }

    pub(crate) fn words(&self) -> String {
        format!(
            "{{\"calls\":{},\"whole\":{},\"cut\":{},\"wrong\":{},\"firstWrong\":{},\"noRetryAfter\":{},\"refusals\":{},\"sourced\":{},\"statuses\":{},\"reasons\":{},\"weights\":{},\"tenants\":{},\"kinds\":{},\"firstPiece\":{},\"longestGap\":{}}}",
            self.calls,
            self.whole,
            self.cut,
            self.wrong.len(),
            json::quote(self.wrong.first().map_or("", |w| w.as_str())),
            self.no_retry_after,
            sonic_rs::to_string(&self.refusals).unwrap_or_default(),
            self.sourced,
            sonic_rs::to_string(&self.statuses.iter().map(|(k, v)| (k.to_string(), *v)).collect::<BTreeMap<_, _>>())
                .unwrap_or_default(),
            sonic_rs::to_string(&self.reasons).unwrap_or_default(),
            sonic_rs::to_string(&self.weights).unwrap_or_default(),
            sonic_rs::to_string(&self.tenants).unwrap_or_default(),
            sonic_rs::to_string(&self.kinds).unwrap_or_default(),
            spread(self.first_us.clone()),
            spread(self.gap_us.clone())
        )
    }
}
