//! A straight line through measured points.

/// `y = base + slope * x` by least squares, and how far the points are off it.
#[derive(Clone, Copy, Debug)]
pub struct Slope {
    /// Value at 0.
    pub base: f64,
    /// Growth per unit of `x`.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub spread: f64,
}

impl Slope {
    /// Fits `points` of `(x, y)`; at least two different `x` are needed.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let over: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = over / under;
        let base = mean_y - slope * mean_x;
        let off = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
        let spread = points.iter().map(off).fold(0.0, f64::max);
        Self { base, slope, spread }
    }

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
