//! Replicas' events and reports as JSON.
use super::files::compare;
use prefix_table::event::{CacheEvent, CacheReport, EventBatch, NumberedEvent};

fn batch() -> EventBatch {
    let events = [
        CacheEvent::BlockStored {
            block_hashes: vec!["18446744073709551615".into(), "7".into()],
            parent_block_hash: Some("5".into()),
            block_size: 64,
        },
        CacheEvent::BlockStored { block_hashes: vec!["8".into()], parent_block_hash: None, block_size: 16 },
        CacheEvent::BlockRemoved { block_hashes: vec!["7".into()] },
        CacheEvent::PartCached { part_hash: u64::MAX, tokens: 900 },
        CacheEvent::PartCached { part_hash: 3, tokens: 0 },
        CacheEvent::AllBlocksCleared,
    ];
    EventBatch {
        incarnation: "4".into(),
        weights: "w1".into(),
        load: 3,
        next_sequence: 16,
        events: events.into_iter().zip(10..).map(|(event, seq)| NumberedEvent { sequence: seq, event }).collect(),
    }
}

#[test]
fn a_batch_with_every_kind_of_event() {
    let text = sonic_rs::to_string_pretty(&batch()).unwrap() + "\n";
    let stored = compare("batch.json", text.as_bytes());
    let read: EventBatch = sonic_rs::from_slice(&stored).unwrap();
    assert_eq!(read, batch());
    assert_eq!(sonic_rs::to_string_pretty(&read).unwrap() + "\n", text);
    let report: CacheReport = sonic_rs::from_slice(&stored).unwrap();
    assert_eq!(report, CacheReport::from(batch()), "what a report adds may be left out");
}

#[test]
fn a_report_with_all_that_it_may_say() {
    let report = CacheReport {
        batch: batch(),
        models: Default::default(),
        running: Some(4),
        waiting: Some(1),
        used_tokens: Some(70_000),
        total_tokens: Some(90_000),
        busy: Some(true),
        events_lost: true,
        full_listing: Some(vec![CacheEvent::PartCached { part_hash: 9, tokens: 12 }, CacheEvent::AllBlocksCleared]),
    };
    let text = sonic_rs::to_string_pretty(&report).unwrap() + "\n";
    let stored = compare("report.json", text.as_bytes());
    let read: CacheReport = sonic_rs::from_slice(&stored).unwrap();
    assert_eq!(read, report);
    assert_eq!(sonic_rs::to_string_pretty(&read).unwrap() + "\n", text);
}
