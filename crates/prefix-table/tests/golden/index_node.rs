//! All that an index node sends and answers in a fixed course of things.
use super::files::{compare, compare_messages};
use super::nodes::{Core, identity, replica, report};
use control_state::fleet::STORE_MODEL;
use fleet_common::rpc::{Filter, ReplicaReport, Request, Response, TransferReport, stage};
use prefix_table::event::{CacheEvent, CacheReport};
use prefix_table::index_node::{IndexNode, Input, OrderAnswer, OrderOutcome, Output};
use prefix_table::rollout_progress::RolloutCounts;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);

struct Course {
    core: Core,
    index_node: IndexNode,
    now: Duration,
    asks: Vec<Request>,
    others: String,
}

fn answered(replica: &str, outcome: OrderOutcome) -> Input {
    let (model, weights) = ("m".into(), "w2".into());
    Input::OrderAnswered(OrderAnswer { replica: replica.into(), model, weights, outcome: Ok(outcome) })
}

impl Course {
    fn new() -> Self {
        let replicas = vec![replica("r1", "m"), replica("r2", "m"), replica("s", STORE_MODEL)];
        let mut core = Core::new(&["i1"], &["e1"], replicas, 60);
        ["r1", "r2", "s"].iter().for_each(|id| core.give(id, "i1"));
        let index_node = IndexNode::new(identity("i1"));
        Course { core, index_node, now: Duration::ZERO, asks: Vec::new(), others: String::new() }
    }

    fn step(&mut self, input: Input) {
        for output in self.index_node.step(self.now, input) {
            let at_ms = self.now.as_millis();
            match output {
                Output::Send(to, ask) => {
                    self.others += &format!("{at_ms} message {} to {to}\n", self.asks.len());
                    self.asks.push(ask);
                }
                Output::Poll { replica, at, fence, incarnation, from, is_store, ordered } => {
                    self.others += &format!(
                        "{at_ms} poll {replica} at {at} fence {fence} incarnation {incarnation:?} from {from} {is_store} {ordered}\n"
                    );
                }
                Output::Order { replica, at, fence, model, has_several_models: false, weights } => {
                    self.others += &format!("{at_ms} order {replica} at {at} fence {fence}: {model} {weights}\n");
                }
                order @ Output::Order { .. } => panic!("replicas have one model each: {order:?}"),
                Output::Command(replica, command) => {
                    self.others += &format!("{at_ms} command {replica:?} {}\n", sonic_rs::to_string(&command).unwrap());
                }
                Output::FetchSnapshot { replica, at } => self.others += &format!("{at_ms} fetch {replica} from {at}\n"),
                Output::Log(_) => {}
            }
        }
    }

    fn pull(&mut self) {
        let pulled = self.core.pulled();
        self.step(Input::Pulled(self.now, pulled));
    }

    fn ticks(&mut self, times: usize) {
        for _ in 0..times {
            self.now += TICK;
            if self.now.as_millis().is_multiple_of(1000) {
                self.pull();
            }
            self.step(Input::Tick);
        }
    }

    fn hear(&mut self, id: &str, report: CacheReport) {
        let fence = self.index_node.owned_fencing_token(id).unwrap();
        self.step(Input::Polled(id.into(), fence, Ok(report)));
    }

    fn run() -> Self {
        let mut course = Course::new();
        course.pull();
        course.ticks(4);
        let stored = |hashes: &[&str]| CacheEvent::BlockStored {
            block_hashes: hashes.iter().map(|hash| hash.to_string()).collect(),
            parent_block_hash: None,
            block_size: 64,
        };
        let parts =
            (0..30).map(|number| CacheEvent::PartCached { part_hash: number * 11, tokens: 90 + number }).collect();
        let full = CacheReport {
            running: Some(2),
            waiting: Some(3),
            used_tokens: Some(70_000),
            total_tokens: Some(90_000),
            busy: Some(false),
            ..report("w1", 9, 0, parts)
        };
        course.hear("r1", full);
        course.hear("r2", report("w1", 1, 0, vec![stored(&["7", "8", "9"])]));
        course.hear("s", report("", 0, 0, vec![stored(&["11"])]));
        course.ticks(30);
        course.core.blueprint.models.get_mut("m").unwrap().weights = "w2".into();
        course.pull();
        course.ticks(30);
        course.step(answered("r1", OrderOutcome::Accepted));
        course.step(answered("r2", OrderOutcome::Busy));
        course.ticks(20);
        course.hear("r1", report("w2", 0, 30, vec![CacheEvent::AllBlocksCleared]));
        course.ticks(30);
        course.step(Input::Polled(
            "r2".into(),
            course.index_node.owned_fencing_token("r2").unwrap(),
            Err("refused".into()),
        ));
        course.ticks(20);
        course
    }
}

#[test]
fn messages_to_routers_and_peers_orders_and_commands() {
    let mut course = Course::run();
    course.core.members.remove("e1");
    course.step(Input::Leave);
    compare_messages("index_messages.hex", &course.asks);
    compare("index_course.txt", course.others.as_bytes());
    let (mut filters, mut reports) = (0, 0);
    for ask in &course.asks {
        match ask {
            Request::FilterPush(_) => filters += 1,
            Request::ReplicaReports(_) => reports += 1,
            _ => {}
        }
    }
    assert!(filters > 2 && reports > 5, "{filters} filters, {reports} load reports");
}

#[test]
fn a_filter_and_a_load_report() {
    let filter = Filter {
        replica: "r1".into(),
        index: "i1".into(),
        fencing_token: 3,
        version: 4,
        weights: "w1".into(),
        bit_count: 64,
        hash_count: 2,
        items: 5,
        bits: vec![1, 2, 3, 4, 5, 6, 7, 8].into(),
    };
    let news = ReplicaReport {
        replica: "r1".into(),
        fencing_token: 3,
        load: 7,
        weights: "w1".into(),
        down: 1,
        minimum_version: 2,
        order: "w2".into(),
        stage: stage::LATE,
        running: 4,
        waiting: 3,
        used_tokens: 70_000,
        total_tokens: 90_000,
        order_in_progress: 1,
    };
    compare_messages("push_and_news.hex", &[Request::FilterPush(filter), Request::ReplicaReports(vec![news].into())]);
}

#[test]
fn answers_to_routers_and_peers() {
    let mut course = Course::run();
    let now = course.now;
    let tried = |request: &str, source: &str, block| {
        Request::TransferReport(TransferReport {
            request: request.into(),
            router: "e1".into(),
            source: source.into(),
            block,
            filter_version: 3,
            expected_ms: 12,
            first_chunk_ms: 34,
        })
    };
    let asks = [
        tried("q1", "r2", 7),
        tried("q1", "r2", 1_000_007),
        tried("q1", "r1", 11),
        tried("q\"2", "r9", 7),
        Request::Query("explain/q1".into()),
        Request::Query("explain/q\"2".into()),
        Request::Query("explain/q3".into()),
        Request::Query("other".into()),
        Request::FilterPull("r2".into()),
        Request::FilterPull("r9".into()),
        Request::TablePull("r2".into()),
        Request::TablePull("r9".into()),
        Request::ReplicaReports(vec![].into()),
        Request::Command(vec![].into()),
    ];
    let mut answers: Vec<Response> = asks.into_iter().map(|ask| course.index_node.answer(now, ask)).collect();
    let Some(Response::Table(copy)) = answers.iter().find(|answer| matches!(answer, Response::Table(_))).cloned()
    else {
        panic!("a table is answered")
    };
    answers.push(course.index_node.answer(now, Request::TablePush(copy)));
    compare_messages("index_answers.hex", &answers);
    let texts: Vec<String> = answers
        .iter()
        .filter_map(|answer| match answer {
            Response::Json(text) => Some(String::from_utf8_lossy(text.as_slice()).to_string()),
            Response::Rejected(why) => Some(format!("refused: {why}")),
            _ => None,
        })
        .collect();
    compare("index_answers.txt", (texts.join("\n") + "\n").as_bytes());
}

#[test]
fn counts_of_a_rollout_as_json() {
    let counts = RolloutCounts { serving: 1, loading: 2, failed: 3, waiting: 4, away: 5 };
    compare("rollout_counts.json", (sonic_rs::to_string(&counts).unwrap() + "\n").as_bytes());
}
