//! The order of a chain in which some links fail, without replicas round it.
use chain_replication::chain_order::OrderSearch;
use chain_replication::view::Member;

fn members(ids: &[u32]) -> Vec<Member> {
    ids.iter().map(|id| Member { id: *id, incarnation: 1 }).collect()
}

/// The chain of at least `shortest` among these machines, of which the first `complete` hold all.
fn order(ids: &[u32], complete: usize, faulty: &[(u32, u32)], shortest: usize) -> Option<Vec<u32>> {
    let candidates = members(ids);
    let is_linked = |one, other| !faulty.contains(&(one, other)) && !faulty.contains(&(other, one));
    let search = OrderSearch { candidates: &candidates, complete: &candidates[..complete], is_linked };
    let found = search.find(ids.len(), shortest)?;
    assert!(search.accepts(&found));
    Some(found.iter().map(|member| member.id).collect())
}

#[test]
fn without_faults_the_preferred_order_stays() {
    assert_eq!(order(&[3, 1, 2], 3, &[], 2).unwrap(), [3, 1, 2]);
    assert_eq!(order(&[3, 1, 2], 3, &[(3, 2)], 2).unwrap(), [3, 1, 2], "the ends need not hear one another");
}

#[test]
fn neighbours_that_do_not_hear_one_another_are_put_apart() {
    assert_eq!(order(&[1, 2, 3], 3, &[(1, 2)], 2).unwrap(), [1, 3, 2]);
    assert_eq!(order(&[1, 2, 3], 3, &[(2, 3)], 2).unwrap(), [2, 1, 3]);
    assert_eq!(order(&[1, 2, 3, 4, 5], 5, &[(1, 2), (1, 3)], 3).unwrap(), [1, 4, 2, 3, 5]);
}

#[test]
fn only_a_member_that_holds_all_is_the_head() {
    assert_eq!(order(&[1, 2, 3], 1, &[(2, 3)], 2).unwrap(), [1, 2], "2 and 3 hold not all");
}

#[test]
fn a_member_goes_only_where_no_order_of_all_is_left() {
    assert_eq!(order(&[1, 2, 3], 3, &[(1, 2), (1, 3)], 2).unwrap(), [2, 3]);
    assert_eq!(order(&[1, 2, 3], 3, &[(1, 2), (1, 3), (2, 3)], 2), None);
}

#[test]
fn each_member_hears_a_majority_of_the_chain() {
    let path_only = [(1, 3), (1, 4), (1, 5), (2, 4), (2, 5), (3, 5)];
    let found = order(&[1, 2, 3, 4, 5], 5, &path_only, 3).unwrap();
    assert_eq!(found, [1, 2, 3], "the end of a longer one would hear two of five");
}
