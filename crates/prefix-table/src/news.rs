//! What an index node tells: filters to routers after beta events, the state of its replicas to routers
//! and colleagues; and what it answers when it is asked.
use crate::keeper::{Keeper, Output, shape};
use crate::seats;
use crate::table::Table;
use fleet_common::ask::{Answer, Ask, Filter, Handover, SeatNews, audit};
use fleet_common::json::quote;
use std::collections::BTreeSet;
use std::time::Duration;

const AUDITS_KEPT: usize = 2048;
const SEATS_ANEW: Duration = Duration::from_millis(1000);

impl Keeper {
    /// Makes the filter of a replica for sending, if its duty is held here.
    /// ```
    /// # use fleet_common::node::Identity;
    /// # let me = Identity { name: "i1".into(), kind: "index", incarnation: 1, at: "".into(), district: "a".into() };
    /// # let mut keeper = prefix_table::keeper::Keeper::new(me);
    /// assert!(keeper.filter("r1").is_none());
    /// ```
    pub fn filter(&mut self, replica: &str) -> Option<Filter> {
        let fence = self.holds(replica)?;
        let index = self.me.name.as_str().into();
        let kept = self.kept.get_mut(replica).filter(|kept| kept.fence == Some(fence))?;
        let (items, weights) = (kept.table.items() as u32, kept.table.facts().0.into());
        let (bits, version) = kept.table.send();
        let (words, m, k) = bits.into_parts();
        Some(Filter { replica: replica.into(), index, fence, version, weights, m, k, items, bits: words.into() })
    }

    fn seat(&self, replica: &str, fence: u64) -> Option<SeatNews> {
        let kept = self.kept.get(replica)?;
        let (order, stage) = self.stage(replica);
        Some(SeatNews {
            replica: replica.into(),
            fence,
            load: kept.told.load,
            weights: kept.table.facts().0.into(),
            down: kept.down.into(),
            floor: kept.table.floor(),
            order: order.as_str().into(),
            stage,
        })
    }

    pub(crate) fn news_tick(&mut self) {
        let of = |kind: &str| -> BTreeSet<String> {
            self.fleet.members.values().filter(|m| m.kind == kind).map(|m| m.at.clone()).collect()
        };
        let (edges, mut all) = (of("edge"), of("index"));
        all.remove(&self.me.at);
        all.extend(edges.iter().cloned());
        let newcomers: Vec<String> = all.iter().filter(|at| !self.known.contains(*at)).cloned().collect();
        self.known = all.clone();
        let beta = self.fleet.blueprint.as_ref().map_or(25, |b| b.index.beta);
        let mut seats = Vec::new();
        let replicas: Vec<String> = self.kept.keys().cloned().collect();
        for replica in replicas {
            let Some(fence) = self.holds(&replica).filter(|_| self.held_now(&replica).is_some()) else { continue };
            let due = self.kept.get(&replica).is_some_and(|kept| kept.table.due(beta));
            let to: Vec<String> = if due { edges.iter().cloned().collect() } else { newcomers.clone() };
            let to: Vec<String> = to.into_iter().filter(|at| edges.contains(at)).collect();
            if !to.is_empty()
                && let Some(filter) = self.filter(&replica)
            {
                self.out.extend(to.into_iter().map(|at| Output::Tell(at, Ask::FilterPush(filter.clone()))));
            }
            let Some(seat) = self.seat(&replica, fence) else { continue };
            let old = |(last, at): &(SeatNews, Duration)| {
                *last == seat && self.now.saturating_sub(*at) < SEATS_ANEW && newcomers.is_empty()
            };
            if !self.told.get(&replica).is_some_and(old) {
                self.told.insert(replica, (seat.clone(), self.now));
                seats.push(seat);
            }
        }
        if !seats.is_empty() {
            self.out.extend(all.into_iter().map(|at| Output::Tell(at, Ask::Seats(seats.clone().into()))));
        }
    }

    /// What an operator may ask of a try after its router is gone.
    fn remember(&mut self, tried: &Handover, verdict: u8) {
        let words = format!(
            "{{\"router\":{},\"source\":{},\"verdict\":\"{}\",\"firstPieceMs\":{},\"expectedMs\":{}}}",
            quote(tried.router.as_str()),
            quote(tried.source.as_str()),
            ["held", "collision", "stale", "not mine"].get(verdict as usize).unwrap_or(&"odd"),
            tried.first_piece_ms,
            tried.expected_ms
        );
        self.audited.push_back((tried.request.to_string(), words));
        if self.audited.len() > AUDITS_KEPT {
            self.audited.pop_front();
        }
    }

    /// Answers routers and colleagues.
    /// ```
    /// # use fleet_common::node::Identity;
    /// # let me = Identity { name: "i1".into(), kind: "index", incarnation: 1, at: "".into(), district: "a".into() };
    /// # let mut keeper = prefix_table::keeper::Keeper::new(me);
    /// use fleet_common::ask::{Answer, Ask};
    /// assert!(matches!(keeper.answer(std::time::Duration::ZERO, Ask::FilterPull("r1".into())), Answer::Refused(_)));
    /// ```
    pub fn answer(&mut self, now: Duration, ask: Ask) -> Answer {
        self.at(now);
        match ask {
            Ask::FilterPull(replica) => match self.filter(replica.as_str()) {
                Some(filter) => Answer::Filter(filter),
                None => Answer::Refused("not my duty".into()),
            },
            Ask::Handover(tried) => {
                let held = self.holds(tried.source.as_str());
                let verdict = match (held, self.kept.get_mut(tried.source.as_str())) {
                    (Some(fence), Some(kept)) if kept.fence == Some(fence) => {
                        let verdict = kept.table.audit(tried.block);
                        kept.audits[verdict as usize] += 1;
                        verdict
                    }
                    _ => audit::NOT_MINE,
                };
                self.remember(&tried, verdict);
                Answer::Audit(verdict)
            }
            Ask::Query(text) => {
                let id = text.as_str().strip_prefix("explain/").unwrap_or_default();
                let said: Vec<&str> =
                    self.audited.iter().filter(|(request, _)| request == id).map(|(_, words)| words.as_str()).collect();
                match said.is_empty() {
                    true => Answer::Refused("no such request here".into()),
                    false => Answer::Json(format!("[{}]", said.join(",")).into_bytes().into()),
                }
            }
            Ask::TablePull(replica) => match self.kept.get(replica.as_str()) {
                Some(kept) => Answer::Table(kept.table.copy(replica.as_str(), kept.fence.unwrap_or(kept.copied_under))),
                None => Answer::Refused("no such table here".into()),
            },
            Ask::TablePush(copy) => {
                let replica = copy.replica.to_string();
                if self.held_now(&replica).is_some() {
                    return Answer::Refused("held here already".into());
                }
                let table = Table::from_copy(shape(&self.fleet), self.now, &copy);
                self.keep_copy(&replica, table, copy.fence);
                Answer::Done
            }
            Ask::Seats(told) => {
                seats::take(&mut self.news, self.now, told.into_items());
                Answer::Done
            }
            _ => Answer::Refused("not an index node's to answer".into()),
        }
    }
}
