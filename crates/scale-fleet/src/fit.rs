//! A straight line by least squares, with how far its slope may be off.

/// A fitted line: `base + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    /// The standard error of the slope.
    pub spread: f64,
    /// The share of the variance that the line explains.
    pub explained: f64,
    pub n: usize,
}

impl Line {
    /// What the line says at `x`.
    /// ```
    /// let line = scale_fleet::fit::Line { base: 1.0, slope: 2.0, ..Default::default() };
    /// assert_eq!(line.at(3.0), 7.0);
    /// ```
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Fits a line through points; `None` where they do not determine one.
/// ```
/// let line = scale_fleet::fit::line(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).unwrap();
/// assert_eq!((line.base, line.slope, line.n), (1.0, 2.0, 3));
/// assert!(scale_fleet::fit::line(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]).is_none());
/// ```
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let n = points.len();
    if n < 3 {
        return None;
    }
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n as f64;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
    let (xx, xy) = (sum(&|p| (p.0 - x).powi(2)), sum(&|p| (p.0 - x) * (p.1 - y)));
    if xx == 0.0 {
        return None;
    }
    let slope = xy / xx;
    let base = y - slope * x;
    let (left, all) = (sum(&|p| (p.1 - base - slope * p.0).powi(2)), sum(&|p| (p.1 - y).powi(2)));
    let explained = if all == 0.0 { 1.0 } else { 1.0 - left / all };
    Some(Line { base, slope, spread: (left / (n as f64 - 2.0) / xx).sqrt(), explained, n })
}
