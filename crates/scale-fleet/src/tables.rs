//! One table alone, without a fleet around it: what an event costs while few removals are remembered, and
//! when as many are as it keeps.
use prefix_index::Batch;
use prefix_table::event::Numbered;
use prefix_table::table::{Shape, Table};
use scale_fleet::events::event;
use std::time::{Duration, Instant};

const BITS: u32 = 32_768;
const FEW: u64 = 14_000;
const MANY: u64 = 20_000;

fn microseconds(table: &mut Table, seed: u64, parts: u64, count: u64) -> f64 {
    let from = table.wanted().1;
    let next = from + count;
    let events = (from..next).map(|seq| Numbered { seq, event: event(seed, parts, seq) }).collect();
    let batch = Batch { incarnation: "1".into(), weights: "1".into(), load: 0, next, events };
    let begun = Instant::now();
    table.apply(Duration::ZERO, &batch);
    begun.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// A row for each size and seed: microseconds an event.
pub fn rows(sizes: &[u64], seeds: std::ops::Range<u64>) -> String {
    let mut text =
        "| parts | seed | filling | few removed | many removed |\n| --- | --- | --- | --- | --- |\n".to_string();
    for (parts, seed) in sizes.iter().flat_map(|parts| seeds.clone().map(move |seed| (*parts, seed))) {
        let mut table = Table::new(Shape { bits: BITS, hashes: 0 }, Duration::ZERO);
        let mut took = |count| microseconds(&mut table, seed, parts, count);
        let (filling, few, _, many) = (took(parts), took(FEW), took(MANY), took(MANY));
        text += &format!("| {parts} | {seed} | {filling:.2} | {few:.2} | {many:.2} |\n");
    }
    text
}
