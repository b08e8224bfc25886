//! Estimate of expert popularity from late and noisy token counts.

use std::collections::VecDeque;

/// Periods from the last report to the period for which popularity is forecast.
pub const FORECAST_PERIODS: usize = 2;

/// Weight of the newest report in the fast average.
const FAST_WEIGHT: f64 = 0.5;
/// Minimum weight of the newest report in the slow average.
const SLOW_MIN_WEIGHT: f64 = 0.01;
/// Weight of the newest report in the level of the trend.
const LEVEL_WEIGHT: f64 = 0.2;
/// Weight of the newest report in the slope of the trend.
const SLOPE_WEIGHT: f64 = 0.03;
/// Weight of the newest report in the curvature of the trend, the change of its slope.
const CURVATURE_WEIGHT: f64 = 0.001;
/// Weight of the newest period in the noise and in the forecast errors.
const ERROR_WEIGHT: f64 = 0.1;
/// Difference of the two averages, in standard deviations, that counts as a drift.
const DRIFT_DEVIATIONS: f64 = 6.0;
/// Difference of a report from the estimate, in standard deviations, that counts as a jump.
const JUMP_DEVIATIONS: f64 = 7.0;
/// Standard deviation of the fast minus the slow average, per unit of noise.
const AVERAGES_DEVIATION: f64 = 0.577;
/// Median of the absolute value of a standard normal variable.
const NORMAL_MEDIAN: f64 = 0.6745;
/// The forecast in use is replaced when the error of the other forecast is below this part of the
/// error of the one in use.
const SWITCH_ERROR_PART: f64 = 0.95;
/// Minimum popularity, relative to the mean; keeps ratios finite.
const MIN_POPULARITY: f64 = 1e-4;

/// Tokens that were routed to each expert of one layer in one period.
#[derive(Clone, Copy, Debug)]
pub struct TokenCounts<'a> {
    /// Period in which the tokens were counted.
    pub period: u64,
    /// Tokens of each expert.
    pub tokens: &'a [f64],
}

/// Estimated popularity of one layer's experts.
///
/// Two forecasts are kept: a slow average for stable popularity, and a trend with a level, a slope
/// and a curvature for drifting popularity. The forecast with the smaller past error is
/// used. A report that is far from the estimate of an expert restarts both forecasts for it.
#[derive(Clone, Debug, Default)]
pub struct Popularity {
    last_period: Option<u64>,
    last_shares: Vec<f64>,
    experts: Vec<Expert>,
    noise: Option<f64>,
    stable: Forecast,
    trend: Forecast,
    drifting: bool,
}

/// Estimates for one expert, relative to the mean popularity.
#[derive(Clone, Copy, Debug)]
struct Expert {
    /// Fast average.
    fast: f64,
    /// Slow average.
    slow: f64,
    /// Reports in the slow average.
    reports: u32,
    level: f64,
    slope: f64,
    curvature: f64,
}

/// Forecasts of one kind, and their error.
#[derive(Clone, Debug, Default)]
struct Forecast {
    newest: Vec<f64>,
    past: VecDeque<Vec<f64>>,
    /// Mean square relative error, once a forecast could be compared with a report.
    error: Option<f64>,
}

impl Popularity {
    /// Adds a report. Late, repeated and empty reports are ignored and return `false`.
    pub fn add_report(&mut self, report: TokenCounts<'_>) -> bool {
        let total: f64 = report.tokens.iter().sum();
        match self.last_period {
            Some(period) if report.period <= period => return false,
            _ if total <= 0.0 || !total.is_finite() => return false,
            _ => self.last_period = Some(report.period),
        }
        let shares = self.scale(report.tokens, total);
        if self.experts.len() == shares.len() {
            self.update_noise(&shares);
            let noise = self.noise.unwrap_or(0.0);
            self.experts.iter_mut().zip(&shares).for_each(|(e, share)| e.update(*share, noise));
        } else {
            self.noise = None;
            self.experts = shares.iter().copied().map(Expert::new).collect();
        }
        self.stable.update(&shares, self.experts.iter().map(|e| e.slow));
        self.trend.update(&shares, self.experts.iter().map(Expert::extrapolate));
        self.drifting = match (self.stable.error, self.trend.error, self.drifting) {
            (Some(stable), Some(trend), false) => trend < stable * SWITCH_ERROR_PART,
            (Some(stable), Some(trend), true) => trend * SWITCH_ERROR_PART < stable,
            _ => false,
        };
        self.last_shares = shares;
        true
    }

    /// Returns the popularity of each expert, forecast by [`FORECAST_PERIODS`], in an arbitrary
    /// unit; empty before the first report.
    pub fn weights(&self) -> &[f64] {
        &self.forecast().newest
    }

    /// Returns the relative standard deviation of a single report, or `None` before the second.
    pub fn report_noise(&self) -> Option<f64> {
        self.noise
    }

    /// Returns the relative standard deviation of the forecast of each expert.
    pub fn forecast_errors(&self) -> Vec<f64> {
        let noise = self.noise.unwrap_or(0.0);
        let trend_error = self.forecast().error.map_or(0.0, |e| (e - noise * noise).max(0.0));
        let min_part = SLOW_MIN_WEIGHT / (2.0 - SLOW_MIN_WEIGHT);
        let noise_error = |e: &Expert| noise * noise * (1.0 / f64::from(e.reports)).max(min_part);
        let error = |e: &Expert| match self.drifting {
            true => trend_error.max(noise_error(e)).sqrt(),
            false => noise_error(e).sqrt(),
        };
        self.experts.iter().map(error).collect()
    }

    /// Returns the period of the last report.
    pub fn last_period(&self) -> Option<u64> {
        self.last_period
    }

    /// Whether popularity is taken to drift.
    pub fn is_drifting(&self) -> bool {
        self.drifting
    }

    fn forecast(&self) -> &Forecast {
        if self.drifting { &self.trend } else { &self.stable }
    }

    /// Converts tokens to the unit of the estimates such that the median expert keeps its
    /// popularity.
    ///
    /// With shares of the total, a surge on a few experts would look like a decrease of all others.
    fn scale(&self, tokens: &[f64], total: f64) -> Vec<f64> {
        let mean = total / tokens.len() as f64;
        let shares: Vec<f64> =
            tokens.iter().map(|tokens| (tokens / mean).max(MIN_POPULARITY)).collect();
        if self.experts.len() != shares.len() {
            return shares;
        }
        let pairs = shares.iter().zip(&self.experts);
        let mut ratios: Vec<f64> = pairs.map(|(share, expert)| share / expert.slow).collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        shares.iter().map(|share| (share / median).max(MIN_POPULARITY)).collect()
    }

    /// Updates the noise from the median change since the last report.
    fn update_noise(&mut self, shares: &[f64]) {
        let pairs = shares.iter().zip(&self.last_shares);
        let mut changes: Vec<f64> = pairs.map(|(a, b)| (a / b).ln().abs()).collect();
        changes.sort_by(f64::total_cmp);
        let newest = changes[changes.len() / 2] / NORMAL_MEDIAN / 2f64.sqrt();
        self.noise = Some(self.noise.map_or(newest, |old| old + ERROR_WEIGHT * (newest - old)));
    }
}

impl Expert {
    fn new(share: f64) -> Self {
        Self { fast: share, slow: share, reports: 1, level: share, slope: 0.0, curvature: 0.0 }
    }

    /// Updates the estimates with the newest share. A jump restarts all of them; a drift restarts
    /// the slow average at the fast one.
    fn update(&mut self, share: f64, noise: f64) {
        if (share / self.slow).ln().abs().min((share / self.level).ln().abs())
            > JUMP_DEVIATIONS * noise
        {
            *self = Self::new(share);
            return;
        }
        self.reports += 1;
        self.fast += FAST_WEIGHT * (share - self.fast);
        self.slow += (1.0 / f64::from(self.reports)).max(SLOW_MIN_WEIGHT) * (share - self.slow);
        if (self.fast - self.slow).abs() > DRIFT_DEVIATIONS * AVERAGES_DEVIATION * noise * self.slow
        {
            self.slow = self.fast;
            self.reports = 2;
        }
        let old = self.level;
        let error = share - old - self.slope - self.curvature / 2.0;
        self.level = old + self.slope + self.curvature / 2.0 + LEVEL_WEIGHT * error;
        self.slope += self.curvature + SLOPE_WEIGHT * error;
        self.curvature += CURVATURE_WEIGHT * error;
    }

    /// Extrapolates the trend by [`FORECAST_PERIODS`], to between half and twice the level.
    fn extrapolate(&self) -> f64 {
        (self.level
            + self.slope * FORECAST_PERIODS as f64
            + self.curvature * (FORECAST_PERIODS * FORECAST_PERIODS) as f64 / 2.0)
            .clamp(self.level / 2.0, self.level * 2.0)
            .max(MIN_POPULARITY)
    }
}

impl Forecast {
    /// Compares the forecast made [`FORECAST_PERIODS`] ago with `shares`, and stores `next`.
    ///
    /// The sixteenth of the experts with the largest errors is left out, and an error counts at
    /// most as 1, so that jumps of a few experts do not decide which forecast is used.
    fn update(&mut self, shares: &[f64], next: impl Iterator<Item = f64>) {
        if self.past.len() == FORECAST_PERIODS
            && let Some(past) = self.past.pop_front().filter(|past| past.len() == shares.len())
        {
            let square_error = |(a, b): (&f64, &f64)| (a / b).ln().powi(2).min(1.0);
            let mut errors: Vec<f64> = shares.iter().zip(&past).map(square_error).collect();
            errors.sort_by(f64::total_cmp);
            errors.truncate(errors.len() - errors.len() / 16);
            let newest = errors.iter().sum::<f64>() / errors.len() as f64;
            self.error = Some(self.error.map_or(newest, |old| old + ERROR_WEIGHT * (newest - old)));
        }
        self.newest = next.collect();
        self.past.push_back(self.newest.clone());
    }
}
