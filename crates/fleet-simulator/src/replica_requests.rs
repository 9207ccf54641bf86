//! What a replica does with what it hears: runs, orders, polls, and streams that are shut.
use crate::cores::ms;
use crate::replica::{ActiveRun, POLL_WAIT, ReplicaRun, SLOTS};
use crate::shape::{CHUNK_INTERVAL, DisabledGuard, PREFILL_PER_BLOCK, STORE, ZONES};
use crate::wire::{Endpoint, Message, ReplicaRequest};
use crate::world::World;
use prefix_table::index_node::{OrderAnswer, OrderOutcome};
use std::time::Duration;

impl World {
    pub(crate) fn replica_receives(&mut self, at: usize, message: Message) {
        let now = self.now();
        match message {
            Message::Forward(asked) => self.start_run(at, asked),
            Message::CloseStream(stream) if self.disabled_guard != DisabledGuard::CloseUpstream => {
                let replica = &mut self.replicas[at];
                if let Some(place) = replica.active_runs.iter().position(|going| going.request.stream == stream) {
                    let going = replica.active_runs.remove(place);
                    replica.runs[going.run].ended_at = Some(now);
                }
            }
            Message::Poll { by, replica: id, fence, incarnation, from } => {
                let replica = &mut self.replicas[at];
                let from = if incarnation == replica.incarnation.to_string() { from } else { 0 };
                replica.polls.push((by, id, fence, from, now + POLL_WAIT));
            }
            Message::Order { by, replica: id, fence, model, weights } => {
                let any = self.disabled_guard == DisabledGuard::FencingToken;
                let replica = &mut self.replicas[at];
                let outcome = match fence >= replica.fencing_token || any {
                    false => Err(format!("fence {} is newer", replica.fencing_token)),
                    true => {
                        replica.fencing_token = fence;
                        replica.orders.push((now, by, fence));
                        let loading = replica.loading.as_ref().is_some_and(|(name, _)| *name == weights);
                        if replica.weights != weights && !loading {
                            let quick = replica.weights.is_empty();
                            let took = replica.load_time.map_or(Duration::MAX, |l| if quick { l / 5 } else { l });
                            replica.loading = Some((weights.clone(), now.saturating_add(took)));
                        }
                        Ok(OrderOutcome::Accepted)
                    }
                };
                let answer = OrderAnswer { replica: id, model, weights, outcome };
                self.send(Endpoint::Replica(at), Endpoint::Index(by), Message::OrderAnswered(answer));
            }
            _ => {}
        }
    }

    fn start_run(&mut self, at: usize, asked: ReplicaRequest) {
        let (now, me) = (self.now(), Endpoint::Replica(at));
        let lost = self.rng.next(100) < self.replicas[at].event_loss_percent;
        let replica = &mut self.replicas[at];
        *self.attempts.entry(asked.stream.0).or_default() += 1;
        let to = Endpoint::Router(asked.router);
        if self.rng.next(100) < replica.rejection_percent {
            return self.send(me, to, Message::Refused(asked.stream, 503, Some(3)));
        }
        if replica.loading.is_some() || replica.weights != asked.weights || at == STORE {
            return self.send(me, to, Message::Refused(asked.stream, 503, None));
        }
        if replica.active_runs.len() >= SLOTS {
            return self.send(me, to, Message::Refused(asked.stream, 429, Some(2)));
        }
        let made = (asked.wall.clone(), asked.weights.clone());
        let own = replica.leading_blocks(&asked.blocks);
        let mut foreign = asked.blocks[..own].iter().filter(|hash| replica.cache.get(hash) != Some(&made)).count();
        let (mut handed, mut cost) = (0, Duration::ZERO);
        if let Some(from) = asked.source.filter(|from| *from != at && own < asked.blocks.len()) {
            let (source, off) = (&self.replicas[from], self.disabled_guard);
            cost = ms(1);
            if source.up && now >= source.frozen && self.passes(me, Endpoint::Replica(from)) {
                let held = source.leading_blocks(&asked.blocks);
                // A replica asks for blocks of its own wall and weights, and is given no others.
                let same = |hash: &&u64| source.cache.get(hash) == Some(&made) || off == DisabledGuard::Wall;
                let given = asked.blocks[..held].iter().take_while(same).count();
                handed = given.saturating_sub(own);
                foreign +=
                    asked.blocks[own..own + handed].iter().filter(|h| source.cache.get(h) != Some(&made)).count();
                let near = ZONES[from % 4] == ZONES[at % 4];
                let each = Duration::from_micros(if near { 200 } else { 800 }) * self.slow_links as u32;
                cost = ms(2) + each * handed as u32;
            }
        }
        let anew = (asked.blocks.len() - own - handed) as u32;
        let replica = &mut self.replicas[at];
        replica.store_blocks(now, &asked.blocks, &made, lost);
        if at != STORE {
            let chain = asked.blocks.clone();
            self.replicas[STORE].store_copy(now, &chain, &made);
        }
        let replica = &mut self.replicas[at];
        replica.runs.push(ReplicaRun {
            request: asked.clone(),
            started_at: now,
            ended_at: None,
            foreign_blocks: foreign,
        });
        let (run, next) = (replica.runs.len() - 1, now + cost + PREFILL_PER_BLOCK * anew + CHUNK_INTERVAL);
        replica.active_runs.push(ActiveRun { run, request: asked, next_chunk_at: next, chunks: 0 });
    }
}
