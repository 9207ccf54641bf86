//! What replicas on expired weights must not do to a roll-out.
use fleet_common::ask::stage;
use prefix_table::rolling::{Row, Turn, at_once, turn};

fn row(at: usize, weights: &str, stage: u8, expired: bool) -> Row {
    let weights = weights.into();
    Row { id: format!("r{at}"), weights, stage, down: false, leaving: false, silent: false, expired }
}

/// All replicas are ordered at once when all count as expired, also if just one naming before was dropped or a second
/// one comes while they load what the first one named (they still report what they ran before, and answer "busy").
#[test]
fn a_second_naming_does_not_send_all_away_at_once() {
    // All load 2 (ordered when 1 expired); 3 is named meanwhile: the order for 2 does not count for 3.
    let rows: Vec<Row> = (0..18).map(|at| row(at, "1", stage::NONE, true)).collect();
    let go = rows.iter().filter(|row| turn(&rows, &row.id, "3", 70) == Turn::Now).count();
    assert!(go <= at_once(18, 70), "{go} of 18 go on to weights 3 before they served weights 2");
}

/// A replica that runs newer weights than this node wants is not sent back at once.
#[test]
fn a_replica_on_newer_weights_is_not_sent_back() {
    let rows: Vec<Row> = (0..10).map(|at| row(at, "3", stage::NONE, true)).collect();
    let back = rows.iter().filter(|row| turn(&rows, &row.id, "2", 70) == Turn::Now).count();
    assert!(back <= at_once(10, 70), "{back} of 10 replicas on weights 3 are ordered to load weights 2");
}
