//! Proposer and acceptor of the decision on the next view, without replicas round them.
use chain_replication::ballot::Ballot;
use chain_replication::hard_state::HardState;
use chain_replication::message::{Accepted, Prepare, Promise};
use chain_replication::paxos::{Acceptor, ProposalTurn, Proposer};
use chain_replication::timing::{PROPOSAL_RETRY, PROPOSAL_STAGGER, STARTUP_GRACE};
use chain_replication::view::{AcceptedView, MemberAddress, View};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);
const MAJORITY: usize = 2;
const FIRST: ProposalTurn = ProposalTurn { alive_ahead: 0, position: 0 };

fn view(number: u64, spares: u32) -> View {
    let address = |id| MemberAddress { id, peers: "".into(), nodes: "".into(), operators: "".into() };
    View { number, ..View::founding((1..=3 + spares).map(address).collect(), 1) }
}

fn promise(ballot: Ballot, accepted: Vec<AcceptedView>) -> Promise {
    Promise { view_number: 2, ballot, accepted: accepted.into() }
}

#[test]
fn a_ballot_is_a_round_and_the_proposer() {
    assert_eq!(Ballot::new(5, 2).round(), 5);
    assert!(Ballot::new(5, 9) < Ballot::new(6, 1) && Ballot::new(5, 1) < Ballot::new(5, 2));
    assert!(Ballot::NONE < Ballot::new(1, 1));
    assert_eq!(Ballot::new(1, 2).to_string(), "4294967298");
}

#[test]
fn a_proposal_is_due_when_a_view_has_been_wanted_for_a_while() {
    let mut proposer = Proposer::default();
    let started = NOW - STARTUP_GRACE;
    assert!(!proposer.is_due(NOW, FIRST, started), "the others may not have been heard in this view yet");
    assert!(proposer.is_due(NOW + Duration::from_millis(250), FIRST, started));
    let second = ProposalTurn { alive_ahead: 1, position: 1 };
    assert!(!proposer.is_due(NOW + Duration::from_millis(250), second, started), "the first goes first");
    assert!(!proposer.is_due(NOW + Duration::from_millis(250), FIRST, NOW), "a process has just started");
    proposer.note_prepare(NOW);
    assert!(!proposer.is_due(NOW + Duration::from_millis(250), FIRST, started), "another proposes");
}

#[test]
fn a_ballot_is_higher_than_all_that_were_heard_of_or_used() {
    let mut proposer = Proposer::default();
    proposer.observe(Ballot::new(4, 3));
    assert_eq!(proposer.start(NOW, 1, view(2, 0), Ballot::new(7, 1)), Ballot::new(8, 1));
    assert!(proposer.is_current(2, Ballot::new(8, 1)) && !proposer.is_current(3, Ballot::new(8, 1)));
}

#[test]
fn the_desired_view_is_chosen_where_nothing_was_accepted() {
    let mut proposer = Proposer::default();
    let ballot = proposer.start(NOW, 1, view(2, 1), Ballot::NONE);
    assert_eq!(proposer.on_promise(NOW, 1, promise(ballot, vec![]), MAJORITY), None);
    let accept = proposer.on_promise(NOW, 2, promise(ballot, vec![]), MAJORITY).expect("a majority promised");
    assert_eq!((accept.ballot, accept.view), (ballot, view(2, 1)));
    let accepted = Accepted { view_number: 2, ballot };
    assert_eq!(proposer.on_accepted(NOW, 1, &accepted, MAJORITY), None);
    assert_eq!(proposer.on_accepted(NOW, 1, &accepted, MAJORITY), None, "a vote counts once");
    assert_eq!(proposer.on_accepted(NOW, 3, &accepted, MAJORITY), Some(view(2, 1)));
}

#[test]
fn a_view_that_may_be_chosen_already_is_proposed_in_place_of_the_desired_one() {
    let mut proposer = Proposer::default();
    let ballot = proposer.start(NOW, 1, view(2, 1), Ballot::new(3, 2));
    let older = AcceptedView { ballot: Ballot::new(2, 3), view: view(2, 2) };
    let newer = AcceptedView { ballot: Ballot::new(3, 2), view: view(2, 3) };
    proposer.on_promise(NOW, 1, promise(ballot, vec![newer.clone()]), MAJORITY);
    let accept = proposer.on_promise(NOW, 2, promise(ballot, vec![older]), MAJORITY).expect("a majority promised");
    assert_eq!(accept.view, newer.view);
}

#[test]
fn promises_of_another_ballot_count_for_nothing() {
    let mut proposer = Proposer::default();
    let ballot = proposer.start(NOW, 1, view(2, 0), Ballot::NONE);
    proposer.on_promise(NOW, 1, promise(ballot, vec![]), MAJORITY);
    assert_eq!(proposer.on_promise(NOW, 2, promise(Ballot::new(9, 2), vec![]), MAJORITY), None);
}

#[test]
fn an_acceptor_promises_rising_ballots_of_the_next_view() {
    let mut hard_state = HardState::new(1, view(1, 0), true);
    let prepare = |view_number, ballot| Prepare { view_number, ballot };
    assert!(!hard_state.can_promise(&prepare(3, Ballot::new(1, 1))), "that is not the next view");
    assert!(hard_state.can_promise(&prepare(2, Ballot::new(1, 1))));
    assert_eq!(hard_state.promise(&prepare(2, Ballot::new(1, 1))), promise(Ballot::new(1, 1), vec![]));
    assert!(!hard_state.can_promise(&prepare(2, Ballot::new(1, 1))));
    assert!(hard_state.can_promise(&prepare(2, Ballot::new(1, 2))));
}

#[test]
fn of_several_delayed_prepares_the_highest_ballot_is_kept() {
    let mut acceptor = Acceptor::default();
    assert!(!acceptor.is_delaying());
    for (from, round) in [(1, 4), (2, 6), (3, 5)] {
        acceptor.delay(from, Prepare { view_number: 2, ballot: Ballot::new(round, from) });
    }
    assert!(acceptor.is_delaying());
    assert_eq!(acceptor.take_delayed().map(|delayed| delayed.from), Some(2));
    assert!(!acceptor.is_delaying());
}

#[test]
fn a_proposal_that_gets_answers_is_not_replaced_by_another() {
    let mut proposer = Proposer::default();
    let started = NOW - STARTUP_GRACE;
    let ballot = proposer.start(NOW, 1, view(2, 0), Ballot::NONE);
    let patience = PROPOSAL_RETRY + PROPOSAL_STAGGER;
    let (mut now, step) = (NOW, patience - Duration::from_millis(1));
    now += step;
    proposer.on_promise(now, 1, promise(ballot, vec![]), MAJORITY);
    now += step;
    assert!(!proposer.is_due(now, FIRST, started), "a promise came");
    proposer.on_promise(now, 2, promise(ballot, vec![]), MAJORITY).expect("a majority promised");
    now += step;
    assert!(!proposer.is_due(now, FIRST, started), "the second promise came");
    let accepted = Accepted { view_number: 2, ballot };
    proposer.on_accepted(now, 1, &accepted, MAJORITY);
    now += step;
    assert!(!proposer.is_due(now, FIRST, started), "a vote came");
    proposer.on_accepted(now, 1, &accepted, MAJORITY);
    now += Duration::from_millis(2);
    assert!(proposer.is_due(now, FIRST, started), "a vote that comes twice is no progress");
}
