//! What may never be chosen: a source of other weights or behind another wall, a place that leaves.
use control_state::fleet_config::{ModelConfig, TransferCosts};
use fleet_common::hash::SeededRng;
use fleet_common::rpc::Filter;
use prefix_table::blocks;
use prefix_table::counting_filter::CountingFilter;
use prefix_table::filter::{FilterCopy, FilterVersion};
use routing::admission::{InFlightRequests, Rejection};
use routing::link_costs::{HALF_LIFE, LearntCosts, LinkCosts, TransferSample};
use routing::replica_table::NO_TRUSTED_VERSION;
use routing::session_placement::{PlacementReason, ReplicaStatus, SessionRequest, choose_replica};
use routing::transfer_source::{FilterCopies, choose_source};
use routing::{admission, retry_budget::RetryBudget};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

fn seat(id: &str) -> ReplicaStatus {
    ReplicaStatus {
        id: id.into(),
        address: format!("{id}:1"),
        zone: "a".into(),
        service: String::new(),
        model: "m".into(),
        weights: "w1".into(),
        draining: false,
        unavailable: false,
        load: 0,
        minimum_version: Default::default(),
    }
}

fn mirror(replica: &str, weights: &str, held: &[u64]) -> (String, Arc<FilterCopy>) {
    let mut table = CountingFilter::new(16_384, 6);
    held.iter().for_each(|block| table.add(*block));
    let (words, m, k) = table.filter().into_parts();
    let filter = Filter {
        replica: replica.into(),
        index: "i".into(),
        fencing_token: 1,
        version: 1,
        weights: weights.into(),
        bit_count: m,
        hash_count: k,
        items: 0,
        bits: words.into(),
    };
    (replica.into(), Arc::new(FilterCopy::from_filter(filter).unwrap()))
}

const LINKS: TransferCosts = TransferCosts { near_us_per_block: 100, far_us_per_block: 300, setup_us: 2000 };

fn model() -> ModelConfig {
    ModelConfig { weights: "w1".into(), prefill_us_per_block: 4000 }
}

#[rstest]
#[case("same wall and weights", "wall", "w1", "w1", true)]
#[case("another wall", "other", "w1", "w1", false)]
#[case("blocks made under other weights", "wall", "w0", "w1", false)]
#[case("a replica now on other weights", "wall", "w1", "w2", false)]
fn a_source_must_match(
    #[case] what: &str,
    #[case] wall: &str,
    #[case] made: &str,
    #[case] now: &str,
    #[case] good: bool,
) {
    for seed in 0..200u64 {
        let prompt: Vec<u8> = (0..640u64).map(|n| fleet_common::hash::mix(seed << 16 | n) as u8).collect();
        let held = blocks::block_hashes(blocks::block_salt(wall, "m", made), &prompt, 64);
        let wanted = blocks::block_hashes(blocks::block_salt("wall", "m", "w1"), &prompt, 64);
        let mirrors: FilterCopies = [mirror("r2", now, &held)].into_iter().collect();
        let seats = [seat("r1"), seat("r2")];
        let found = choose_source(&seats, &mirrors, &seats[0], &wanted, &LinkCosts::configured_only(&LINKS), &model());
        assert_eq!(found.is_some(), good, "{what}, seed {seed}");
    }
}

#[test]
fn a_hand_over_must_pay_and_the_best_is_taken() {
    let chain: Vec<u64> = (1..=40).collect();
    let mirrors: FilterCopies = [mirror("r2", "w1", &chain[..20]), mirror("r3", "w1", &chain)].into_iter().collect();
    let mut seats = [seat("r1"), seat("r2"), seat("r3")];
    let best = |seats: &[ReplicaStatus], links: &TransferCosts| {
        choose_source(seats, &mirrors, &seats[0], &chain, &LinkCosts::configured_only(links), &model())
    };
    assert_eq!(best(&seats, &LINKS).unwrap().replica, "r3");
    seats[2].zone = "b".into();
    let slow_far = TransferCosts { far_us_per_block: 3900, ..LINKS };
    assert_eq!(best(&seats, &slow_far).unwrap().replica, "r2", "half of it near beats all of it far");
    let slow = TransferCosts { near_us_per_block: 4000, far_us_per_block: 9000, setup_us: 0 };
    assert_eq!(best(&seats, &slow), None, "reading anew is as fast");
    let mut stale = mirrors.clone();
    stale.values_mut().for_each(|m| Arc::make_mut(m).stale = true);
    assert_eq!(choose_source(&seats, &stale, &seats[0], &chain, &LinkCosts::configured_only(&LINKS), &model()), None);
}

#[test]
fn a_session_stays_unless_its_place_is_lost() {
    let mut rng = SeededRng::new(3);
    for session in 0..300 {
        let session = format!("s{session}");
        let mut seats: Vec<ReplicaStatus> = (1..=18).map(|n| seat(&format!("r{n}"))).collect();
        let wish = |kept| SessionRequest {
            session: &session,
            model: "m",
            weights: "w1",
            superseded_may_serve: &|_| false,
            affinity: kept,
            attempted: &[],
            max_per_replica: 8,
        };
        let home = choose_replica(&seats, &wish(None)).unwrap().0.id.clone();
        // Losing some other replica moves nobody.
        let other = rng.next(18) as usize;
        if seats[other].id != home {
            seats[other].draining = true;
            assert_eq!(choose_replica(&seats, &wish(None)).unwrap().0.id, home);
        }
        let at = seats.iter().position(|s| s.id == home).unwrap();
        // A busy home sends new sessions on, but one that names it stays a while longer.
        seats[at].load = 9;
        assert_eq!(choose_replica(&seats, &wish(None)).unwrap().1, PlacementReason::LoadBound);
        assert_eq!(choose_replica(&seats, &wish(Some(&home))).unwrap().1, PlacementReason::Affinity);
        seats[at].load = 0;
        type Loss = fn(&mut ReplicaStatus);
        let losses: [Loss; 4] = [
            |s| s.draining = true,
            |s| s.unavailable = true,
            |s| s.weights = "w0".into(),
            |s| s.weights = String::new(),
        ];
        for loss in losses {
            let mut lost = seats.clone();
            loss(&mut lost[at]);
            let (next, reason) = choose_replica(&lost, &wish(Some(&home))).unwrap();
            assert!(next.id != home && reason == PlacementReason::AffinityLost);
        }
    }
}

#[test]
fn the_less_urgent_and_those_over_their_share_go_first() {
    let mut flight = InFlightRequests::default();
    let wish = |tenant: &'static str, urgency| admission::AdmissionRequest {
        tenant,
        urgency,
        quota: routing::admission::Quota { weight: 1, total_weight: 4 },
        limit: 20,
    };
    let mut taken = 0;
    while flight.admit(&wish("large", 9)).is_ok() {
        taken += 1;
    }
    assert_eq!((taken, flight.admit(&wish("large", 9))), (10, Err(Rejection::Quota)), "half the room is anybody's");
    assert_eq!(flight.admit(&wish("small", 9)), Ok(()));
    (0..3).for_each(|_| flight.admit(&wish("third", 9)).unwrap());
    assert_eq!(flight.admit(&wish("fourth", 1)), Err(Rejection::Urgency));
    assert_eq!(flight.admit(&wish("fourth", 9)), Ok(()));
    flight.release("small");
    assert_eq!(flight.total(), 14);
}

#[test]
fn retries_stay_within_a_tenth_of_first_tries() {
    let mut tokens = RetryBudget::new(10);
    let (mut tries, mut retries) = (0u64, 0u64);
    for _ in 0..10_000 {
        tokens.deposit();
        tries += 1;
        // Everything fails: each try wants as many retries as it can get.
        while tokens.withdraw() {
            retries += 1;
        }
    }
    assert!(retries <= tries / 10 + 10, "{retries} of {tries}");
}

/// A mirror is trusted only while its holder is heard and from the floor on that it names; one that
/// leaves is no source, and links that slowed down are learnt and tried again later.
#[test]
fn hand_overs_follow_what_is_known_now() {
    let chain: Vec<u64> = (1..=40).collect();
    let mirrors: FilterCopies = [mirror("r2", "w1", &chain)].into_iter().collect();
    let named = |seat: &ReplicaStatus, costs: &LinkCosts| {
        choose_source(&[self::seat("r1"), seat.clone()], &mirrors, &self::seat("r1"), &chain, costs, &model()).is_some()
    };
    let costs = LinkCosts::configured_only(&LINKS);
    let with = |change: fn(&mut ReplicaStatus)| {
        let mut seat = seat("r2");
        change(&mut seat);
        named(&seat, &costs)
    };
    assert!(with(|_| {}));
    assert!(!with(|s| s.draining = true), "one that leaves was named");
    assert!(
        !with(|s| s.minimum_version = FilterVersion { fencing_token: 1, version: 2 }),
        "its cache was emptied since"
    );
    assert!(
        !with(|s| s.minimum_version = FilterVersion { fencing_token: 2, version: 0 }),
        "another holds its table now"
    );
    assert!(!with(|s| s.minimum_version = NO_TRUSTED_VERSION), "its holder is not heard any more");

    let mut learnt = LearntCosts::default();
    let link = routing::link_costs::Link { from: "a".into(), to: "a".into() };
    let mut now = Duration::ZERO;
    learnt.record_without_transfer(10, 4000, 46_000);
    let mut tries = 0;
    loop {
        let costs = LinkCosts { configured: &LINKS, learnt: Some(&learnt), now };
        if !named(&seat("r2"), &costs) {
            break;
        }
        tries += 1;
        now += Duration::from_millis(100);
        // Each block takes twice what reading it anew takes.
        let seen = TransferSample {
            link: link.clone(),
            transferred_blocks: 40,
            recomputed_blocks: 0,
            prefill_us_per_block: 4000,
            first_token_us: 40 * 8000 + 8000,
        };
        learnt.record_transfer(now, &LINKS, &seen);
    }
    assert!((1..=8).contains(&tries), "{tries} tries until hand-overs stopped");
    let paid = |now| named(&seat("r2"), &LinkCosts { configured: &LINKS, learnt: Some(&learnt), now });
    assert!(!paid(now + HALF_LIFE / 2));
    assert!(paid(now + HALF_LIFE * 3), "a link that was slow once is tried again");
    // Numbers that an operator changed are believed again.
    let other = TransferCosts { near_us_per_block: 101, ..LINKS };
    assert!(named(&seat("r2"), &LinkCosts { configured: &other, learnt: Some(&learnt), now }));
}
