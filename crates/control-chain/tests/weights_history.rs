//! Older weights serve for a bounded time after the first newer ones were named, however many follow, and a node
//! that was started anew does not count that time from its start.
use control_chain::fleet::Fleet;
use control_chain::weights::{OlderWeights, Superseded, WeightsHistory};
use fleet_common::ask::{CONFIGURATION, CORES, Versioned, WEIGHTS};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const BOUNDS: OlderWeights =
    OlderWeights { after_naming: Duration::from_secs(14), after_start: Duration::from_millis(2500) };

const MODEL: &str = "m1";

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn news(source: usize, version: u64, text: &str) -> Versioned {
    Versioned { source: source as u8, version, value: text.as_bytes().to_vec().into() }
}

fn configuration() -> Versioned {
    let text = r#"{"revision":1,"services":{"s1":{"row":{"engine":{"slots":8,"models":["m1"]}}}}}"#;
    news(CONFIGURATION, 1, text)
}

fn weights(version: u64, revision: u64) -> Versioned {
    news(WEIGHTS, version, &format!("{{\"{MODEL}\":{revision}}}"))
}

fn named(fleet: &Fleet) -> String {
    fleet.blueprint.as_ref().unwrap().models[MODEL].weights.clone()
}

/// A fleet that begins with weights 1, and learns of weights 2 after 5 s and of 3 after 15 s.
fn after_two_namings() -> (Fleet, [String; 3]) {
    let mut fleet = Fleet::default();
    fleet.take_all(seconds(0), &[configuration()]);
    let first = named(&fleet);
    fleet.take_all(seconds(5), &[weights(2, 2)]);
    let second = named(&fleet);
    fleet.take_all(seconds(15), &[weights(3, 3)]);
    let third = named(&fleet);
    (fleet, [first, second, third])
}

#[test]
fn a_second_naming_gives_the_oldest_weights_no_more_time() {
    let (fleet, [first, second, third]) = after_two_namings();
    let until = |weights: &str| fleet.weights_history.serves_until(MODEL, weights, BOUNDS);
    assert_eq!(until(&first), Some(seconds(19)));
    assert_eq!(until(&second), Some(seconds(29)));
    assert_eq!(until(&third), None);
}

#[test]
fn a_node_that_is_started_anew_does_not_begin_the_time_anew() {
    let (_, [first, second, third]) = after_two_namings();
    let mut fleet = Fleet::default();
    fleet.take_all(seconds(40), &[configuration(), weights(3, 3)]);
    assert_eq!(named(&fleet), third);
    for older in [first, second] {
        let until = fleet.weights_history.serves_until(MODEL, &older, BOUNDS).unwrap();
        assert_eq!(until, seconds(40) + BOUNDS.after_start, "{older}");
    }
    // What it sees named itself has the whole time.
    fleet.take_all(seconds(50), &[weights(4, 4)]);
    assert_eq!(fleet.weights_history.serves_until(MODEL, &third, BOUNDS), Some(seconds(64)));
}

#[rstest]
#[case::machines_replaced(&[(10, r#"["a","b","d"]"#)], Some(10))]
#[case::changes_of_one_trouble(&[(10, r#"["a","b","c"]"#), (13, r#"["a","b","d"]"#)], Some(10))]
#[case::two_troubles(&[(10, r#"["a","b","c"]"#), (16, r#"["a","b","d"]"#)], Some(16))]
#[case::a_machine_dropped_at_last(&[(10, r#"["a","b"]"#)], None)]
#[case::nothing(&[], None)]
fn changes_of_the_control_machines_tell_of_trouble(#[case] changes: &[(u64, &str)], #[case] trouble: Option<u64>) {
    let mut fleet = Fleet::default();
    fleet.take_all(seconds(0), &[news(CORES, 1, r#"["a","b","c"]"#)]);
    for (version, (at, list)) in (2..).zip(changes) {
        fleet.take_all(seconds(*at), &[news(CORES, version, list)]);
    }
    assert_eq!(fleet.core_trouble, trouble.map(seconds));
}

proptest! {
    /// Against a plain model: of all namings in order, the first one after a weights' own counts.
    #[test]
    fn the_first_newer_naming_counts(pauses in prop::collection::vec(1u64..30, 1..12)) {
        let mut history = WeightsHistory::default();
        let mut now = 0;
        let mut times = Vec::new();
        for (number, pause) in pauses.iter().enumerate() {
            now += pause;
            history.note(MODEL, &format!("w{number}"), seconds(now), number == 0);
            times.push(now);
        }
        for number in 0..times.len() {
            let wanted = times.get(number + 1).map(|at| Superseded::At(seconds(*at)));
            prop_assert_eq!(history.superseded(MODEL, &format!("w{number}")), wanted);
        }
        prop_assert_eq!(history.superseded(MODEL, "never named"), Some(Superseded::BeforeStart(seconds(times[0]))));
    }
}
