//! Placing a try and choosing its source.
use crate::passage::{Passage, Try};
use crate::shared::{Shared, count};
use control_chain::fleet::APP;
use prefix_table::blocks;
use std::time::Duration;
use way_choice::links::Costs;
use way_choice::place::{Reason, Wish, place};
use way_choice::source;

/// While a roll-out is younger than this, replicas still on the old weights may serve.
const OLD_WEIGHTS: Duration = Duration::from_secs(15);

pub fn next(shared: &Shared, passage: &mut Passage) -> Option<Try> {
    let seats = shared.seats();
    if passage.to_app {
        let open = seats.into_iter().find(|s| s.model == APP && !s.leaving && !s.down);
        let open = open.filter(|s| !passage.trip.tried.contains(&s.id));
        return open.map(|seat| Try { seat, reason: Reason::Home, source: None, blocks: Vec::new(), own: 0 });
    }
    let fleet = shared.fleet.read();
    let blueprint = fleet.blueprint.as_ref()?;
    let model = blueprint.models.get(&passage.wanted.model)?;
    let now = shared.now();
    let since = fleet.weights_since.get(&passage.wanted.model).map(|(_, at)| now.saturating_sub(*at));
    let wish = Wish {
        session: &passage.session,
        model: &passage.wanted.model,
        weights: &model.weights,
        old_weights_too: since.is_some_and(|since| since < OLD_WEIGHTS),
        kept: passage.kept.as_deref(),
        tried: &passage.trip.tried,
        per_replica: blueprint.limits.per_replica,
    };
    let (seat, reason) = place(&seats, &wish)?;
    let salt = blocks::salt(&passage.wall, &passage.wanted.model, &seat.weights);
    let chain = blocks::chain(salt, passage.wanted.prompt.as_bytes(), blueprint.index.block_bytes as usize);
    let mirrors = shared.mirrors.read();
    let own = source::own(&mirrors, seat, &chain);
    let missing = own < chain.len();
    count(if missing { &shared.counters.prefix_misses } else { &shared.counters.prefix_hits });
    let learnt = shared.learnt();
    let costs = Costs { links: &blueprint.links, learnt: Some(&learnt), now };
    let source = if missing { source::choose(&seats, &mirrors, seat, &chain, &costs, model) } else { None };
    if matches!(reason, Reason::PlaceLost | Reason::LoadBound | Reason::Retry) {
        count(&shared.counters.moves);
    }
    let found = source.as_ref().map_or("none".into(), |s| {
        let link = costs.us_per_block(&s.pair);
        format!("{} with {} blocks at {link} us each, saves {} us", s.replica, s.blocks, s.saved_us)
    });
    passage.explain.step(format!(
        "placed on {} ({}): {own} of {} blocks there by its mirror; source {found}",
        seat.id,
        reason.words(),
        chain.len(),
    ));
    Some(Try { seat: seat.clone(), reason, source, blocks: chain, own })
}
