//! The two deployments' shapes: tenants, kinds, links and load.

/// A deployment's shape.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The name given on the command line.
    pub name: &'static str,
    /// The shape of the clients' load, as `test-doubles` names it.
    pub caller: &'static str,
    /// Time to transfer a block within a zone, in microseconds.
    pub near_us: u64,
    /// Time to transfer a block between zones, in microseconds.
    pub far_us: u64,
    /// Requests a second.
    pub per_second: u64,
    /// Tenants and whether each stands apart, with its share.
    pub tenants: Vec<(&'static str, bool, u64)>,
    /// Kinds of work: name, urgency, and time budget in milliseconds.
    pub kinds: &'static [(&'static str, u64, u64)],
}

/// Rahguzar: couriers, fast links between replicas.
/// ```
/// assert_eq!(local_fleet::shape::rahguzar().tenants.len(), 8);
/// ```
pub fn rahguzar() -> Shape {
    Shape {
        name: "rahguzar",
        caller: "courier",
        near_us: 100,
        far_us: 250,
        per_second: 24,
        tenants: vec![
            ("depot-north", true, 4),
            ("depot-south", true, 3),
            ("bazaar", false, 2),
            ("canal", false, 2),
            ("station", false, 1),
            ("airport", true, 1),
            ("clinic", false, 1),
            ("market", false, 1),
        ],
        kinds: &[("directions", 5, 30_000), ("reroute", 8, 15_000), ("question", 3, 20_000)],
    }
}

/// Tanoa: pub quizzes, slower links, noticeably busier.
/// ```
/// assert!(local_fleet::shape::tanoa().near_us > local_fleet::shape::rahguzar().near_us);
/// ```
pub fn tanoa() -> Shape {
    Shape {
        name: "tanoa",
        caller: "quiz",
        near_us: 1500,
        far_us: 3200,
        per_second: 40,
        tenants: vec![
            ("anchor", true, 4),
            ("bell", false, 3),
            ("crown", false, 2),
            ("dolphin", true, 2),
            ("eagle", false, 1),
            ("fox", false, 1),
            ("globe", true, 1),
            ("harp", false, 1),
        ],
        kinds: &[("mark", 6, 20_000), ("tiebreak", 9, 10_000), ("hint", 3, 20_000)],
    }
}

impl Shape {
    /// The blueprint of this shape.
    /// ```
    /// assert!(local_fleet::shape::tanoa().blueprint("w1").contains("\"weights\":\"w1\""));
    /// ```
    pub fn blueprint(&self, weights: &str) -> String {
        let tenants: Vec<String> = self
            .tenants
            .iter()
            .map(|(name, apart, share)| {
                let wall = if *apart { "apart" } else { "shared" };
                format!("\"{name}\":{{\"wall\":\"{wall}\",\"share\":{share}}}")
            })
            .collect();
        let kinds: Vec<String> = self
            .kinds
            .iter()
            .map(|(name, urgency, budget)| format!("\"{name}\":{{\"urgency\":{urgency},\"budgetMs\":{budget}}}"))
            .collect();
        format!(
            "{{\"tenants\":{{{}}},\"models\":{{\"m1\":{{\"weights\":\"{weights}\",\"prefillUsPerBlock\":4000}}}},\"kinds\":{{{}}},\"ways\":[{{\"path\":\"/v1/\",\"to\":\"model\"}},{{\"path\":\"/app/\",\"to\":\"app\"}}],\"links\":{{\"nearUsPerBlock\":{},\"farUsPerBlock\":{},\"setupUs\":2000}}}}",
            tenants.join(","),
            kinds.join(","),
            self.near_us,
            self.far_us
        )
    }

    /// The callers' keys: `key:tenant`, parted by commas.
    /// ```
    /// assert!(local_fleet::shape::tanoa().keys().starts_with("key-anchor:anchor,"));
    /// ```
    pub fn keys(&self) -> String {
        let each: Vec<String> = self.tenants.iter().map(|(name, ..)| format!("key-{name}:{name}")).collect();
        each.join(",")
    }
}
