//! What an index node announces: filters to routers after enough changes, and the state of its replicas to routers and
//! other index nodes.
use crate::index_node::{IndexNode, Output};
use crate::replica_reports::same_states;
use crate::table::FilterPush;
use crate::tracked_replica::TrackedReplica;
use fleet_common::rpc::{Filter, ModelReport, NODES, ReplicaReport, Request, SEVERAL_WEIGHTS, StateReport, stage};
use std::collections::BTreeSet;
use std::time::Duration;

/// All reports are sent at least so often.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Changed loads are sent at most so often.
const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// A filter is pushed at most so often, while the one before may be trusted.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Changes after which a filter is pushed, where no configuration says otherwise.
const DEFAULT_CHANGES_PER_PUSH: u64 = 25;

/// The addresses that announcements go to, as of a version of the members.
#[derive(Default)]
pub(crate) struct Recipients {
    version: u64,
    routers: BTreeSet<String>,
    /// Routers and other index nodes.
    all: BTreeSet<String>,
}

impl IndexNode {
    /// The next filter of a replica to be sent, if its assignment is owned here.
    pub fn next_filter(&mut self, replica: &str) -> Option<Filter> {
        let fencing_token = self.owned_fencing_token(replica)?;
        let models = self.listed_models.get(replica).map_or(&[][..], Vec::as_slice);
        let tracked = self.replicas.get_mut(replica).filter(|tracked| tracked.fencing_token == Some(fencing_token))?;
        let items = tracked.table.items() as u32;
        let weights = match models {
            [] => tracked.table.weights(),
            [model] => tracked.table.weights_of(model),
            _ => SEVERAL_WEIGHTS,
        };
        let weights = weights.into();
        let FilterPush { filter, version } = tracked.table.next_push();
        let (bytes, bit_count, hash_count) = filter.into_parts();
        let (replica, index, bits) = (replica.into(), self.me.name.as_str().into(), bytes.into());
        Some(Filter { replica, index, fencing_token, version, weights, bit_count, hash_count, items, bits })
    }

    /// The report of a tracked replica: of each of its models where it is listed with several.
    pub(crate) fn replica_report(&self, replica: &str, fencing_token: u64) -> Option<StateReport> {
        let tracked = self.replicas.get(replica)?;
        let mut report = StateReport::from(ReplicaReport {
            replica: replica.into(),
            fencing_token,
            load: tracked.load.load,
            weights: "".into(),
            down: tracked.down.into(),
            minimum_version: tracked.table.minimum_version(),
            order: "".into(),
            stage: stage::NONE,
            running: tracked.load.running,
            waiting: tracked.load.waiting,
            used_tokens: tracked.load.used_tokens,
            total_tokens: tracked.load.total_tokens,
            order_in_progress: tracked.load.busy.into(),
        });
        match self.models_of(replica) {
            [] => report.replica.weights = tracked.table.weights().into(),
            [model] => {
                let ModelReport { weights, order, stage, .. } = self.model_report(tracked, model);
                let replica = &mut report.replica;
                (replica.weights, replica.order, replica.stage) = (weights, order, stage);
            }
            several => {
                let models: Vec<ModelReport> = several.iter().map(|model| self.model_report(tracked, model)).collect();
                report.models = models.into();
            }
        }
        Some(report)
    }

    fn model_report(&self, tracked: &TrackedReplica, model: &str) -> ModelReport {
        let order = self.order_stage(tracked, model);
        ModelReport {
            model: model.into(),
            weights: tracked.table.weights_of(model).into(),
            order: order.weights.as_str().into(),
            stage: order.stage,
        }
    }

    /// Sends the filters and reports that are due.
    pub(crate) fn announce(&mut self) {
        let newcomers = self.refresh_recipients();
        let tracked: Vec<String> = self.replicas.keys().cloned().collect();
        for replica in &tracked {
            self.push_filter(replica, &newcomers);
        }
        self.announce_reports(newcomers);
    }

    /// Takes the recipients from the fleet's members. Returns those that are new.
    fn refresh_recipients(&mut self) -> Vec<String> {
        let version = self.fleet.versions[NODES];
        if self.recipients.version == version {
            return Vec::new();
        }
        let addresses = |kind: &str| -> BTreeSet<String> {
            let members = self.fleet.nodes.values().filter(|member| member.kind == kind);
            members.map(|member| member.at.clone()).collect()
        };
        let (routers, mut all) = (addresses("edge"), addresses("index"));
        all.remove(&self.me.address);
        all.extend(routers.iter().cloned());
        let newcomers = all.difference(&self.recipients.all).cloned().collect();
        self.recipients = Recipients { version, routers, all };
        newcomers
    }

    /// Whether a replica's filter goes to all routers: after enough changes, but not too often; at once where the one
    /// before may not be trusted any more.
    fn push_is_due(&self, replica: &str) -> bool {
        let configuration = self.fleet.fleet_config.as_ref();
        let changes = configuration.map_or(DEFAULT_CHANGES_PER_PUSH, |configuration| configuration.index.beta);
        self.replicas.get(replica).is_some_and(|tracked| {
            let last_push = tracked.pushed_at;
            let is_recent = last_push.is_some_and(|at| self.now.saturating_sub(at) < MIN_PUSH_INTERVAL);
            tracked.table.push_is_due(changes) && (!is_recent || tracked.table.last_push_is_outdated())
        })
    }

    /// Sends a replica's filter to all routers if it is due, else to new routers.
    fn push_filter(&mut self, replica: &str, newcomers: &[String]) {
        if self.active_fencing_token(replica).is_none() {
            return;
        }
        let is_due = self.push_is_due(replica);
        let routers = &self.recipients.routers;
        let to: Vec<String> = match is_due {
            true => routers.iter().cloned().collect(),
            false => newcomers.iter().filter(|address| routers.contains(*address)).cloned().collect(),
        };
        if to.is_empty() {
            return;
        }
        let Some(filter) = self.next_filter(replica) else { return };
        let Some(tracked) = self.replicas.get_mut(replica) else { return };
        if is_due {
            tracked.pushed_at = Some(self.now);
        }
        tracked.pushes += to.len() as u64;
        tracked.pushed_bytes += (to.len() * filter.bits.as_slice().len()) as u64;
        let messages = to.into_iter().map(|address| Output::Send(address, Request::FilterPush(filter.clone())));
        self.outputs.extend(messages);
    }

    /// Sends reports. A changed state is sent at once, and alone; all reports together when loads changed, but not too
    /// often, and every second in any case.
    fn announce_reports(&mut self, newcomers: Vec<String>) {
        let reports = self.present_reports();
        if reports.is_empty() {
            self.announced.clear();
            return;
        }
        let last = |report: &StateReport| self.announced.get(report.replica.replica.as_str());
        let state_changed = |report: &StateReport| !last(report).is_some_and(|last| same_states(last, report));
        let changed: Vec<StateReport> = reports.iter().filter(|report| state_changed(report)).cloned().collect();
        let any_differs = reports.iter().any(|report| last(report) != Some(report));
        let age = self.announced_at.map_or(FULL_REPORT_INTERVAL, |at| self.now.saturating_sub(at));
        if age >= FULL_REPORT_INTERVAL || (any_differs && age >= MIN_LOAD_REPORT_INTERVAL) {
            self.announced_at = Some(self.now);
            self.announced.clear();
            return self.send_to_all(reports);
        }
        for newcomer in newcomers {
            let messages = report_messages(&reports).into_iter();
            self.outputs.extend(messages.map(|message| Output::Send(newcomer.clone(), message)));
        }
        if !changed.is_empty() {
            self.send_to_all(changed);
        }
    }

    /// The reports of all replicas that are owned here; none without a valid lease. What a replica with several models runs
    /// is in no snapshot of its table: nothing is reported of it before it was heard.
    fn present_reports(&self) -> Vec<StateReport> {
        if !self.has_valid_lease() {
            return Vec::new();
        }
        let is_known =
            |(replica, tracked): &(&String, &TrackedReplica)| tracked.reported || self.models_of(replica).len() < 2;
        let tracked = self.replicas.iter().filter(is_known).map(|(replica, _)| replica);
        tracked.filter_map(|replica| self.replica_report(replica, self.active_fencing_token(replica)?)).collect()
    }

    fn send_to_all(&mut self, reports: Vec<StateReport>) {
        for message in report_messages(&reports) {
            let messages = self.recipients.all.iter().map(|address| Output::Send(address.clone(), message.clone()));
            self.outputs.extend(messages);
        }
        let announced = reports.into_iter().map(|report| (report.replica.replica.to_string(), report));
        self.announced.extend(announced);
    }
}

/// The messages that carry these reports: one for replicas with one model, one for those with several.
fn report_messages(reports: &[StateReport]) -> Vec<Request> {
    let (of_one, of_several): (Vec<&StateReport>, Vec<&StateReport>) =
        reports.iter().partition(|report| report.models.items().is_empty());
    let mut messages = Vec::new();
    if !of_one.is_empty() {
        let reports: Vec<ReplicaReport> = of_one.into_iter().map(|report| report.replica.clone()).collect();
        messages.push(Request::ReplicaReports(reports.into()));
    }
    if !of_several.is_empty() {
        let reports: Vec<StateReport> = of_several.into_iter().cloned().collect();
        messages.push(Request::StateReports(reports.into()));
    }
    messages
}
