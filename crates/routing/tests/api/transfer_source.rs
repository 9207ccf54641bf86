//! Behaviour of the public items of `transfer_source`.

#[test]
fn an_empty_filter_has_no_leading_blocks() {
    use fleet_common::rpc::Filter;
    use prefix_table::filter::FilterCopy;
    let mirror = FilterCopy::from_filter(Filter {
        replica: "r".into(),
        index: "i".into(),
        fencing_token: 1,
        version: 1,
        weights: "w".into(),
        bit_count: 64,
        hash_count: 2,
        items: 0,
        bits: vec![0; 8].into(),
    })
    .unwrap();
    assert_eq!(routing::transfer_source::leading_blocks(&mirror, &[1, 2]), 0);
}

#[test]
fn a_filter_under_an_older_fencing_token_is_rejected() {
    use fleet_common::rpc::Filter;
    let filter = Filter {
        replica: "r".into(),
        index: "i".into(),
        fencing_token: 1,
        version: 1,
        weights: "w".into(),
        bit_count: 64,
        hash_count: 2,
        items: 0,
        bits: vec![0; 8].into(),
    };
    let mut mirrors = routing::transfer_source::FilterCopies::new();
    assert!(
        !routing::transfer_source::accept_filter(&mut mirrors, 2, filter.clone()),
        "the duty is under a later fence"
    );
    assert!(routing::transfer_source::accept_filter(&mut mirrors, 1, filter));
}

#[test]
fn a_false_hit_without_a_filter_is_ignored() {
    assert!(!routing::transfer_source::count_false_hit(&mut Default::default(), "r1", 5));
}

#[test]
fn nothing_is_cached_without_a_filter() {
    use routing::session_placement::ReplicaStatus;
    let seat = ReplicaStatus {
        id: "r1".into(),
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
    assert_eq!(routing::transfer_source::cached_blocks(&Default::default(), &seat, &[1, 2]), 0);
}

#[test]
fn no_source_is_chosen_without_filters() {
    use control_state::fleet_config::{ModelConfig, TransferCosts};
    use routing::link_costs::LinkCosts;
    use routing::session_placement::ReplicaStatus;
    use routing::transfer_source::{FilterCopies, choose_source};
    let seat = ReplicaStatus {
        id: "r1".into(),
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
    let links = TransferCosts { near_us_per_block: 1, far_us_per_block: 9, setup_us: 5 };
    let model = ModelConfig { weights: "w".into(), prefill_us_per_block: 100 };
    assert!(
        choose_source(
            std::slice::from_ref(&seat),
            &FilterCopies::new(),
            &seat,
            &[1, 2],
            &LinkCosts::configured_only(&links),
            &model
        )
        .is_none()
    );
}
