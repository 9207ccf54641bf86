//! Which replica should hand a prefix over, and whether that beats reading it anew.
use crate::place::Seat;
use control_chain::blueprint::{Links, Model};
use control_chain::fleet::STORE;
use indexmap::IndexMap;
use prefix_table::filter::Mirror;

/// How many leading blocks a mirror says are held.
/// ```
/// # use fleet_common::ask::Filter;
/// # use prefix_table::filter::Mirror;
/// let mirror = Mirror::from_filter(Filter { replica: "r".into(), index: "i".into(), fence: 1, version: 1, weights: "w".into(),
///     m: 64, k: 2, items: 0, bits: vec![0; 8].into() }).unwrap();
/// assert_eq!(way_choice::source::leading(&mirror, &[1, 2]), 0);
/// ```
pub fn leading(mirror: &Mirror, blocks: &[u64]) -> usize {
    blocks.iter().take_while(|block| mirror.bits.has(**block)).count()
}

/// A hand-over worth trying.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    pub replica: String,
    pub at: String,
    /// Blocks the source is believed to hold, and those the place holds itself.
    pub blocks: usize,
    pub own: usize,
    pub filter_version: u64,
    pub saved_us: u64,
}

/// Mirrors by replica.
pub type Mirrors = IndexMap<String, std::sync::Arc<Mirror>>;

/// Picks the source that saves most over reading anew; `None` when none does. A mirror that is
/// stale, or of other weights than the place runs, never matches (a store holds blocks of many
/// weights; the hashes themselves are salted).
/// ```
/// # use way_choice::source::{Mirrors, choose};
/// # use way_choice::place::Seat;
/// # use control_chain::blueprint::{Links, Model};
/// let seat = Seat { id: "r1".into(), at: "".into(), district: "a".into(), model: "m".into(), weights: "w".into(),
///     leaving: false, down: false, load: 0 };
/// let links = Links { near_us_per_block: 1, far_us_per_block: 9, setup_us: 5 };
/// let model = Model { weights: "w".into(), prefill_us_per_block: 100 };
/// assert!(choose(&[seat.clone()], &Mirrors::new(), &seat, &[1, 2], &links, &model).is_none());
/// ```
pub fn choose(
    seats: &[Seat],
    mirrors: &Mirrors,
    place: &Seat,
    blocks: &[u64],
    links: &Links,
    model: &Model,
) -> Option<Source> {
    let matching = |seat: &Seat| {
        let same = |m: &&std::sync::Arc<Mirror>| !m.stale && (m.weights == place.weights || seat.model == STORE);
        mirrors.get(&seat.id).filter(same).map_or(0, |m| leading(m, blocks))
    };
    let own = matching(place);
    let candidates =
        seats.iter().filter(|s| s.id != place.id && (s.model == place.model || s.model == STORE) && !s.down);
    candidates
        .filter_map(|seat| {
            let held = matching(seat);
            let gained = held.checked_sub(own).filter(|gained| *gained > 0)? as u64;
            let near = seat.district == place.district;
            let per_block = if near { links.near_us_per_block } else { links.far_us_per_block };
            let saved = (gained * model.prefill_us_per_block).checked_sub(links.setup_us + gained * per_block)?;
            let source = Source {
                replica: seat.id.clone(),
                at: seat.at.clone(),
                blocks: held,
                own,
                filter_version: mirrors.get(&seat.id).map_or(0, |m| m.version),
                saved_us: saved,
            };
            (saved > 0).then_some((saved, std::cmp::Reverse(seat.load), source))
        })
        .max_by(|a, b| (a.0, a.1, &a.2.replica).cmp(&(b.0, b.1, &b.2.replica)))
        .map(|(_, _, source)| source)
}
