//! Seeded traces of the popularity of experts, which drifts over time.

use std::f64::consts;

use rand::{RngExt, SeedableRng};

/// Periods of one trace: a day of five-minute periods.
pub const PERIODS: usize = 288;

/// Periods of the burst of [`Drift::Sudden`].
const BURST_PERIODS: std::ops::Range<usize> = 100..190;
const BURST_EXPERTS: usize = 8;
const BURST_FACTOR: f64 = 6.0;
/// Standard deviation of the random walk of [`Drift::Slow`], relative and per period.
const WALK_DEVIATION: f64 = 0.01;
/// Share of all tokens that the hot expert of [`Drift::Hot`] receives.
const HOT_SHARE: f64 = 0.08;
/// First period with a slow rank in [`Drift::Straggler`].
const STRAGGLER_START: usize = 60;
const STRAGGLER_FACTOR: f64 = 1.5;

/// Way in which popularity changes over a trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drift {
    /// Each expert's popularity follows a random walk of 1% per period.
    Slow,
    /// Eight experts become six times as popular at once, for 90 periods.
    Sudden,
    /// Popularity moves from one profile to another and back over the trace.
    DayNight,
    /// One expert receives 8% of all tokens; halfway through, another one replaces it.
    Hot,
    /// Popularity is constant; only the counts are noisy.
    Constant,
    /// Popularity is constant, and one rank becomes slow.
    Straggler,
}

/// All drifts, in the order of the tables.
pub const ALL: [Drift; 6] =
    [Drift::Slow, Drift::Sudden, Drift::DayNight, Drift::Hot, Drift::Constant, Drift::Straggler];

/// Popularity of one layer, period by period.
pub struct Trace {
    drift: Drift,
    rng: rand_pcg::Pcg64Mcg,
    day: Vec<f64>,
    night: Vec<f64>,
    /// Experts of a burst; the first two are the hot ones.
    special: Vec<usize>,
}

impl Trace {
    /// Creates a trace of `experts` with Zipf popularity of exponent `zipf`.
    pub fn new(drift: Drift, experts: usize, zipf: f64, seed: u64) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let day = zipf_profile(&mut rng, experts, zipf);
        let night = zipf_profile(&mut rng, experts, zipf);
        let special = shuffled(&mut rng, experts).into_iter().take(BURST_EXPERTS).collect();
        Self { drift, rng, day, night, special }
    }

    /// Returns the true popularity in `period`, with a sum of 1.
    ///
    /// It must be called once for each period, in order.
    pub fn next(&mut self, period: usize) -> Vec<f64> {
        if self.drift == Drift::Slow {
            for weight in &mut self.day {
                *weight *= (WALK_DEVIATION * normal(&mut self.rng)).exp();
            }
        }
        let mut weights = self.day.clone();
        match self.drift {
            Drift::Sudden if BURST_PERIODS.contains(&period) => {
                self.special.iter().for_each(|&e| weights[e] *= BURST_FACTOR);
            }
            Drift::DayNight => {
                let angle = 2.0 * consts::PI * period as f64 / PERIODS as f64;
                let night_share = (1.0 - angle.cos()) / 2.0;
                let pairs = weights.iter_mut().zip(&self.night);
                pairs.for_each(|(day, night)| {
                    *day = *day * (1.0 - night_share) + night * night_share;
                });
            }
            Drift::Hot => {
                let hot = self.special[usize::from(period >= PERIODS / 2)];
                let rest: f64 = weights.iter().sum::<f64>() - weights[hot];
                weights[hot] = rest * HOT_SHARE / (1.0 - HOT_SHARE);
            }
            _ => {}
        }
        let total: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / total).collect()
    }
}

/// Returns the relative time per token of each rank in `period`, which is 1 for a healthy rank.
pub fn slowness(drift: Drift, ranks: usize, period: usize) -> Vec<f64> {
    let mut slow = vec![1.0; ranks];
    if drift == Drift::Straggler && period >= STRAGGLER_START {
        slow[ranks / 2] = STRAGGLER_FACTOR;
    }
    slow
}

/// Returns `weights` with log-normal noise of standard deviation `deviation`, as counts have it.
pub fn add_noise(rng: &mut rand_pcg::Pcg64Mcg, weights: &[f64], deviation: f64) -> Vec<f64> {
    weights.iter().map(|weight| weight * (deviation * normal(rng)).exp()).collect()
}

/// Returns Zipf popularity over the experts in random order.
fn zipf_profile(rng: &mut rand_pcg::Pcg64Mcg, experts: usize, zipf: f64) -> Vec<f64> {
    let mut weights = vec![0.0; experts];
    for (position, expert) in shuffled(rng, experts).into_iter().enumerate() {
        weights[expert] = ((position + 1) as f64).powf(-zipf);
    }
    weights
}

/// Returns the numbers below `len` in random order.
fn shuffled(rng: &mut rand_pcg::Pcg64Mcg, len: usize) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..len).collect();
    for i in (1..len).rev() {
        numbers.swap(i, rng.random_range(0..=i));
    }
    numbers
}

/// Returns a sample of the standard normal distribution (Box-Muller).
fn normal(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * consts::PI * b).cos()
}
