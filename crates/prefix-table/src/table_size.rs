//! How many bits a table has and how many hashes an item: chosen by the number of items, where the configuration does not
//! fix the hashes.
use crate::counting_filter::{CountingFilter, best_hash_count};
use crate::table::{PrefixTable, TableSize};

const MIN_BITS: u32 = 1024;
const BITS_PER_ITEM: u32 = 20;
/// The hashes of a table that is nearly empty, where the best number would be many.
const INITIAL_HASHES: u8 = 4;
/// A table of fewer items is nearly empty.
const FEW_ITEMS: u32 = 64;
/// A table shrinks when its items need less than this part of its bits.
const SHRINK_DIVISOR: u32 = 4;

/// The smallest power of two with at least 20 bits for each item, from 1,024 up to `max_bits`.
pub fn fitting_bits(items: u32, max_bits: u32) -> u32 {
    let max_bits = max_bits.max(1);
    let wanted = items.saturating_mul(BITS_PER_ITEM).max(MIN_BITS).min(max_bits);
    wanted.checked_next_power_of_two().unwrap_or(max_bits).min(max_bits)
}

/// The counting filter of an empty table.
pub(crate) fn empty_filter(size: TableSize) -> CountingFilter {
    match size.hashes {
        0 => CountingFilter::new(fitting_bits(0, size.bits), INITIAL_HASHES),
        fixed => CountingFilter::new(size.bits, fixed),
    }
}

impl PrefixTable {
    /// Builds the counting filter anew once the items have outgrown its bits, need less than a quarter of them, or are
    /// far from the number that its hashes are best for.
    pub(crate) fn resize_if_needed(&mut self) {
        if self.size.hashes != 0 {
            return;
        }
        let (items, present_bits) = (self.counting_filter.items(), self.counting_filter.bits());
        let bits = fitting_or_present_bits(items, present_bits, self.size.bits);
        let best_hashes = best_hash_count(bits, items);
        let has_few_items = items < FEW_ITEMS;
        let hashes_are_off = !has_few_items && best_hashes.abs_diff(self.counting_filter.hashes()) > 1;
        if hashes_are_off || bits != present_bits {
            let hashes = if has_few_items { INITIAL_HASHES } else { best_hashes };
            self.counting_filter = CountingFilter::new(bits, hashes);
            for hash in self.entries.keys() {
                self.counting_filter.add(*hash);
            }
        }
    }
}

fn fitting_or_present_bits(items: u32, present_bits: u32, max_bits: u32) -> u32 {
    let fitting = fitting_bits(items, max_bits);
    let grows = fitting > present_bits;
    let needed = items.saturating_mul(BITS_PER_ITEM);
    let shrinks = fitting < present_bits && needed < present_bits / SHRINK_DIVISOR;
    if grows || shrinks { fitting } else { present_bits }
}
