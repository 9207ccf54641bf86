//! What happens in a run, from a seed.
use fleet_common::hash::SeededRng;
use std::time::Duration;

pub const REPLICAS: usize = 18;
/// Time for index nodes to know replicas and each other.
const START: Duration = Duration::from_secs(4);
const FAULTS: u64 = 8;
const FAULTS_WITHIN_MS: u64 = 20_000;
const RELEASES_OF_A_MODEL: u64 = 3;
const DOWN_MS: (u64, u64) = (300, 3000);

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
pub enum Change {
    /// A version of a model's weights is released.
    Release { model: usize, version: u64 },
    /// A replica's process ends; its weights stay on its disk.
    Crash { replica: usize },
    /// It starts again, with what it had before; with the first weights of one model where one is named.
    Start { replica: usize, forgets: Option<usize> },
    /// The platform lists a replica that was not there before, with the newest weights of all its models.
    Join { replica: usize },
}

/// A change and when it happens.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub change: Change,
}

/// A run's models and events.
#[derive(Clone, Debug)]
pub struct Plan {
    pub models: usize,
    /// Replicas that are listed from the start.
    pub listed_at_first: usize,
    events: Vec<Event>,
}

impl Plan {
    /// Every model is released once, all within half a second, in an order by the seed.
    pub fn of_one_release_each(seed: u64, models: usize) -> Plan {
        let mut rng = SeededRng::new(seed);
        let release = |model| Event {
            at: START + Duration::from_millis(rng.next(500)),
            change: Change::Release { model, version: 2 },
        };
        Plan::sorted(models, REPLICAS, (0..models).map(release).collect())
    }

    /// Releases of all models, raced and repeated, while replicas crash and join.
    pub fn with_faults(seed: u64, models: usize) -> Plan {
        let mut rng = SeededRng::new(seed);
        let mut events = Vec::new();
        for model in 0..models {
            for _ in 0..1 + rng.next(RELEASES_OF_A_MODEL) {
                // Operators race: a lower version may come after a higher one.
                let change = Change::Release { model, version: 2 + rng.next(4) };
                events.push(Event { at: START + Duration::from_millis(rng.next(FAULTS_WITHIN_MS)), change });
            }
        }
        for _ in 0..FAULTS {
            events.extend(crash_and_start(&mut rng, models));
        }
        let late = REPLICAS - 1;
        let joins_at = START + Duration::from_millis(rng.next(FAULTS_WITHIN_MS));
        events.push(Event { at: joins_at, change: Change::Join { replica: late } });
        Plan::sorted(models, late, events)
    }

    fn sorted(models: usize, listed_at_first: usize, mut events: Vec<Event>) -> Plan {
        events.sort_by_key(|event| event.at);
        Plan { models, listed_at_first, events }
    }

    pub fn events(&self) -> &[Event] {
        &self.events
    }

    pub fn last_event_at(&self) -> Duration {
        self.events.last().map_or(START, |event| event.at)
    }
}

fn crash_and_start(rng: &mut SeededRng, models: usize) -> [Event; 2] {
    let replica = rng.next(REPLICAS as u64 - 1) as usize;
    let at = START + Duration::from_millis(rng.next(FAULTS_WITHIN_MS));
    let down = Duration::from_millis(DOWN_MS.0 + rng.next(DOWN_MS.1 - DOWN_MS.0));
    let forgets = (rng.next(3) == 0).then(|| rng.next(models as u64) as usize);
    [
        Event { at, change: Change::Crash { replica } },
        Event { at: at + down, change: Change::Start { replica, forgets } },
    ]
}
