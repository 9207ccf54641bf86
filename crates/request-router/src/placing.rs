//! Placing a try and choosing its source.
use crate::passage::{Passage, Try};
use crate::shared::{Shared, count};
use prefix_table::blocks;
use std::time::Duration;
use way_choice::place::{Reason, Wish, place};
use way_choice::source;

/// How long after weights are named replicas on older ones may still serve.
const OLD_WEIGHTS: Duration = Duration::from_secs(15);

/// The next try's replica and source; `None` when no replica is fit.
pub fn next(shared: &Shared, passage: &mut Passage) -> Option<Try> {
    let fleet = shared.fleet.read();
    let blueprint = fleet.blueprint.as_ref()?;
    let model = blueprint.models.get(&passage.wanted.model)?;
    let young = fleet.weights_since.get(&passage.wanted.model).is_some_and(|(_, at)| at.elapsed() < OLD_WEIGHTS);
    let seats = shared.seats();
    let wish = Wish {
        session: &passage.session,
        model: &passage.wanted.model,
        weights: &model.weights,
        old_weights_too: young,
        kept: passage.kept.as_deref(),
        tried: &passage.tried,
        per_replica: blueprint.limits.per_replica,
    };
    let (seat, reason) = place(&seats, &wish)?;
    let salt = blocks::salt(&passage.wall, &passage.wanted.model, &seat.weights);
    let chain = blocks::chain(salt, passage.wanted.prompt.as_bytes(), blueprint.index.block_bytes as usize);
    let mirrors = shared.mirrors.read();
    let own = mirrors.get(&seat.id).filter(|m| m.weights == seat.weights).map_or(0, |m| source::leading(m, &chain));
    let missing = own < chain.len();
    count(if missing { &shared.counters.prefix_misses } else { &shared.counters.prefix_hits });
    let source = if missing { source::choose(&seats, &mirrors, seat, &chain, &blueprint.links, model) } else { None };
    if matches!(reason, Reason::PlaceLost | Reason::LoadBound | Reason::Retry) {
        count(&shared.counters.moves);
    }
    passage.explain.step(format!(
        "placed on {} ({}): {own} of {} blocks there by its mirror; source {}",
        seat.id,
        reason.words(),
        chain.len(),
        source
            .as_ref()
            .map_or("none".into(), |s| format!("{} with {} blocks, saves {} us", s.replica, s.blocks, s.saved_us))
    ));
    Some(Try { seat: seat.clone(), reason, source, blocks: chain })
}
