//! A straight line through measured points.

/// Line `y = base + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at `x = 0`.
    pub base: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Largest vertical distance of a point from the line.
    pub max_deviation: f64,
}

impl Line {
    /// Fits a line through `points` of `(x, y)`, which must have at least two different `x`.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let deviation = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
        let max_deviation = points.iter().map(deviation).fold(0.0, f64::max);
        Self { base, slope, max_deviation }
    }

    /// Returns the line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
