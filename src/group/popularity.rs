//! Expert popularity out of late and noisy counts.

use std::collections::VecDeque;

/// Periods between the last report and the period that is decided for.
pub const FORECAST_PERIODS: usize = 2;

/// Weight of the newest report in the fast average.
const FAST: f64 = 0.5;
/// Least weight of the newest report in the slow average.
const SLOW: f64 = 0.01;
/// Weight of the newest report in the trend's level.
const LEVEL: f64 = 0.2;
/// Weight of the newest report in the trend's slope.
const SLOPE: f64 = 0.03;
/// Weight of the newest report in the trend's bend, the change of its slope.
const BEND: f64 = 0.001;
/// Weight of the newest period in noise and forecast errors.
const ERROR: f64 = 0.1;
/// Distance of the averages, in standard deviations, that counts as a drift.
const DRIFT: f64 = 6.0;
/// Distance of one report from the slow average, in standard deviations, that counts as a jump.
const JUMP: f64 = 7.0;
/// Standard deviation of fast minus slow average, per unit of noise.
const APART: f64 = 0.577;
/// Median of the absolute value of a standard normal variable.
const MEDIAN: f64 = 0.6745;
/// Part of the smaller forecast error by which the other way must be better to be taken.
const PREFER: f64 = 0.95;
/// Least popularity, mean 1; keeps ratios finite.
const LEAST: f64 = 1e-4;

/// Tokens routed to each expert of one layer in one period.
#[derive(Clone, Copy, Debug)]
pub struct TokenCounts<'a> {
    /// Period that was counted.
    pub period: u64,
    /// Tokens by expert.
    pub tokens: &'a [f64],
}

/// Estimated popularity of one layer's experts.
///
/// Two forecasts run side by side: a slow average for popularity that stays,
/// and a level with a slope and a bend for popularity that drifts. The one whose past
/// forecasts came closer to the reports is used. A report far off restarts
/// both for its expert.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    period: Option<u64>,
    last: Vec<f64>,
    experts: Vec<Expert>,
    noise: Option<f64>,
    calm: Forecast,
    trend: Forecast,
    drifting: bool,
}

#[derive(Clone, Copy, Debug)]
struct Expert {
    fast: f64,
    slow: f64,
    seen: u32,
    level: f64,
    slope: f64,
    bend: f64,
}

/// Forecasts of one kind and how far off they were.
#[derive(Clone, Debug, Default)]
struct Forecast {
    now: Vec<f64>,
    past: VecDeque<Vec<f64>>,
    /// Mean square relative error, once known.
    error: Option<f64>,
}

impl Popularity {
    /// Takes in a report; late, repeated and empty ones are passed over and give `false`.
    pub fn add_report(&mut self, report: TokenCounts<'_>) -> bool {
        let total: f64 = report.tokens.iter().sum();
        match self.period {
            Some(period) if report.period <= period => return false,
            _ if total <= 0.0 || !total.is_finite() => return false,
            _ => self.period = Some(report.period),
        }
        let shares = self.scaled(report.tokens, total);
        if self.experts.len() == shares.len() {
            self.observe_noise(&shares);
            let noise = self.noise.unwrap_or(0.0);
            self.experts.iter_mut().zip(&shares).for_each(|(e, share)| e.add(*share, noise));
        } else {
            self.noise = None;
            self.experts = shares.iter().copied().map(Expert::new).collect();
        }
        self.calm.add(&shares, self.experts.iter().map(|e| e.slow));
        self.trend.add(&shares, self.experts.iter().map(Expert::ahead));
        self.drifting = match (self.calm.error, self.trend.error, self.drifting) {
            (Some(calm), Some(trend), false) => trend < calm * PREFER,
            (Some(calm), Some(trend), true) => trend * PREFER < calm,
            _ => false,
        };
        self.last = shares;
        true
    }

    /// Popularity by expert in the period decided for, in a unit of its own; empty before the first report.
    pub fn weights(&self) -> &[f64] {
        &self.forecast().now
    }

    /// Relative standard deviation of a single report, once two have come.
    pub fn report_noise(&self) -> Option<f64> {
        self.noise
    }

    /// Relative standard deviation of each forecast.
    pub fn forecast_errors(&self) -> Vec<f64> {
        let noise = self.noise.unwrap_or(0.0);
        let missed = self.forecast().error.map_or(0.0, |error| (error - noise * noise).max(0.0));
        let floor = SLOW / (2.0 - SLOW);
        let least = |e: &Expert| noise * noise * (1.0 / f64::from(e.seen)).max(floor);
        let error = |e: &Expert| match self.drifting {
            true => missed.max(least(e)).sqrt(),
            false => least(e).sqrt(),
        };
        self.experts.iter().map(error).collect()
    }

    /// Last period counted.
    pub fn last_period(&self) -> Option<u64> {
        self.period
    }

    /// Whether popularity is taken to drift.
    pub fn is_drifting(&self) -> bool {
        self.drifting
    }

    fn forecast(&self) -> &Forecast {
        if self.drifting { &self.trend } else { &self.calm }
    }

    /// Tokens in the unit of the estimates: the median expert keeps its popularity.
    ///
    /// Over the total, a run on a few experts would look like a fall of all others.
    fn scaled(&self, tokens: &[f64], total: f64) -> Vec<f64> {
        let mean = total / tokens.len() as f64;
        let shares: Vec<f64> = tokens.iter().map(|tokens| (tokens / mean).max(LEAST)).collect();
        if self.experts.len() != shares.len() {
            return shares;
        }
        let pairs = shares.iter().zip(&self.experts);
        let mut ratios: Vec<f64> = pairs.map(|(share, expert)| share / expert.slow).collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        shares.iter().map(|share| (share / median).max(LEAST)).collect()
    }

    fn observe_noise(&mut self, shares: &[f64]) {
        let pairs = shares.iter().zip(&self.last);
        let mut steps: Vec<f64> = pairs.map(|(a, b)| (a / b).ln().abs()).collect();
        steps.sort_by(f64::total_cmp);
        let now = steps[steps.len() / 2] / MEDIAN / 2f64.sqrt();
        self.noise = Some(self.noise.map_or(now, |old| old + ERROR * (now - old)));
    }
}

impl Expert {
    fn new(share: f64) -> Self {
        Self { fast: share, slow: share, seen: 1, level: share, slope: 0.0, bend: 0.0 }
    }

    fn add(&mut self, share: f64, noise: f64) {
        if (share / self.slow).ln().abs().min((share / self.level).ln().abs()) > JUMP * noise {
            *self = Self::new(share);
            return;
        }
        self.seen += 1;
        self.fast += FAST * (share - self.fast);
        self.slow += (1.0 / f64::from(self.seen)).max(SLOW) * (share - self.slow);
        if (self.fast - self.slow).abs() > DRIFT * APART * noise * self.slow {
            self.slow = self.fast;
            self.seen = 2;
        }
        let old = self.level;
        let off = share - old - self.slope - self.bend / 2.0;
        self.level = old + self.slope + self.bend / 2.0 + LEVEL * off;
        self.slope += self.bend + SLOPE * off;
        self.bend += BEND * off;
    }

    fn ahead(&self) -> f64 {
        (self.level
            + self.slope * FORECAST_PERIODS as f64
            + self.bend * (FORECAST_PERIODS * FORECAST_PERIODS) as f64 / 2.0)
            .clamp(self.level / 2.0, self.level * 2.0)
            .max(LEAST)
    }
}

impl Forecast {
    fn add(&mut self, shares: &[f64], next: impl Iterator<Item = f64>) {
        if self.past.len() == FORECAST_PERIODS
            && let Some(past) = self.past.pop_front().filter(|past| past.len() == shares.len())
        {
            let off = |(a, b): (&f64, &f64)| (a / b).ln().powi(2).min(1.0);
            let mut offs: Vec<f64> = shares.iter().zip(&past).map(off).collect();
            offs.sort_by(f64::total_cmp);
            offs.truncate(offs.len() - offs.len() / 16);
            let now = offs.iter().sum::<f64>() / offs.len() as f64;
            self.error = Some(self.error.map_or(now, |old| old + ERROR * (now - old)));
        }
        self.now = next.collect();
        self.past.push_back(self.now.clone());
    }
}
