//! A link between two machines fails, in one direction or both, while both can talk to the others: the chain goes on
//! without that link, and does not change again until it works again.
mod sim;

use chain_replication::view::View;
use fleet_common::rpc::Response;
use rstest::rstest;
use sim::history::History;
use sim::{World, ms};
use std::time::Duration;

/// Time for machines to come and the chain to be complete.
const FOUNDING: Duration = ms(7000);
const CUT: Duration = Duration::from_secs(12);
/// From here on into the cut operators are served again.
const SERVICE_BOUND: Duration = Duration::from_secs(4);
const COMMAND_BOUND: Duration = Duration::from_secs(2);
/// One view without the link, and one in which a member that it cost is a spare.
const MAX_VIEWS_OF_A_CUT: u64 = 2;
/// A spare is let in again, and whoever left for it is listed.
const MAX_VIEWS_OF_ITS_END: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    Both,
    Forth,
    Back,
}

fn cut(world: &mut World, one: u32, other: u32, direction: Direction) {
    if direction != Direction::Back {
        world.cut.insert((one, other));
    }
    if direction != Direction::Forth {
        world.cut.insert((other, one));
    }
}

struct Run {
    world: World,
    history: History,
    case: String,
}

impl Run {
    fn founded(seed: u64, tolerance: u32, machines: u32) -> Self {
        let mut world = World::open(seed, tolerance);
        (1..=machines).for_each(|id| world.add(id, true));
        world.run(FOUNDING);
        let mut run = Run { world, history: History::default(), case: format!("seed {seed}, {machines} machines") };
        assert!(run.served_within(COMMAND_BOUND), "{}: not founded", run.case);
        run
    }

    fn served_within(&mut self, bound: Duration) -> bool {
        self.history.until_served(&mut self.world, bound).is_some()
    }

    /// Operators work for so long; after the first `SERVICE_BOUND` each command has an outcome soon.
    fn work(&mut self, length: Duration) {
        let begun = self.world.now;
        assert!(self.served_within(SERVICE_BOUND), "{}: not served, {}", self.case, self.world.top().summary());
        while self.world.now < begun + length {
            self.history.read(&mut self.world);
            let is_served = self.served_within(COMMAND_BOUND);
            let elapsed = self.world.now - begun;
            assert!(is_served || elapsed < SERVICE_BOUND, "{}: not served {elapsed:?} into the cut", self.case);
            self.world.run(ms(150));
            self.history.listen(&self.world);
        }
    }

    fn view(&self) -> View {
        self.world.top()
    }
}

fn run(seed: u64, tolerance: u32, machines: u32, pair: (u32, u32), direction: Direction) -> u64 {
    let mut run = Run::founded(seed, tolerance, machines);
    run.case = format!("{}, {pair:?} {direction:?}", run.case);
    let before = run.view();
    cut(&mut run.world, pair.0, pair.1, direction);
    run.work(CUT);
    let during = run.view();
    let views = during.number - before.number;
    assert!(views <= MAX_VIEWS_OF_A_CUT, "{}: {views} views, {}", run.case, during.summary());
    assert_eq!(during.chain.items().len(), before.chain.items().len(), "{}: {}", run.case, during.summary());
    run.world.heal();
    run.work(ms(6000));
    let views_after = run.view().number - during.number;
    assert!(views_after <= MAX_VIEWS_OF_ITS_END, "{}: {views_after} views, {}", run.case, run.view().summary());
    run.world.run(ms(1000));
    run.history.listen(&run.world);
    run.history.judge(&run.world);
    assert!(run.history.faults.is_empty(), "{}: {:?}", run.case, run.history.faults);
    views
}

fn seeds() -> u64 {
    std::env::var("FAILED_LINK_SEEDS").map_or(2, |seeds| seeds.parse().expect("a number of seeds"))
}

#[rstest]
fn the_chain_goes_on_without_a_link_that_fails(
    #[values((1, 3), (1, 4), (2, 5), (2, 6), (2, 9))] fleet: (u32, u32),
    #[values(Direction::Both, Direction::Forth, Direction::Back)] direction: Direction,
) {
    let (tolerance, machines) = fleet;
    for one in 1..=machines {
        for other in one + 1..=machines {
            for seed in 0..seeds() {
                run(seed, tolerance, machines, (one, other), direction);
            }
        }
    }
}

/// Machines that only one of them can talk to: no chain of three is left in which neighbours hear one another.
#[test]
fn where_no_order_is_left_commands_are_refused_at_once() {
    const CENTRE: u32 = 3;
    for seed in 0..10 {
        let mut run = Run::founded(seed, 2, 5);
        let before = run.view();
        let ids = run.world.ids();
        let pairs = ids.iter().flat_map(|one| ids.iter().map(move |other| (*one, *other)));
        let is_cut = |(one, other): &(u32, u32)| one != other && *one != CENTRE && *other != CENTRE;
        run.world.cut = pairs.filter(is_cut).collect();
        run.world.run(SERVICE_BOUND);
        for (number, id) in ids.iter().enumerate() {
            let token = run.world.ask(*id, History::order(&format!("refused-{number}"), number as u64)).unwrap();
            run.world.run(ms(20));
            let answer = run.world.answers.get(&token);
            let is_refused = matches!(answer, Some(Response::Unavailable(_) | Response::Redirect(_)));
            assert!(is_refused, "seed {seed}: {id} said {answer:?}");
        }
        run.world.run(CUT);
        assert_eq!(run.view().number, before.number, "seed {seed}: {}", run.view().summary());
        let named = "links that fail between members that are alive: 1-2 1-4 1-5 2-4 2-5 4-5";
        let lines = run.world.log_lines.iter().filter(|(id, line)| *id == CENTRE && line == named);
        assert_eq!(lines.count(), 1, "seed {seed}: the links are named once");
        run.world.heal();
        assert!(run.served_within(Duration::from_secs(12)), "seed {seed}: not served again");
    }
}

/// A machine that fails is dropped: no order of the chain is tried on the way with it elsewhere.
#[rstest]
fn a_machine_that_fails_costs_one_view(#[values(0, 1, 2)] position: usize) {
    for seed in 0..20 {
        let mut run = Run::founded(seed, 1, 3);
        let before = run.view();
        let lost = before.chain.items()[position].clone();
        run.world.power_loss(lost.id);
        run.work(ms(6000));
        let after = run.view();
        assert_eq!(after.number, before.number + 1, "seed {seed}: {}", after.summary());
        assert!(!after.chain.items().contains(&lost) && after.chain.items().len() == 2);
    }
}
