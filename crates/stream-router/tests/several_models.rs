//! Placements at replicas with one to four models, from seeds: each request by the version of its own model.
#[allow(dead_code)]
#[path = "golden/replica.rs"]
mod replica;
#[allow(dead_code)]
#[path = "golden/router.rs"]
mod router;

use control_state::process_instant::ProcessInstant;
use fleet_common::hash::SeededRng;
use fleet_common::rpc::{self, ModelReport, ReplicaReport, Request, SourceUpdate, StateReport, stage};
use std::collections::BTreeMap;
use stream_router::dialect::RequestInfo;
use stream_router::peer_requests::answer;
use stream_router::placement::{Placement, PlacementOutcome, place};
use stream_router::request_context::RequestContext;
use stream_router::state::RouterState;

const SEEDS: u64 = 300;
const REPLICAS: u64 = 6;
const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];
const NEWEST: u64 = 3;
const SERVICE: &str = "s1";

/// One model of a replica.
#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    is_loading: bool,
}

/// A replica's models by name.
type Models = BTreeMap<&'static str, Held>;

/// The replicas of a run.
#[derive(Debug)]
struct Fleet {
    replicas: Vec<Models>,
}

impl Fleet {
    fn drawn(rng: &mut SeededRng) -> Fleet {
        let replicas = (0..REPLICAS).map(|_| {
            let first = rng.next(MODELS.len() as u64) as usize;
            let count = 1 + rng.next(MODELS.len() as u64) as usize;
            let names = MODELS.iter().cycle().skip(first).take(count);
            names.map(|name| (*name, Held { version: 1 + rng.next(NEWEST), is_loading: rng.next(4) == 0 })).collect()
        });
        Fleet { replicas: replicas.collect() }
    }

    fn list(&self) -> String {
        let row = |(number, models): (usize, &Models)| {
            let names: Vec<String> = models.keys().map(|name| format!("\"{name}\"")).collect();
            let (first, others) = names.split_first().unwrap();
            let at = format!("127.0.0.1:{}", number + 1);
            format!(
                r#"{{"id":"r{number}","at":"{at}","model":{first},"other_models":[{}],"district":"z1","leaving":false,"service":"{SERVICE}"}}"#,
                others.join(",")
            )
        };
        let rows: Vec<String> = self.replicas.iter().enumerate().map(row).collect();
        format!("[{}]", rows.join(","))
    }

    fn report(&self, number: usize) -> StateReport {
        let model = |(name, held): (&&str, &Held)| ModelReport {
            model: (*name).into(),
            weights: held.version.to_string().as_str().into(),
            order: if held.is_loading { "9".into() } else { "".into() },
            stage: if held.is_loading { stage::LOADING } else { stage::NONE },
        };
        let models: Vec<ModelReport> = self.replicas[number].iter().map(model).collect();
        let mut replica = ReplicaReport {
            replica: format!("r{number}").as_str().into(),
            fencing_token: 1,
            load: 0,
            weights: "".into(),
            down: 0,
            minimum_version: 1,
            order: "".into(),
            stage: stage::NONE,
            running: 0,
            waiting: 0,
            used_tokens: 0,
            total_tokens: 0,
            order_in_progress: 0,
        };
        if let [only] = models.as_slice() {
            (replica.weights, replica.order, replica.stage) = (only.weights.clone(), only.order.clone(), only.stage);
            return replica.into();
        }
        StateReport { replica, models: models.into() }
    }

    /// Tells a router of the list, the releases and the reports.
    fn tell(&self, router: &RouterState) {
        let weights = MODELS.map(|name| format!("\"{name}\":{NEWEST}")).join(",");
        let source =
            |source: usize, value: Vec<u8>| SourceUpdate { source: source as u8, version: 2, value: value.into() };
        let updates = [
            source(rpc::REPLICAS, self.list().into_bytes()),
            source(rpc::WEIGHTS, format!("{{{weights}}}").into_bytes()),
        ];
        let now = ProcessInstant::at(router.now());
        router.fleet.update(|fleet| {
            assert!(fleet.apply_all(&updates));
            for (name, version) in MODELS.into_iter().flat_map(|name| (1..=NEWEST).map(move |version| (name, version)))
            {
                fleet.releases.record_release(name, &version.to_string(), version, now);
            }
        });
        for number in 0..self.replicas.len() {
            let report = self.report(number);
            let told = match report.models.items() {
                [] => Request::ReplicaReports(vec![report.replica].into()),
                _ => Request::StateReports(vec![report].into()),
            };
            answer(router, told);
        }
    }

    /// What is wrong with a placement of a request for a model.
    fn fault(&self, model: &'static str, placement: &Placement) -> Option<&'static str> {
        let number: usize = placement.replica[1..].parse().unwrap();
        let Some(held) = self.replicas[number].get(model) else { return Some("the replica does not have the model") };
        let is_idle = |models: &Models| models.get(model).is_some_and(|held| !held.is_loading);
        if placement.weights != held.version.to_string() {
            return Some("the version is not that of the model at the replica");
        }
        if !placement.cache_salt.ends_with(&format!(".{}", held.version)) {
            return Some("the salt is not of that version");
        }
        if placement.model != model {
            return Some("the placement is for another model");
        }
        (held.is_loading && self.replicas.iter().any(is_idle))
            .then_some("the replica loads the model, another does not")
    }
}

fn request(model: &str) -> RequestContext {
    let mut context = RequestContext::new(Default::default(), Vec::new());
    context.info = RequestInfo { id: "q".into(), model: model.into(), ..RequestInfo::default() };
    context.service = SERVICE.into();
    context
}

/// Guards against requests that are placed by the version, the load or the order of another model (review/2).
#[test]
fn each_request_is_placed_by_its_own_model() {
    let (mut placed, mut refused) = (0, 0);
    for seed in 0..SEEDS {
        let fleet = Fleet::drawn(&mut SeededRng::new(seed));
        let router = router::configured(&[]);
        fleet.tell(&router);
        for model in MODELS {
            let is_there = fleet.replicas.iter().any(|models| models.contains_key(model));
            match place(&router, &request(model)) {
                PlacementOutcome::Placed(placement) if is_there => {
                    placed += 1;
                    assert_eq!(
                        fleet.fault(model, &placement),
                        None,
                        "seed {seed}, {model}: {placement:?} in {fleet:?}"
                    );
                }
                PlacementOutcome::Placed(_) => {}
                PlacementOutcome::NoReplica => refused += 1,
            }
        }
    }
    assert!(placed > 900, "{placed} placed, {refused} refused");
}
