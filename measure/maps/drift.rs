//! Seeded traces of expert popularity.

use std::f64::consts;

use rand::{RngExt, SeedableRng};

/// Periods of one trace; a day of five-minute periods.
pub const PERIODS: usize = 288;

const SUDDEN: std::ops::Range<usize> = 100..190;
const SUDDEN_EXPERTS: usize = 8;
const SUDDEN_TIMES: f64 = 6.0;
const WALK: f64 = 0.01;
const HOT_SHARE: f64 = 0.08;
const STRAGGLE_FROM: usize = 60;
const STRAGGLE_TIMES: f64 = 1.5;

/// How popularity moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drift {
    /// Each expert's popularity walks 1% a period.
    Slow,
    /// Eight experts are six times as busy for 90 periods, at once.
    Sudden,
    /// Two profiles take turns over the trace.
    DayNight,
    /// One expert has 8% of all tokens; half way another takes over.
    Hot,
    /// Nothing changes but the noise.
    Constant,
    /// Nothing changes but one rank, which turns slow.
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
    special: Vec<usize>,
}

impl Trace {
    /// A trace of `experts` with Zipf popularity of exponent `zipf`.
    pub fn new(drift: Drift, experts: usize, zipf: f64, seed: u64) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let day = profile(&mut rng, experts, zipf);
        let night = profile(&mut rng, experts, zipf);
        let special = order(&mut rng, experts).into_iter().take(SUDDEN_EXPERTS).collect();
        Self { drift, rng, day, night, special }
    }

    /// True popularity in `period`, sum 1; periods are asked in order.
    pub fn next(&mut self, period: usize) -> Vec<f64> {
        if self.drift == Drift::Slow {
            for weight in &mut self.day {
                *weight *= (WALK * normal(&mut self.rng)).exp();
            }
        }
        let mut weights = self.day.clone();
        match self.drift {
            Drift::Sudden if SUDDEN.contains(&period) => {
                self.special.iter().for_each(|&e| weights[e] *= SUDDEN_TIMES);
            }
            Drift::DayNight => {
                let angle = 2.0 * consts::PI * period as f64 / PERIODS as f64;
                let night = (1.0 - angle.cos()) / 2.0;
                let pairs = weights.iter_mut().zip(&self.night);
                pairs.for_each(|(day, other)| *day = *day * (1.0 - night) + other * night);
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

/// Time per token of each rank in `period`, 1 for a sound one.
pub fn slowness(drift: Drift, ranks: usize, period: usize) -> Vec<f64> {
    let mut slow = vec![1.0; ranks];
    if drift == Drift::Straggler && period >= STRAGGLE_FROM {
        slow[ranks / 2] = STRAGGLE_TIMES;
    }
    slow
}

/// `weights` as counted, with relative noise `sd`.
pub fn noisy(rng: &mut rand_pcg::Pcg64Mcg, weights: &[f64], sd: f64) -> Vec<f64> {
    weights.iter().map(|weight| weight * (sd * normal(rng)).exp()).collect()
}

fn profile(rng: &mut rand_pcg::Pcg64Mcg, experts: usize, zipf: f64) -> Vec<f64> {
    let mut weights = vec![0.0; experts];
    for (place, expert) in order(rng, experts).into_iter().enumerate() {
        weights[expert] = ((place + 1) as f64).powf(-zipf);
    }
    weights
}

fn order(rng: &mut rand_pcg::Pcg64Mcg, len: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..len).collect();
    for i in (1..len).rev() {
        order.swap(i, rng.random_range(0..=i));
    }
    order
}

fn normal(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * consts::PI * b).cos()
}
