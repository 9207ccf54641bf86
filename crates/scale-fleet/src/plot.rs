//! Plots of processor time and of bytes along each axis, as SVG.
use crate::point::Point;
use crate::report::{Figure, along, figures, slope};
use plotters::prelude::*;
use scale_fleet::size::AXES;
use std::path::Path;

const STEPS: u32 = 40;
const SIZE: (u32, u32) = (760, 420);

fn draw(points: &[Point], axis: &str, title: &str, figures: &[&Figure], file: &Path) -> Result<(), String> {
    let fault = |e: &dyn std::fmt::Display| format!("plot {}: {e}", file.display());
    let xy = |figure: &Figure| -> Vec<(f64, f64)> {
        along(points, axis).filter_map(|p| Some((p.size.along(axis) as f64, (figure.2)(p)?))).collect()
    };
    let all: Vec<(f64, f64)> = figures.iter().flat_map(|f| xy(f)).collect();
    let most = |of: fn(&(f64, f64)) -> f64| all.iter().map(of).fold(0.0, f64::max) * 1.05 + 1e-9;
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| fault(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..most(|p| p.0), 0.0..most(|p| p.1))
        .map_err(|e| fault(&e))?;
    chart.configure_mesh().x_desc(axis).y_desc(figures[0].1).draw().map_err(|e| fault(&e))?;
    let end = most(|p| p.0);
    for (at, figure) in figures.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        let dots = xy(figure).into_iter().map(|p| Circle::new(p, 3, colour.filled()));
        chart.draw_series(dots).map_err(|e| fault(&e))?;
        let fitted = slope(points, axis, figure);
        let y = |x: f64| fitted.map_or(0.0, |(l, square)| l.at(if square { x * x } else { x }).max(0.0));
        let line = (0..=STEPS).map(|n| end * f64::from(n) / f64::from(STEPS)).map(|x| (x, y(x)));
        let drawn = chart.draw_series(LineSeries::new(line, colour)).map_err(|e| fault(&e))?;
        drawn.label(&figure.0).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    let mut legend = chart.configure_series_labels();
    let legend = legend.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8)).border_style(BLACK);
    legend.draw().map_err(|e| fault(&e))?;
    root.present().map_err(|e| fault(&e))
}

/// A plot of processor time and one of bytes for each axis that was tried.
pub fn all(points: &[Point], folder: &Path) -> Result<(), String> {
    let figures = figures(points);
    for axis in AXES {
        if !points.iter().any(|p| p.axis == axis) {
            continue;
        }
        let of = |unit: &str, kind: &str| -> Vec<&Figure> {
            let moves = |f: &&Figure| along(points, axis).any(|p| (f.2)(p).is_some_and(|y| y > 0.0));
            figures.iter().filter(|f| f.1 == unit && f.0.contains(kind)).filter(moves).collect()
        };
        let plots = [
            ("processor", "Processor time by role", of("% of a core", "processor")),
            ("bytes", "Bytes a second to one node, by cause", of("B/s", "a node's")),
        ];
        for (name, title, drawn) in plots.iter().filter(|(.., drawn)| !drawn.is_empty()) {
            draw(points, axis, title, drawn, &folder.join(format!("capacity-{axis}-{name}.svg")))?;
        }
    }
    Ok(())
}
