//! Detection of stragglers: ranks that need more time per token than others, as opposed to ranks
//! that have more tokens.

/// Weight of the newest period in a rank's average time per token.
const NEWEST_WEIGHT: f64 = 0.3;
/// Time per token over the median above which a rank is suspect.
const SUSPECT_FACTOR: f64 = 1.2;
/// Time per token over the median at or below which a straggler has recovered; lower than
/// [`SUSPECT_FACTOR`], so that a rank near the limit does not change state often.
const RECOVERED_FACTOR: f64 = 1.1;
/// Consecutive periods in which a rank must be suspect before it is reported.
const SUSPECT_PERIODS: u32 = 3;

/// The work of one rank in one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Tokens that the rank's experts processed.
    pub tokens: f64,
    /// Time for which the rank's experts were busy, in seconds.
    pub busy_s: f64,
}

/// A slow rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Straggler {
    /// Index of the slow rank in its group.
    pub rank: usize,
    /// Time per token of the rank over the median of all ranks.
    pub factor: f64,
}

/// Tracks the time per token of each rank and finds stragglers.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    time_per_token: Vec<f64>,
    suspect_periods: Vec<u32>,
    reported: Vec<bool>,
}

impl Detector {
    /// Adds the samples of all ranks in one period and returns the stragglers.
    pub fn add_period(&mut self, samples: &[Sample]) -> Vec<Straggler> {
        if self.time_per_token.len() != samples.len() {
            self.time_per_token = vec![0.0; samples.len()];
            self.suspect_periods = vec![0; samples.len()];
            self.reported = vec![false; samples.len()];
        }
        self.time_per_token
            .iter_mut()
            .zip(samples)
            .for_each(|(average, sample)| update_average(average, sample));
        let median = median(&self.time_per_token);
        if median <= 0.0 {
            return Vec::new();
        }
        (0..samples.len()).filter_map(|rank| self.check_rank(rank, median)).collect()
    }

    fn check_rank(&mut self, rank: usize, median: f64) -> Option<Straggler> {
        let factor = self.time_per_token[rank] / median;
        self.suspect_periods[rank] =
            if factor > SUSPECT_FACTOR { self.suspect_periods[rank] + 1 } else { 0 };
        self.reported[rank] = match self.reported[rank] {
            true => factor > RECOVERED_FACTOR,
            false => self.suspect_periods[rank] >= SUSPECT_PERIODS,
        };
        self.reported[rank].then_some(Straggler { rank, factor })
    }
}

fn update_average(average: &mut f64, sample: &Sample) {
    if sample.tokens <= 0.0 {
        return;
    }
    let newest = sample.busy_s / sample.tokens;
    *average =
        if *average == 0.0 { newest } else { *average + NEWEST_WEIGHT * (newest - *average) };
}

fn median(values: &[f64]) -> f64 {
    let mut sorted: Vec<f64> = values.iter().copied().filter(|value| *value > 0.0).collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
