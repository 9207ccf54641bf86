//! Fits, counts, sizes and made-up events against what they must give.
use prefix_index::{PollAsk, Replicas};
use prefix_table::event::Event;
use prefix_table::table::{Shape, Table};
use scale_fleet::events::{Hollow, event};
use scale_fleet::{fit, made_up, size, usage};
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn a_line_with_noise_comes_back_within_its_spread() {
    let noise = |n: u64| (fleet_common::hash::mix(n) % 1000) as f64 / 1000.0 - 0.5;
    let points: Vec<(f64, f64)> = (0..60).map(|n| (n as f64, 4.0 + 0.25 * n as f64 + noise(n))).collect();
    let line = fit::line(&points).unwrap();
    assert!((line.slope - 0.25).abs() < 3.0 * line.spread, "{line:?}");
    assert!(line.spread > 0.0 && line.explained > 0.9, "{line:?}");
}

#[test]
fn a_flat_line_is_explained_and_two_points_are_none() {
    let flat = fit::line(&[(1.0, 2.0), (2.0, 2.0), (3.0, 2.0)]).unwrap();
    assert_eq!((flat.slope, flat.spread, flat.explained), (0.0, 0.0, 1.0));
    assert_eq!(fit::line(&[(1.0, 2.0), (2.0, 2.0)]), None);
}

#[test]
fn made_up_events_keep_as_many_parts_as_were_asked_for() {
    let mut held = BTreeSet::new();
    for number in 0..500 {
        let Event::PartKept { part_hash, tokens } = event(7, 20, number) else { panic!("another event") };
        assert!(if tokens > 0 { held.insert(part_hash) } else { held.remove(&part_hash) }, "event {number}");
        assert!(held.len() <= 21 && (number < 20 || held.len() >= 20), "event {number}");
    }
}

#[test]
fn a_table_follows_hollow_replicas_without_a_gap() {
    let hollow = Hollow::new(400.0, 50, 3);
    let mut table = Table::new(Shape { bits: 32_768, hashes: 0 }, Duration::ZERO);
    for _ in 0..4 {
        let (incarnation, from) = table.wanted();
        let ask = PollAsk {
            replica: "r".into(),
            at: String::new(),
            incarnation: incarnation.into(),
            from,
            is_store: false,
            ordered: false,
        };
        table.take(Duration::ZERO, &hollow.poll(&ask).unwrap());
    }
    let (weights, gaps, _) = table.facts();
    assert_eq!((weights, gaps), ("1", 0));
    assert!((50..=51).contains(&table.items()), "{}", table.items());
}

#[test]
fn a_change_by_name_fits_the_configuration_it_is_over() {
    let whole = made_up::configuration(9, 1);
    let next = made_up::change(9, 2).over(&whole);
    assert_eq!((next.fault(), next.tenants.len(), next.revision), (None, 9, 2));
    assert_ne!(next.tenants, whole.tenants);
}

#[test]
fn each_axis_is_tried_alone() {
    let lists = [vec![1, 2], vec![1, 3], vec![1, 4], vec![1, 5], vec![1, 6]];
    let tried = size::tried(&lists, 9);
    assert_eq!(tried.len(), 6);
    for (axis, size) in &tried[1..] {
        let moved: Vec<&str> = size::AXES.into_iter().filter(|a| size.along(a) != 1).collect();
        assert_eq!((moved, size.seed), (vec![axis.as_str()], 9));
    }
}

#[test]
fn a_broken_account_is_none() {
    assert_eq!(usage::read("7 (a", "VmRSS: 1 kB\nThreads: 1\n", 100.0), None);
    assert_eq!(usage::read("7 (a) S 1 2", "VmRSS: 1 kB\nThreads: 1\n", 100.0), None);
}
