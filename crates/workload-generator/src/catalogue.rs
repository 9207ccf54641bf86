//! All days of a site for a seed, in a fixed order: scenarios, moments, pairs, twice in a row, alone.
use crate::day::{Closing, Day, Trouble};
use crate::kinds::{self, Kind, round};
use crate::site::Site;
use crate::{GenerateError, scenarios};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// When the troubles of a day begin, in seconds; calm comes first, so that a day has something to compare with.
const EARLY_S: [f64; 2] = [4.0, 10.0];
/// The pause between the same trouble and its second coming, in seconds.
const AGAIN_S: [f64; 2] = [5.0, 12.0];
/// How long a control machine is away before it returns, in seconds.
const AWAY_S: f64 = 3.0;
/// A storm of hundreds of changes: how many, and the seconds between two.
const STORM_CHANGES: u32 = 480;
const STORM_GAP_S: f64 = 0.05;
/// When a storm begins, in seconds.
const STORM_AT_S: f64 = 3.0;
/// The kinds of closing fault.
const CLOSINGS: [&str; 3] = ["power_off_all", "wipe_after_ack", "kill_all"];

/// A moment at which the control side is easily hurt.
#[derive(Clone, Copy, Debug)]
enum Moment {
    ChangeAcknowledged,
    MemberReturns,
    MemberLetIn,
    Storm,
    Closing,
}

const MOMENTS: [Moment; 5] =
    [Moment::ChangeAcknowledged, Moment::MemberReturns, Moment::MemberLetIn, Moment::Storm, Moment::Closing];

/// Makes the days of one site.
struct Maker<'a> {
    site: &'a Site,
    kinds: Vec<Kind>,
    rng: StdRng,
    days: Vec<Day>,
}

/// All days of a site for a seed.
///
/// # Errors
/// `GenerateError::Parse` where a table is damaged.
/// ```
/// use workload_generator::{catalogue::days, site::{EXAMPLE, Site}};
/// let site = Site::parse(EXAMPLE).unwrap();
/// assert_eq!(days(&site, 7).unwrap(), days(&site, 7).unwrap());
/// ```
pub fn days(site: &Site, seed: u64) -> Result<Vec<Day>, GenerateError> {
    let kinds = kinds::all()?.into_iter().filter(|kind| kind.exists_at(site)).collect();
    let mut maker = Maker { site, kinds, rng: StdRng::seed_from_u64(seed), days: Vec::new() };
    maker.add_scenarios()?;
    maker.add_moments();
    maker.add_pairs();
    maker.add_twice();
    maker.add_alone();
    Ok(maker.days)
}

impl Maker<'_> {
    fn add_scenarios(&mut self) -> Result<(), GenerateError> {
        for scenario in scenarios::all()? {
            let mut place = |entry: &Trouble| scenarios::place(entry, self.site, &mut self.rng);
            let plan = scenario.plan.iter().map(&mut place).collect();
            let faults = scenario.faults.iter().map(&mut place).collect();
            self.add(scenario.name, plan, faults, scenario.closing);
        }
        Ok(())
    }

    fn add_moments(&mut self) {
        let control: Vec<Kind> = self.kinds.iter().filter(|kind| kind.control).cloned().collect();
        for kind in control {
            for moment in MOMENTS {
                self.add_moment(&kind, moment);
            }
        }
    }

    /// A day on which `kind` comes at `moment`.
    fn add_moment(&mut self, kind: &Kind, moment: Moment) {
        let begin = self.draw(EARLY_S);
        let (mut plan, mut faults, mut closing) = (Vec::new(), Vec::new(), None);
        let strike_at = match moment {
            Moment::ChangeAcknowledged => {
                plan.push(entry("config_change", begin, |entry| entry.how = Some("timeout".into())));
                begin + self.draw([0.0, 0.06])
            }
            Moment::MemberReturns => {
                faults.push(entry("node_kill", begin, |entry| {
                    entry.on = Some("core".into());
                    entry.count = Some(1);
                    entry.for_s = Some(AWAY_S);
                    entry.how = Some("power".into());
                }));
                begin + AWAY_S + self.draw([0.0, 1.0])
            }
            Moment::MemberLetIn => {
                faults.push(entry("replace_core", begin, |entry| entry.x = Some(1.0)));
                begin + 1.0 + self.draw([0.2, 2.0])
            }
            Moment::Storm => {
                plan.push(entry("config_storm", STORM_AT_S, |entry| {
                    entry.count = Some(STORM_CHANGES);
                    entry.gap_s = Some(STORM_GAP_S);
                }));
                STORM_AT_S + self.draw([2.0, 18.0])
            }
            Moment::Closing => {
                closing = Some(self.draw_closing());
                self.site.length_s - self.draw([0.1, 2.5])
            }
        };
        let strike = kind.draw(self.site, strike_at, &mut self.rng);
        if kind.planned {
            plan.push(strike)
        } else {
            faults.push(strike)
        }
        self.add(format!("{}-at-{moment:?}", kind.name), plan, faults, closing);
    }

    fn add_pairs(&mut self) {
        for first in self.kinds.clone() {
            let Some(second) = self.kinds.choose(&mut self.rng).cloned() else { continue };
            let begin = self.draw(EARLY_S);
            let later = begin + self.draw([0.0, 3.0]);
            let name = format!("{}-with-{}", first.name, second.name);
            self.add_kinds(name, &[(&first, begin), (&second, later)]);
        }
    }

    fn add_twice(&mut self) {
        for kind in self.kinds.clone() {
            let begin = self.draw(EARLY_S);
            let again = begin + self.draw(AGAIN_S);
            self.add_kinds(format!("{}-twice", kind.name), &[(&kind, begin), (&kind, again)]);
        }
    }

    fn add_alone(&mut self) {
        for kind in self.kinds.clone() {
            let begin = self.draw(EARLY_S);
            self.add_kinds(format!("{}-alone", kind.name), &[(&kind, begin)]);
        }
    }

    /// A day of drawn entries; half of these days end with a closing fault.
    fn add_kinds(&mut self, name: String, kinds: &[(&Kind, f64)]) {
        let (mut plan, mut faults) = (Vec::new(), Vec::new());
        for (kind, at) in kinds {
            let entry = kind.draw(self.site, *at, &mut self.rng);
            if kind.planned { plan.push(entry) } else { faults.push(entry) }
        }
        let closing = self.rng.random_bool(0.5).then(|| self.draw_closing());
        self.add(name, plan, faults, closing);
    }

    fn add(&mut self, name: String, plan: Vec<Trouble>, faults: Vec<Trouble>, closing: Option<Closing>) {
        let seed = self.rng.random_range(1..1_000_000_000);
        let name = name.to_lowercase();
        self.days.push(Day { name, seed, closing, plan, faults, traffic: self.site.traffic.clone() });
    }

    fn draw_closing(&mut self) -> Closing {
        let kind = CLOSINGS.choose(&mut self.rng).copied().unwrap_or(CLOSINGS[0]);
        let how = ["", "timed", "aimed"].choose(&mut self.rng).copied().unwrap_or_default();
        let how = (kind == "wipe_after_ack" && !how.is_empty()).then(|| how.to_string());
        Closing { kind: kind.into(), down_s: self.draw([0.5, 1.6]), how }
    }

    fn draw(&mut self, [least, most]: [f64; 2]) -> f64 {
        round(self.rng.random_range(least..=most))
    }
}

/// An entry of a kind with fields of its own.
fn entry(kind: &str, at: f64, fill: impl FnOnce(&mut Trouble)) -> Trouble {
    let mut entry = Trouble { at, kind: kind.into(), ..Trouble::default() };
    fill(&mut entry);
    entry
}
