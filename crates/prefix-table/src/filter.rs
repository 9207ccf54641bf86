//! Bloom filters of what replicas have cached, and the copies that routers keep of them.
use fleet_common::hash::mix;
use fleet_common::rpc::Filter;

/// Sets the second hash of an item apart from the first.
const STEP_SEED: u64 = 0x7072_6566;
/// More hashes than this are not read from a message.
const MAX_HASHES: u8 = 32;

/// A Bloom filter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BloomFilter {
    bytes: Vec<u8>,
    bit_count: u32,
    hash_count: u8,
}

/// The positions of an item's bits, one for each hash, by double hashing.
pub fn positions(item: u64, bit_count: u32, hash_count: u8) -> impl Iterator<Item = u32> {
    let (first, step) = (mix(item), mix(item ^ STEP_SEED) | 1);
    let position = move |hash: u64| first.wrapping_add(hash.wrapping_mul(step)) % u64::from(bit_count.max(1));
    (0..u64::from(hash_count)).map(move |hash| position(hash) as u32)
}

impl BloomFilter {
    /// An empty filter.
    pub fn new(bit_count: u32, hash_count: u8) -> Self {
        BloomFilter { bytes: vec![0; (bit_count as usize).div_ceil(8)], bit_count, hash_count }
    }

    /// Sets one bit.
    pub fn set(&mut self, position: u32) {
        self.bytes[position as usize / 8] |= 1 << (position % 8);
    }

    fn is_set(&self, position: u32) -> bool {
        self.bytes[position as usize / 8] & (1 << (position % 8)) != 0
    }

    /// Whether the item may be in the set; `false` is certain.
    pub fn contains(&self, item: u64) -> bool {
        positions(item, self.bit_count, self.hash_count).all(|position| self.is_set(position))
    }

    /// The share of bits that are set.
    pub fn fill_ratio(&self) -> f64 {
        let set: u32 = self.bytes.iter().map(|byte| byte.count_ones()).sum();
        f64::from(set) / f64::from(self.bit_count.max(1))
    }

    /// How many bytes its bits take.
    pub fn bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Its bytes, number of bits and number of hashes, for a message.
    pub fn into_parts(self) -> (Vec<u8>, u32, u8) {
        (self.bytes, self.bit_count, self.hash_count)
    }

    /// A filter from a message; none where the numbers do not fit the bytes.
    pub fn from_parts(bytes: Vec<u8>, bit_count: u32, hash_count: u8) -> Option<Self> {
        let is_well_formed =
            bit_count > 0 && (1..=MAX_HASHES).contains(&hash_count) && bytes.len() == (bit_count as usize).div_ceil(8);
        is_well_formed.then_some(BloomFilter { bytes, bit_count, hash_count })
    }
}

/// The version of a filter: versions count anew under each fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FilterVersion {
    /// The fencing token of the owner.
    pub fencing_token: u64,
    /// The version.
    pub version: u64,
}

/// A router's copy of a replica's filter.
#[derive(Clone, Debug)]
pub struct FilterCopy {
    /// The replica.
    pub replica: String,
    /// The weights.
    pub weights: String,
    /// The index node that made it.
    pub index: String,
    /// The fencing token of the owner.
    pub fencing_token: u64,
    /// The version.
    pub version: u64,
    /// The filter.
    pub bits: BloomFilter,
    /// How often it named what its replica did not have.
    pub false_hits: u64,
    /// Whether it had too many false hits to be used.
    pub stale: bool,
}

impl FilterCopy {
    /// A copy of a filter as received; none where it is malformed.
    pub fn from_filter(filter: Filter) -> Option<Self> {
        Some(FilterCopy {
            replica: filter.replica.to_string(),
            weights: filter.weights.to_string(),
            index: filter.index.to_string(),
            fencing_token: filter.fencing_token,
            version: filter.version,
            bits: BloomFilter::from_parts(filter.bits.as_slice().to_vec(), filter.bit_count, filter.hash_count)?,
            false_hits: 0,
            stale: false,
        })
    }

    fn full_version(&self) -> FilterVersion {
        FilterVersion { fencing_token: self.fencing_token, version: self.version }
    }

    /// Whether this copy is to be replaced by another: one under a later fencing token, or a later version under the same.
    pub fn older_than(&self, other: &FilterCopy) -> bool {
        self.full_version() < other.full_version()
    }

    /// Whether it may be used: it is not stale, and no older than this.
    pub fn is_trusted(&self, minimum_version: FilterVersion) -> bool {
        !self.stale && self.full_version() >= minimum_version
    }

    /// Counts a false hit. Returns whether the copy is stale by now, as it had `max_false_hits`: a new filter should then
    /// be pulled.
    pub fn count_false_hit(&mut self, max_false_hits: u64) -> bool {
        self.false_hits += 1;
        self.stale = self.false_hits >= max_false_hits;
        self.stale
    }
}
