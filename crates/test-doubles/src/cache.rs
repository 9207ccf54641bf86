//! A block cache that forgets the least lately used, and remembers under which wall and weights
//! each block was made.
use indexmap::IndexMap;

/// Under what a block was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Made {
    pub wall: String,
    pub weights: String,
}

pub struct Cache {
    blocks: IndexMap<u64, Made>,
    most: usize,
}

impl Cache {
    pub fn new(most: usize) -> Self {
        Cache { blocks: IndexMap::new(), most: most.max(1) }
    }

    /// How many leading blocks are held, all made under the same wall and weights. Uses them.
    pub fn leading(&mut self, chain: &[u64], made: &Made) -> usize {
        let held = chain.iter().take_while(|hash| self.blocks.get(*hash) == Some(made)).count();
        for hash in chain[..held].iter().rev() {
            if let Some(at) = self.blocks.get_index_of(hash) {
                self.blocks.move_index(at, self.blocks.len() - 1);
            }
        }
        held
    }

    /// Stores blocks; gives those newly stored and those forgotten for them.
    pub fn store(&mut self, hashes: &[u64], made: &Made) -> (Vec<u64>, Vec<u64>) {
        let (mut stored, mut forgotten) = (Vec::new(), Vec::new());
        for hash in hashes {
            if self.blocks.insert(*hash, made.clone()).is_none() {
                stored.push(*hash);
            }
        }
        while self.blocks.len() > self.most {
            if let Some((hash, _)) = self.blocks.shift_remove_index(0) {
                match stored.iter().position(|s| *s == hash) {
                    Some(at) => _ = stored.remove(at),
                    None => forgotten.push(hash),
                }
            }
        }
        (stored, forgotten)
    }

    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }
}
