//! By what states are told from each other.
use super::world::{Machine, World};
use control_chain::message::{Chain, Sent};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

impl World {
    /// Two states with one fingerprint have the same future, whatever their clocks show.
    pub fn fingerprint(&mut self) -> u64 {
        let now = self.now;
        let mut hasher = DefaultHasher::new();
        for (id, machine) in &self.machines {
            let hash = *self.hashes.entry(*id).or_insert_with(|| machine.fingerprint(now));
            (id, hash).hash(&mut hasher);
        }
        for (pair, queue) in &self.streams {
            pair.hash(&mut hasher);
            queue.iter().for_each(|sent| hash_message(now, sent, &mut hasher));
        }
        (&self.held, self.commands_sent, self.losses, &self.ledger).hash(&mut hasher);
        hasher.finish()
    }
}

impl Machine {
    fn fingerprint(&self, now: Duration) -> u64 {
        let mut hasher = DefaultHasher::new();
        if let Some(core) = &self.core {
            core.fingerprint(now, &mut hasher);
        }
        (self.core.is_some(), &self.disk, self.frozen, self.stalled).hash(&mut hasher);
        (self.ticked == Some(now)).hash(&mut hasher);
        hasher.finish()
    }
}

/// Lease messages carry a time of their sender's clock, which counts relative to now.
fn hash_message(now: Duration, sent: &Sent, hasher: &mut impl Hasher) {
    match &sent.message {
        Chain::LeaseAsk(lease) | Chain::LeaseGrant(lease) | Chain::LeaseEnd(lease) => {
            let since = now.as_micros() as u64 - lease.sent_us;
            (sent.from, sent.incarnation, std::mem::discriminant(&sent.message)).hash(hasher);
            (lease.view, lease.process, since).hash(hasher);
        }
        _ => sent.hash(hasher),
    }
}
