//! The load: conversations that begin with a shared prefix and grow turn by turn.
use fleet_common::hash::{self, SeededRng};

/// A kind of work: weight, shared blocks, own blocks at first, own blocks each turn.
pub type Kind = (u64, usize, usize, usize);

/// A deployment's load and links.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The name of the deployment.
    pub name: &'static str,
    /// Its kinds of requests.
    pub kinds: &'static [Kind],
    /// Requests a second.
    pub per_second: u64,
    /// Time to transfer a block within a zone, in microseconds.
    pub near_us: u64,
    /// Time to transfer a block between zones, in microseconds.
    pub far_us: u64,
    /// How many tenants there are.
    pub tenants: u64,
}

/// The courier side: fast links, longer prefixes.
pub const FAST_LINKS: Workload = Workload {
    name: "rahguzar",
    kinds: &[(5, 48, 6, 3), (3, 32, 4, 2), (2, 4, 2, 1)],
    per_second: 60,
    near_us: 100,
    far_us: 250,
    tenants: 8,
};

/// The quiz side: slow links, busier.
pub const SLOW_LINKS: Workload = Workload {
    name: "tanoa",
    kinds: &[(6, 40, 5, 2), (2, 24, 3, 1), (2, 6, 2, 1)],
    per_second: 110,
    near_us: 1500,
    far_us: 3200,
    tenants: 8,
};

/// One request: its session and the hashes of its prompt's blocks.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the conversation.
    pub session: String,
    /// The hashes of the prompt's blocks, in order.
    pub blocks: Vec<u64>,
}

struct Conversation {
    name: String,
    blocks: Vec<u64>,
    blocks_per_turn: usize,
    turns_left: u64,
}

/// An endless source of requests.
pub struct Load {
    shape: Workload,
    rng: SeededRng,
    conversations: Vec<Conversation>,
    started: u64,
}

impl Load {
    /// Starts a load from a seed.
    pub fn new(shape: Workload, seed: u64) -> Self {
        Load { shape, rng: SeededRng::new(seed), conversations: Vec::new(), started: 0 }
    }

    fn grow(&mut self, blocks: &mut Vec<u64>, by: usize) {
        for _ in 0..by {
            let before = blocks.last().copied().unwrap_or(0);
            blocks.push(hash::mix(before ^ self.rng.next(u64::MAX)));
        }
    }

    fn start_conversation(&mut self) -> Conversation {
        self.started += 1;
        let tenant = self.rng.next(self.shape.tenants).min(self.rng.next(self.shape.tenants));
        let mut roll = self.rng.next(self.shape.kinds.iter().map(|k| k.0).sum());
        let mut at = 0;
        while roll >= self.shape.kinds[at].0 {
            roll -= self.shape.kinds[at].0;
            at += 1;
        }
        let (_, shared, own, grows) = self.shape.kinds[at];
        let mut before = hash::mix(tenant * 100 + at as u64);
        let mut blocks: Vec<u64> = Vec::new();
        for _ in 0..shared {
            before = hash::mix(before);
            blocks.push(before);
        }
        self.grow(&mut blocks, own);
        let turns = 2 + self.rng.next(9);
        Conversation { name: format!("s{}", self.started), blocks, blocks_per_turn: grows, turns_left: turns }
    }

    /// The next request: some conversation's next turn, or a new conversation.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Request {
        if self.conversations.len() < 120 || self.rng.next(8) == 0 {
            let talk = self.start_conversation();
            self.conversations.push(talk);
        }
        let at = self.rng.next(self.conversations.len() as u64) as usize;
        let mut talk = self.conversations.swap_remove(at);
        let request = Request { session: talk.name.clone(), blocks: talk.blocks.clone() };
        let mut blocks = std::mem::take(&mut talk.blocks);
        self.grow(&mut blocks, talk.blocks_per_turn);
        talk.blocks = blocks;
        talk.turns_left -= 1;
        if talk.turns_left > 0 {
            self.conversations.push(talk);
        }
        request
    }
}
