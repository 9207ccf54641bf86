//! Configurations of routes against a plain model: lists of named items, a number, and what was taken.
use control_state::command::{Command, CommandRequest};
use control_state::route_config::{Change, Item, Items, Route, RouteConfig, RouteConfigPatch, Service, Tenant};
use control_state::state::State;
use fleet_common::hash::SeededRng;

/// Names with meanings and texts, in order.
type Rows<T> = Vec<(String, T, String)>;

/// A configuration as one would write it down.
#[derive(Clone, Debug, Default, PartialEq)]
struct Plain {
    revision: u64,
    routes: Rows<Route>,
    services: Rows<Service>,
    tenants: Rows<Tenant>,
}

#[derive(Clone, Debug)]
enum Wanted {
    Whole(Plain),
    Named { set: Plain, drop: [Vec<String>; 3] },
}

#[derive(Default)]
struct Model {
    held: Plain,
    taken: Vec<(u64, String)>,
}

fn merge<T: Clone>(held: &mut Rows<T>, set: &Rows<T>, drop: &[String]) {
    held.retain(|(name, ..)| !drop.contains(name));
    for row in set {
        match held.iter().position(|(name, ..)| *name == row.0) {
            Some(at) => held[at] = row.clone(),
            None => held.push(row.clone()),
        }
    }
}

fn valid(plain: &Plain) -> bool {
    let routes = || plain.routes.iter().map(|(_, route, _)| route);
    let known = |name: &String| plain.services.iter().any(|(n, ..)| n == name);
    let place = |route: &Route| (route.host.clone(), route.prefix.clone());
    let keys = || plain.tenants.iter().flat_map(|(name, t, _)| t.keys.iter().map(move |key| (name, key)));
    routes()
        .all(|r| r.timeout_ms > 0 && r.targets.iter().any(|(_, w)| *w > 0) && r.targets.iter().all(|(n, _)| known(n)))
        && routes().enumerate().all(|(at, one)| routes().skip(at + 1).all(|other| place(one) != place(other)))
        && keys().all(|(name, key)| keys().all(|(other, same)| key != same || name == other))
}

impl Model {
    fn put(&mut self, over: u64, wanted: &Wanted) -> u16 {
        let mut next = self.held.clone();
        let revision = match wanted {
            Wanted::Whole(whole) => {
                next = whole.clone();
                whole.revision
            }
            Wanted::Named { set, drop } => {
                merge(&mut next.routes, &set.routes, &drop[0]);
                merge(&mut next.services, &set.services, &drop[1]);
                merge(&mut next.tenants, &set.tenants, &drop[2]);
                set.revision
            }
        };
        next.revision = revision;
        let words = format!("{over} {wanted:?}");
        if self.taken.contains(&(revision, words.clone())) {
            return 202;
        }
        if over != self.held.revision {
            return 412;
        }
        if revision <= self.held.revision || !valid(&next) {
            return 400;
        }
        self.held = next;
        self.taken.push((revision, words));
        202
    }
}

fn items<T: Clone>(rows: &Rows<T>) -> Items<T> {
    rows.iter()
        .map(|(name, row, text)| (name.clone(), Item { value: row.clone(), source_text: text.clone() }))
        .collect()
}

fn change(wanted: &Wanted) -> Change {
    match wanted {
        Wanted::Whole(plain) => Change::Replace(Box::new(RouteConfig {
            revision: plain.revision,
            routes: items(&plain.routes),
            services: items(&plain.services),
            tenants: items(&plain.tenants),
            ..RouteConfig::default()
        })),
        Wanted::Named { set, drop: [routes, services, tenants] } => Change::Patch(Box::new(RouteConfigPatch {
            unknown_fields: Default::default(),
            revision: set.revision,
            set_routes: items(&set.routes),
            set_services: items(&set.services),
            set_tenants: items(&set.tenants),
            set_bounds: None,
            drop_routes: routes.clone(),
            drop_services: services.clone(),
            drop_tenants: tenants.clone(),
        })),
    }
}

fn rows<T: Clone>(rng: &mut SeededRng, most: u64, letter: char, mut make: impl FnMut(&mut SeededRng) -> T) -> Rows<T> {
    let mut all: Rows<T> = Vec::new();
    for _ in 0..rng.next(most + 1) {
        let name = format!("{letter}{}", rng.next(4));
        if all.iter().all(|(n, ..)| *n != name) {
            let row = make(rng);
            all.push((name, row, format!("text {}", rng.next(1000))));
        }
    }
    all
}

fn plain(rng: &mut SeededRng, revision: u64, most: u64) -> Plain {
    let route = |rng: &mut SeededRng| Route {
        host: format!("h{}", rng.next(3)),
        prefix: format!("/p{}/", rng.next(4)),
        targets: (0..1 + rng.next(2)).map(|_| (format!("s{}", rng.next(4)), rng.next(8))).collect(),
        timeout_ms: rng.next(12) * 10,
        ..Route::default()
    };
    Plain {
        revision,
        routes: rows(rng, most, 'r', route),
        services: rows(rng, most + 3, 's', |rng| Service { connections: rng.next(9), ..Service::default() }),
        tenants: rows(rng, most, 't', |rng| Tenant { keys: vec![format!("k{}", rng.next(9))], ..Tenant::default() }),
    }
}

fn wish(rng: &mut SeededRng, held: u64) -> (u64, Wanted) {
    let revision = if rng.next(8) == 0 { held } else { held + 1 + rng.next(3) };
    let over = if rng.next(8) == 0 { held.saturating_sub(1) } else { held };
    if rng.next(4) == 0 {
        return (over, Wanted::Whole(plain(rng, revision, 3)));
    }
    let names = |rng: &mut SeededRng, letter| (0..rng.next(2)).map(|_| format!("{letter}{}", rng.next(4))).collect();
    let drop = [names(rng, 'r'), names(rng, 's'), names(rng, 't')];
    (over, Wanted::Named { set: plain(rng, revision, 1), drop })
}

fn held(state: &State) -> Plain {
    fn rows<T: Clone>(items: &Items<T>) -> Rows<T> {
        items.iter().map(|(name, item)| (name.clone(), item.value.clone(), item.source_text.clone())).collect()
    }
    state.route_config.as_ref().map_or(Plain::default(), |c| Plain {
        revision: c.revision,
        routes: rows(&c.routes),
        services: rows(&c.services),
        tenants: rows(&c.tenants),
    })
}

fn put(state: &mut State, over: u64, wanted: &Wanted) -> u16 {
    let packed =
        CommandRequest::internal(Command::ChangeRouteConfig { over, change: change(wanted) }).encode().unwrap();
    state.apply(&CommandRequest::decode(&packed).expect("it is read as it was written")).code
}

#[test]
fn what_operators_send_in_any_order_is_as_in_the_model() {
    let mut codes = std::collections::BTreeMap::<u16, u64>::new();
    for seed in 0..300 {
        let (mut rng, mut state, mut model) = (SeededRng::new(seed), State::default(), Model::default());
        let mut sent: Vec<(u64, Wanted)> = Vec::new();
        for step in 0..60 {
            let again = !sent.is_empty() && rng.next(4) == 0;
            let (over, wanted) = match again {
                true => sent[rng.next(sent.len() as u64) as usize].clone(),
                false => wish(&mut rng, model.held.revision),
            };
            let before = held(&state);
            let code = put(&mut state, over, &wanted);
            assert_eq!(code, model.put(over, &wanted), "seed {seed} step {step}: {over} {wanted:?}");
            assert_eq!(held(&state), model.held, "seed {seed} step {step}: order, meanings and texts");
            assert!(code == 202 || held(&state) == before, "seed {seed} step {step}: what is refused changes nothing");
            *codes.entry(code).or_default() += 1;
            sent.push((over, wanted));
            if rng.next(10) == 0 {
                state = State::decode(&state.encode().unwrap()).expect("a state is read as it was written");
            }
        }
    }
    assert!(codes.len() == 3 && codes.values().all(|n| *n > 500), "all answers are met: {codes:?}");
}

/// Two operators build on one version: one wins, and each is answered the same however often it asks.
#[test]
fn of_two_on_one_version_one_wins() {
    for seed in 0..200 {
        let (mut rng, mut state) = (SeededRng::new(seed), State::default());
        let mut base = 0;
        for round in 0..10 {
            let ours = |rng: &mut SeededRng, mine: u64| Plain { revision: base + 1 + rng.next(3), ..one(mine) };
            let (one, two) = (Wanted::Whole(ours(&mut rng, 1)), Wanted::Whole(ours(&mut rng, 2)));
            let first = put(&mut state, base, &one);
            assert_eq!((first, put(&mut state, base, &two)), (202, 412), "seed {seed} round {round}");
            for _ in 0..4 {
                let (wanted, code) = if rng.next(2) == 0 { (&one, 202) } else { (&two, 412) };
                assert_eq!(put(&mut state, base, wanted), code, "seed {seed} round {round}");
            }
            let Wanted::Whole(won) = one else { panic!() };
            assert_eq!(held(&state), won);
            base = won.revision;
        }
    }
}

fn one(mine: u64) -> Plain {
    let service = ("s1".to_string(), Service { connections: mine, ..Service::default() }, format!("text of {mine}"));
    Plain { services: vec![service], ..Plain::default() }
}
