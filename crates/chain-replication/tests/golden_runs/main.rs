//! Recorded runs of the protocol: a digest of everything that simulated control replicas sent, wrote to disk and
//! answered, in order. A change that only renames or moves code leaves the digests as they are; one that is meant to
//! change the protocol rewrites the file, with GOLDEN_WRITE=1, and its commit says why. First written by 2f2f0dc.
#[path = "../../../control-state/tests/golden_file/mod.rs"]
mod golden_file;
#[path = "../sim/mod.rs"]
mod sim;

use control_state::command::ReplicaInfo;
use fleet_common::hash::SeededRng;
use rstest::rstest;
use sim::edges::{Edge, Off};
use sim::history::History;
use sim::{Disks, World, ms};
use std::path::PathBuf;
use std::time::Duration;

const FAULTS: u64 = 40;
const STEP: Duration = ms(10);
const MACHINES: u64 = 4;

struct Run {
    world: World,
    edge: Edge,
    history: History,
    rng: SeededRng,
}

impl Run {
    fn start(seed: u64, open: bool) -> Self {
        let mut world = if open { World::open(seed, 1) } else { World::new(seed, Disks::Honest) };
        if open {
            (1..=MACHINES as u32).for_each(|id| world.add(id, true));
        }
        world.record_outputs();
        let row =
            |at: u64| ReplicaInfo { id: format!("r{at}"), at: format!("10.0.0.{at}:80"), ..ReplicaInfo::default() };
        world.platform = Some(((1..=3).map(row).collect(), 60));
        let (edge, history) = (Edge::new("e1", Off::Nothing), History::default());
        Run { world, edge, history, rng: SeededRng::new(seed + 1000) }
    }

    fn pass(&mut self, length: Duration) {
        let end = self.world.now + length;
        while self.world.now < end {
            self.world.run(STEP);
            self.edge.step(&mut self.world);
        }
    }

    fn fault(&mut self) {
        let id = 1 + self.rng.next(MACHINES) as u32;
        let other = 1 + self.rng.next(MACHINES) as u32;
        let until = self.world.now + ms(self.rng.next(3000));
        match self.rng.next(10) {
            0 => self.world.power_loss(id),
            1 => self.world.cut.extend([(id, other), (other, id)]),
            2 => _ = self.world.cut.insert((id, other)),
            3 => self.world.nodes.get_mut(&id).unwrap().frozen_until = until,
            4 => self.world.nodes.get_mut(&id).unwrap().disk.stalled_until = until,
            5 => {
                let disk = &mut self.world.nodes.get_mut(&id).unwrap().disk;
                (disk.failed, disk.fails_until) = (true, Some(until));
            }
            6 => self.world.drop_percent = self.rng.next(30),
            7 => self.world.step_input(id, chain_replication::step::Input::Shutdown),
            8 => self.world.empty(id),
            _ => {}
        }
    }

    fn run(mut self) -> String {
        self.pass(ms(2500));
        for _ in 0..FAULTS {
            self.history.command(&mut self.world);
            let length = ms(self.rng.next(600));
            self.pass(length);
            self.fault();
            let length = ms(self.rng.next(1500));
            self.pass(length);
            if self.rng.next(3) == 0 {
                self.world.heal();
                self.pass(ms(2000));
            }
        }
        self.world.heal();
        self.pass(ms(8000));
        golden_file::hex(&self.world.digest_of_outputs())
    }
}

#[rstest]
fn outputs_of_recorded_runs_are_the_same(#[values(false, true)] open: bool) {
    let run = |seed: u64| (format!("seed-{seed}"), Run::start(seed, open).run());
    let digests: Vec<(String, String)> = (0..6).map(run).collect();
    let file = if open { "open.txt" } else { "closed.txt" };
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden_runs").join(file);
    golden_file::check(&path, &digests, &golden_file::TEXT);
}
