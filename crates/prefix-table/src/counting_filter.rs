//! A counting Bloom filter: counters that are raised at each position of an item, so that items can be removed again. Its
//! Bloom filter has a bit wherever a counter is 1 or more.
use crate::filter::{BloomFilter, positions};

/// The most hashes that are worth their time.
const MAX_HASHES: f64 = 16.0;

/// A counting Bloom filter. Nothing may be removed that was not added; `table` sees to that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountingFilter {
    counters: Vec<u16>,
    hashes: u8,
    items: u32,
}

/// The best number of hashes for m bits and n items: (m / n) ln 2, within 1 to 16.
pub fn best_hash_count(bits: u32, items: u32) -> u8 {
    let bits_per_item = f64::from(bits) / f64::from(items.max(1));
    (bits_per_item * std::f64::consts::LN_2).round().clamp(1.0, MAX_HASHES) as u8
}

impl CountingFilter {
    /// An empty filter of `bits` counters.
    pub fn new(bits: u32, hashes: u8) -> Self {
        CountingFilter { counters: vec![0; bits.max(1) as usize], hashes: hashes.max(1), items: 0 }
    }

    /// How many items it contains.
    pub fn items(&self) -> u32 {
        self.items
    }

    /// How many counters it has: the bits of its Bloom filter.
    pub fn bits(&self) -> u32 {
        self.counters.len() as u32
    }

    /// How many hashes each item has.
    pub fn hashes(&self) -> u8 {
        self.hashes
    }

    /// Adds an item.
    pub fn add(&mut self, item: u64) {
        self.items += 1;
        for position in positions(item, self.bits(), self.hashes) {
            let counter = &mut self.counters[position as usize];
            *counter = counter.saturating_add(1);
        }
    }

    /// Removes an item that was added. A counter that is full stays full: it has lost count.
    pub fn remove(&mut self, item: u64) {
        self.items = self.items.saturating_sub(1);
        for position in positions(item, self.bits(), self.hashes) {
            let counter = &mut self.counters[position as usize];
            if *counter != u16::MAX {
                *counter = counter.saturating_sub(1);
            }
        }
    }

    /// Its Bloom filter: all that is ever sent of it.
    pub fn filter(&self) -> BloomFilter {
        let mut filter = BloomFilter::new(self.bits(), self.hashes);
        for (position, _) in self.counters.iter().enumerate().filter(|(_, counter)| **counter > 0) {
            filter.set(position as u32);
        }
        filter
    }
}
