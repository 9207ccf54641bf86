//! Tables of what was measured: a line for each point, and the slopes.
use crate::point::Point;
use scale_fleet::fit::{Line, line as fitted};
use scale_fleet::size::AXES;
use std::collections::BTreeSet;

/// The square is taken where it explains so much more of the variance.
const SQUARE_BETTER: f64 = 0.02;

/// What is fitted: a name, a unit, and the figure of a point.
pub type Figure = (String, &'static str, Box<dyn Fn(&Point) -> Option<f64>>);

/// One line on a point, for whoever watches the run.
pub fn line(point: &Point) -> String {
    let size = &point.size;
    let roles: Vec<String> = point
        .roles
        .iter()
        .map(|(name, c)| format!("{name} {:.1}% {:.0}M", c.core_share * 100.0, c.resident_bytes / 1048576.0))
        .collect();
    let bytes: f64 = point.node.values().map(|(_, bytes)| bytes).sum();
    let stirs: Vec<String> = point
        .stirs
        .iter()
        .map(|(name, s)| format!("{name} {:.0}/{:.0} ms, cores {:.0} ms", s.took_ms, s.in_force_ms, s.cores_ms))
        .collect();
    format!(
        "{} nodes {} replicas {} events {} parts {} tenants {} seed {} | settled {:.0} ms | {} | node {:.0} B/s | {} {}",
        point.axis,
        size.nodes,
        size.replicas,
        size.events,
        size.parts,
        size.tenants,
        size.seed,
        point.settled_ms,
        roles.join(", "),
        bytes,
        stirs.join("; "),
        point.fault
    )
}

/// All figures that are fitted.
pub fn figures(points: &[Point]) -> Vec<Figure> {
    let names = |of: &dyn Fn(&Point) -> Vec<String>| points.iter().flat_map(of).collect::<BTreeSet<String>>();
    let mut all: Vec<Figure> = Vec::new();
    for role in names(&|p| p.roles.keys().filter(|n| *n != "hollow").cloned().collect()) {
        let (cpu, memory) = (role.clone(), role.clone());
        let of = move |p: &Point| Some(p.roles.get(&cpu)?.core_share * 100.0);
        all.push((format!("{role}: processor"), "% of a core", Box::new(of)));
        let of = move |p: &Point| Some(p.roles.get(&memory)?.resident_bytes / 1e6);
        all.push((format!("{role}: memory"), "MB", Box::new(of)));
    }
    fn index(p: &Point, of: fn(&crate::point::Cost) -> f64) -> Option<f64> {
        Some(p.roles.iter().filter(|(name, _)| name.starts_with("index")).map(|(_, cost)| of(cost)).sum())
    }
    let of = |p: &Point| index(p, |cost| cost.core_share * 100.0);
    all.push(("index nodes together: processor".into(), "% of a core", Box::new(of)));
    let of = |p: &Point| index(p, |cost| cost.resident_bytes / 1e6);
    all.push(("index nodes together: memory".into(), "MB", Box::new(of)));
    for cause in names(&|p| p.node.keys().cloned().collect()) {
        let (messages, bytes) = (cause.clone(), cause.clone());
        let of = move |p: &Point| Some(p.node.get(&messages)?.0);
        all.push((format!("a node's {cause}"), "messages/s", Box::new(of)));
        let of = move |p: &Point| Some(p.node.get(&bytes)?.1);
        all.push((format!("a node's {cause}"), "B/s", Box::new(of)));
    }
    for stir in names(&|p| p.stirs.keys().cloned().collect()) {
        let of_stir = stir.clone();
        let mut add = |what: &str, unit: &'static str, of: fn(&crate::point::Stir) -> f64| {
            let stir = of_stir.clone();
            let name = format!("{stir}: {what}");
            all.push((name, unit, Box::new(move |p: &Point| p.stirs.get(&stir).map(of))));
        };
        add("until all nodes have it", "ms", |s| s.took_ms);
        add("until in force", "ms", |s| s.in_force_ms);
        add("three cores together", "ms of a core", |s| s.cores_ms);
        add("a router", "ms of a core", |s| s.router_ms);
        for cause in ["members", "duties", "configuration"] {
            let (name, stir) = (format!("{stir}: {cause} to each node"), stir.clone());
            let of = move |p: &Point| Some(p.stirs.get(&stir)?.node.get(cause)?.1);
            all.push((name, "B", Box::new(of)));
        }
    }
    // Who comes again is sent everything; of a restart only that node gets these.
    for cause in ["replicas", "duties", "configuration"] {
        let of = move |p: &Point| Some(p.stirs.get("restart")?.node.get(cause)?.1 * p.size.nodes as f64);
        all.push((format!("whole {cause}, to one that restarted"), "B", Box::new(of)));
    }
    all.push(("settling".into(), "ms", Box::new(|p| Some(p.settled_ms))));
    all
}

/// The points of an axis, the base among them.
pub fn along<'a>(points: &'a [Point], axis: &'a str) -> impl Iterator<Item = &'a Point> {
    points.iter().filter(move |p| p.fault.is_empty() && (p.axis == axis || p.axis == "base"))
}

/// The line of a figure along an axis, or along its square where that explains clearly more; `None` where it
/// was not measured. With it comes whether it is the square's.
pub fn slope(points: &[Point], axis: &str, figure: &Figure) -> Option<(Line, bool)> {
    let xy: Vec<(f64, f64)> =
        along(points, axis).filter_map(|p| Some((p.size.along(axis) as f64, (figure.2)(p)?))).collect();
    let squares: Vec<(f64, f64)> = xy.iter().map(|(x, y)| (x * x, *y)).collect();
    let (plain, square) = (fitted(&xy)?, fitted(&squares)?);
    let better = square.slope > 0.0 && square.explained > plain.explained + SQUARE_BETTER;
    Some(if better { (square, true) } else { (plain, false) })
}

/// Slopes, a table for each axis.
pub fn tables(points: &[Point]) -> String {
    let figures = figures(points);
    let mut text = String::new();
    for axis in AXES {
        let sizes: BTreeSet<u64> = along(points, axis).map(|p| p.size.along(axis)).collect();
        if sizes.len() < 2 {
            continue;
        }
        let sizes: Vec<String> = sizes.iter().map(u64::to_string).collect();
        text += &format!("\n## {axis}: {}\n\n", sizes.join(", "));
        text += "| figure | unit | at 0 | slope | ± | over | explained | n |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
        for figure in &figures {
            // A slope within twice its spread, or a figure that never moves, says nothing.
            let Some((l, square)) =
                slope(points, axis, figure).filter(|(l, _)| l.slope.abs() > 2.0 * l.spread && l.slope != 0.0)
            else {
                continue;
            };
            let over = if square { "x²" } else { "x" };
            let (name, unit) = (&figure.0, figure.1);
            let Line { base, slope, spread, explained, n } = l;
            text += &format!(
                "| {name} | {unit} | {base:.4} | {slope:.6} | {spread:.6} | {over} | {explained:.2} | {n} |\n"
            );
        }
    }
    text
}
