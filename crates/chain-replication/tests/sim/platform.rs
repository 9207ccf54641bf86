//! The platform in the simulated world, and whether the chain is whole.
use super::{Event, World, ms};
use chain_replication::control_replica::ControlReplica;
use chain_replication::step::Input;
use control_state::command::{Command, CommandRequest, ReplicaInfo};

impl World {
    /// The platform is asked: it says what holds now, and the answer may be long on its way.
    pub(super) fn poll(&mut self, id: u32, boot: u64, number: u64) {
        let Some((rows, slowest)) = self.platform.clone() else { return };
        if self.without_platform.contains(&id) {
            return;
        }
        let took = ms(1 + self.rng.next(slowest.max(1)));
        let when = self.now + took;
        self.at(when, Event::Listed(id, boot, number, rows));
    }

    pub(super) fn listed(&mut self, id: u32, number: u64, rows: Vec<ReplicaInfo>) {
        if self.bare_listing {
            let command = CommandRequest::internal(Command::ReplaceReplicas { replicas: rows });
            let _ = self.ask(id, command.to_request().unwrap());
        } else {
            self.step(id, Input::ReplicasListed { poll: number, result: Ok(rows) });
        }
    }

    /// How many cores hold everything in a chain of three.
    pub fn whole_chain(&self) -> bool {
        let cores: Vec<&ControlReplica> = self.nodes.values().filter_map(|n| n.core.as_ref()).collect();
        let top = cores.iter().map(|c| c.view().number).max().unwrap_or(0);
        let wanted = |c: &ControlReplica| (c.view().target_length as usize).min(self.nodes.len());
        cores.len() == self.nodes.len()
            && cores.iter().all(|c| c.view().number == top && c.view().chain.items().len() == wanted(c))
            && cores.iter().all(|c| c.is_up_to_date())
    }
}
