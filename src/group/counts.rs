//! Expert popularity out of late and noisy counts.

/// Weight of the newest report in the fast average.
const FAST: f64 = 0.5;
/// Least weight of the newest report in the slow average.
const SLOW: f64 = 0.08;
/// Weight of the newest report in the noise estimate.
const NOISE: f64 = 0.1;
/// Distance of the averages, in standard deviations, that counts as a drift.
const DRIFT: f64 = 4.0;
/// Distance of one report from the slow average, in standard deviations, that counts as a jump.
const JUMP: f64 = 7.0;
/// Standard deviation of fast minus slow average, per unit of noise.
const APART: f64 = 0.47;
/// Median of the absolute value of a standard normal variable.
const MEDIAN: f64 = 0.6745;

/// Tokens routed to each expert of one layer in one period.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// Period that was counted.
    pub period: u64,
    /// Tokens by expert.
    pub tokens: &'a [f64],
}

/// Estimated popularity of one layer's experts.
///
/// Two averages run side by side. The slow one is the estimate; where the
/// fast one, or a single report, leaves it by more than noise explains, it
/// starts anew from there.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    period: Option<u64>,
    last: Vec<f64>,
    fast: Vec<f64>,
    slow: Vec<f64>,
    seen: Vec<u32>,
    noise: Option<f64>,
}

impl Counts {
    /// Takes in a report; late, repeated and empty ones are passed over and give `false`.
    pub fn add(&mut self, report: Report<'_>) -> bool {
        let total: f64 = report.tokens.iter().sum();
        match self.period {
            Some(period) if report.period <= period => return false,
            _ if total <= 0.0 || !total.is_finite() => return false,
            _ => self.period = Some(report.period),
        }
        let scale = report.tokens.len() as f64 / total;
        let shares: Vec<f64> = report.tokens.iter().map(|tokens| tokens * scale).collect();
        match self.slow.len() == shares.len() {
            true => self.update(shares),
            false => self.start(shares),
        }
        true
    }

    /// Popularity by expert, mean 1; empty before the first report.
    pub fn weights(&self) -> &[f64] {
        &self.slow
    }

    /// Relative standard deviation of a single report, once two have come.
    pub fn noise(&self) -> Option<f64> {
        self.noise
    }

    /// Relative standard deviation of each estimate.
    pub fn errors(&self) -> Vec<f64> {
        let noise = self.noise.unwrap_or(0.0);
        let floor = SLOW / (2.0 - SLOW);
        self.seen.iter().map(|&seen| noise * (1.0 / f64::from(seen)).max(floor).sqrt()).collect()
    }

    /// Last period counted.
    pub fn period(&self) -> Option<u64> {
        self.period
    }

    fn start(&mut self, shares: Vec<f64>) {
        self.seen = vec![1; shares.len()];
        self.noise = None;
        self.fast = shares.clone();
        self.slow = shares.clone();
        self.last = shares;
    }

    fn update(&mut self, shares: Vec<f64>) {
        self.observe_noise(&shares);
        let noise = self.noise.unwrap_or(0.0);
        let jump = (JUMP * noise).exp();
        for (i, share) in shares.iter().enumerate() {
            if share / self.slow[i] > jump || self.slow[i] / share > jump {
                (self.fast[i], self.slow[i], self.seen[i]) = (*share, *share, 1);
                continue;
            }
            self.seen[i] += 1;
            self.fast[i] += FAST * (share - self.fast[i]);
            self.slow[i] += (1.0 / f64::from(self.seen[i])).max(SLOW) * (share - self.slow[i]);
            let apart = (self.fast[i] - self.slow[i]).abs();
            if apart > DRIFT * APART * noise * self.slow[i] {
                self.slow[i] = self.fast[i];
                self.seen[i] = 2;
            }
        }
        self.last = shares;
    }

    fn observe_noise(&mut self, shares: &[f64]) {
        let pairs = shares.iter().zip(&self.last);
        let mut steps: Vec<f64> =
            pairs.map(|(a, b)| (a - b).abs() / ((a + b) / 2.0).max(1e-9)).collect();
        steps.sort_by(f64::total_cmp);
        let now = steps[steps.len() / 2] / MEDIAN / 2f64.sqrt();
        self.noise = Some(self.noise.map_or(now, |old| old + NOISE * (now - old)));
    }
}
