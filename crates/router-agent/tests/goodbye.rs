//! How long an agent that was told to stop goes on for its router.
use fleet_common::ask::{Answer, Ask, LEASE, Pull};
use fleet_common::node::Identity;
use router_agent::Agent;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

const FORMER_LIFE: u64 = 1;
const LIFE: u64 = 2;

fn agent() -> Arc<Agent> {
    let me = Identity { name: "e1".into(), kind: "edge", incarnation: 1, at: "".into(), district: "a".into() };
    router_agent::start(me, Default::default(), TcpListener::bind("127.0.0.1:0").unwrap())
}

fn pull(life: u64, holding: u8) -> Ask {
    Ask::Pull(Pull {
        node: "e1".into(),
        kind: "edge".into(),
        incarnation: life,
        at: "".into(),
        district: "a".into(),
        have: vec![0; 8].into(),
        confirmed: vec![0; 8].into(),
        holding,
        wait_ms: 0,
    })
}

fn leave(agent: &Agent) -> Duration {
    let begun = Instant::now();
    agent.leave();
    begun.elapsed()
}

#[test]
fn a_silent_router_is_waited_for_until_its_term_has_ended() {
    let agent = agent();
    agent.answer(&pull(LIFE, 1));
    assert!(leave(&agent) >= LEASE);
}

#[test]
fn a_router_that_said_goodbye_is_not_waited_for_and_not_fed() {
    let agent = agent();
    agent.answer(&pull(LIFE, 1));
    agent.answer(&pull(LIFE, 0));
    assert!(matches!(agent.answer(&pull(LIFE, 1)), Answer::Refused(_)));
    assert!(leave(&agent) < LEASE);
}

/// The good-bye of a former life may be read late, after its follower has asked.
#[test]
fn a_good_bye_speaks_for_its_own_life_alone() {
    let agent = agent();
    agent.answer(&pull(LIFE, 1));
    agent.answer(&pull(FORMER_LIFE, 0));
    assert!(matches!(agent.answer(&pull(LIFE, 1)), Answer::Pulled(_)));
    assert!(leave(&agent) >= LEASE);
}
