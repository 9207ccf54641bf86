//! What an index node answers: filters, audits and copies of tables to colleagues; pages to people.
use crate::known::{Shared, lock, shape};
use crate::pushing;
use fleet_common::ask::{Answer, Ask, audit};
use fleet_common::http_in::Incoming;
use fleet_common::json::quote;
use prefix_table::table::Table;

pub fn answer(shared: &Shared, ask: Ask) -> Answer {
    match ask {
        Ask::FilterPull(replica) => match pushing::filter(shared, replica.as_str()) {
            Some(filter) => Answer::Filter(filter),
            None => Answer::Refused("not my duty".into()),
        },
        Ask::Handover(tried) => {
            let verdict = match (shared.holds(tried.source.as_str()), shared.kept(tried.source.as_str())) {
                (Some(_), Some(kept)) => {
                    let mut held = lock(&kept);
                    let verdict = held.table.audit(tried.block);
                    held.audits[verdict as usize] += 1;
                    verdict
                }
                _ => audit::NOT_MINE,
            };
            Answer::Audit(verdict)
        }
        Ask::TablePull(replica) => match shared.kept(replica.as_str()) {
            Some(kept) => {
                let held = lock(&kept);
                Answer::Table(held.table.copy(replica.as_str(), held.fence))
            }
            None => Answer::Refused("no such table here".into()),
        },
        Ask::TablePush(copy) => {
            let replica = copy.replica.to_string();
            if shared.holds(&replica).is_some() {
                return Answer::Refused("held here already".into());
            }
            let table = Table::from_copy(shape(&shared.fleet.read()), shared.now(), &copy);
            let kept = shared.put(&replica, table, copy.fence);
            lock(&kept).first_loss = Some(std::time::Instant::now());
            Answer::Done
        }
        _ => Answer::Refused("not an index node's to answer".into()),
    }
}

pub fn page(shared: &Shared, incoming: Incoming) {
    match incoming.path.as_str() {
        "/health" => incoming.json(200, "{\"up\":true}", vec![]),
        "/log" => incoming.log(),
        "/self" => incoming.json(200, &words(shared), vec![]),
        "/metrics" => incoming.whole(200, "text/plain; version=0.0.4", metrics(shared).as_bytes(), vec![]),
        _ => incoming.json(404, "{\"error\":{\"pointer\":\"\",\"what\":\"no such page\"}}", vec![]),
    }
}

fn words(shared: &Shared) -> String {
    let fleet = shared.fleet.read();
    let tables: Vec<String> = shared
        .all_kept()
        .iter()
        .map(|(replica, kept)| {
            let fence = fleet.fence(replica, &shared.me);
            let held = lock(kept);
            let (weights, gaps, since) = held.table.facts();
            format!(
                "{}:{{\"role\":\"{}\",\"fence\":{},\"blocks\":{},\"weights\":{},\"gaps\":{gaps},\"sincePush\":{since},\"load\":{},\"down\":{},\"audits\":{{\"held\":{},\"collision\":{},\"stale\":{}}}}}",
                quote(replica),
                if fence.is_some() { "holder" } else { "shadow" },
                fence.unwrap_or(held.fence),
                held.table.items(),
                quote(weights),
                held.load,
                held.down,
                held.audits[0],
                held.audits[1],
                held.audits[2]
            )
        })
        .collect();
    format!(
        "{{\"name\":{},\"fresh\":{},\"versions\":{{{}}},\"tables\":{{{}}}}}",
        quote(&shared.me.name),
        shared.fresh.holds(std::time::Instant::now()),
        fleet.versions(),
        tables.join(",")
    )
}

fn metrics(shared: &Shared) -> String {
    let mut text = String::new();
    for (replica, kept) in shared.all_kept() {
        let held = lock(&kept);
        text += &format!("coursebend_index_blocks{{replica=\"{replica}\"}} {}\n", held.table.items());
        for (at, name) in ["held", "collision", "stale", "not_mine"].iter().enumerate() {
            let count = held.audits[at];
            text += &format!("coursebend_index_audits{{replica=\"{replica}\",verdict=\"{name}\"}} {count}\n");
        }
    }
    text
}
