//! More losses at once than are borne: a view that one voter had accepted has to be adopted, and its head's disk is gone.
//! Whoever else of its chain held all before holds everything that was acknowledged, and leads the view after it.
mod sim;

use chain_replication::ballot::Ballot;
use chain_replication::message::Accept;
use chain_replication::view::View;
use rstest::rstest;
use sim::history::History;
use sim::{Disks, World, ms};
use std::time::Duration;

const SERVICE_BOUND: Duration = Duration::from_secs(8);

/// The next view with this order of the chain, which also votes.
fn next_view(view: &View, order: &[u32]) -> View {
    let member = |id: &u32| view.chain.items().iter().find(|member| member.id == *id).expect("a member").clone();
    let chain: Vec<_> = order.iter().map(member).collect();
    View { number: view.number + 1, voters: chain.clone().into(), chain: chain.into(), ..view.clone() }
}

/// Operators worked; then all power was lost, one voter having accepted a view that `order` gives, and the disk of its head.
fn world_after_the_losses(seed: u64, order: &[u32], acceptor: u32, history: &mut History) -> World {
    let mut world = World::new(seed, Disks::Honest);
    world.retire(4);
    world.run(ms(3000));
    for _ in 0..15 {
        history.command(&mut world);
        world.run(ms(100));
        history.listen(&world);
    }
    let view = world.top();
    assert_eq!(view.chain.items().len(), 3, "{}", view.summary());
    world.ids().into_iter().for_each(|id| world.power_loss(id));
    let next = next_view(&view, order);
    let accept = Accept { view_number: next.number, ballot: Ballot::new(9, acceptor), view: next };
    world.nodes.get_mut(&acceptor).unwrap().disk.accept(accept);
    world.empty(order[0]);
    world
}

#[rstest]
fn an_adopted_view_whose_head_lost_its_disk_is_followed_by_another(
    #[values(&[3, 1, 2], &[3, 2, 1], &[2, 1, 3], &[2, 3, 1], &[1, 2, 3], &[1, 3, 2])] order: &[u32],
    #[values(1, 2)] acceptor: usize,
) {
    for seed in 0..20 {
        let mut history = History::default();
        let mut world = world_after_the_losses(seed, order, order[acceptor], &mut history);
        order[1..].iter().for_each(|id| world.start(*id));
        let case = format!("seed {seed}, {order:?}, accepted by {}", order[acceptor]);
        let took = history.until_served(&mut world, SERVICE_BOUND);
        assert!(took.is_some(), "{case}: not served, {}", world.top().summary());
        let ids: Vec<String> = order.iter().map(u32::to_string).collect();
        let adoption = format!("installs view 2 chain [{}]", ids.join(" "));
        assert!(world.log_lines.iter().any(|(_, line)| line.starts_with(&adoption)), "{case}: not adopted");
        world.run(ms(4000));
        history.listen(&world);
        history.judge(&world);
        assert!(history.faults.is_empty(), "{case}: {:?}", history.faults);
    }
}
