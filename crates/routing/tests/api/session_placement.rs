//! Behaviour of the public items of `session_placement`.

#[test]
fn the_home_replica_has_its_header_value() {
    assert_eq!(routing::session_placement::PlacementReason::Home.header_value(), "home");
}

#[test]
fn the_order_of_replicas_does_not_matter() {
    use routing::session_placement::{PlacementReason, ReplicaStatus, SessionRequest, choose_replica};
    let seat = |id: &str| ReplicaStatus {
        id: id.into(),
        address: "".into(),
        zone: "a".into(),
        service: String::new(),
        model: "m".into(),
        weights: "w".into(),
        draining: false,
        unavailable: false,
        load: 0,
        minimum_version: Default::default(),
    };
    let wish = SessionRequest {
        session: "s",
        model: "m",
        weights: "w",
        superseded_may_serve: &|_| false,
        affinity: None,
        attempted: &[],
        max_per_replica: 8,
    };
    let seats = [seat("r1"), seat("r2")];
    let (first, reason) = choose_replica(&seats, &wish).unwrap();
    assert_eq!(reason, PlacementReason::Home);
    assert_eq!(choose_replica(&[seat("r2"), seat("r1")], &wish).unwrap().0.id, first.id);
}
