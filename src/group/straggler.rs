//! Tells a rank that is slow for reasons of its own from one with too many tokens.

/// Weight of the newest period in a rank's average time per token.
const NEWEST: f64 = 0.3;
/// Time per token over the median at which a rank is suspect.
const SLOW: f64 = 1.2;
/// Time per token over the median below which a reported rank is well again.
const WELL: f64 = 1.1;
/// Periods in a row before a suspect is reported.
const PERIODS: u32 = 3;

/// One rank in one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Expert tokens that the rank worked off.
    pub tokens: f64,
    /// Time that its experts were busy, in seconds.
    pub busy_s: f64,
}

/// A rank that no map mends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Straggler {
    /// The rank.
    pub rank: usize,
    /// Its time per token over the median of all ranks.
    pub factor: f64,
}

/// Watches the time per token of each rank.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    pace: Vec<f64>,
    suspect: Vec<u32>,
    reported: Vec<bool>,
}

impl Detector {
    /// Takes in one period, all ranks, and gives the ranks to report and drain.
    pub fn add_period(&mut self, samples: &[Sample]) -> Vec<Straggler> {
        if self.pace.len() != samples.len() {
            self.pace = vec![0.0; samples.len()];
            self.suspect = vec![0; samples.len()];
            self.reported = vec![false; samples.len()];
        }
        self.pace.iter_mut().zip(samples).for_each(|(pace, sample)| smooth(pace, sample));
        let median = median(&self.pace);
        if median <= 0.0 {
            return Vec::new();
        }
        (0..samples.len()).filter_map(|rank| self.judge(rank, median)).collect()
    }

    fn judge(&mut self, rank: usize, median: f64) -> Option<Straggler> {
        let factor = self.pace[rank] / median;
        self.suspect[rank] = if factor > SLOW { self.suspect[rank] + 1 } else { 0 };
        self.reported[rank] = match self.reported[rank] {
            true => factor > WELL,
            false => self.suspect[rank] >= PERIODS,
        };
        self.reported[rank].then_some(Straggler { rank, factor })
    }
}

fn smooth(pace: &mut f64, sample: &Sample) {
    if sample.tokens <= 0.0 {
        return;
    }
    let now = sample.busy_s / sample.tokens;
    *pace = if *pace == 0.0 { now } else { *pace + NEWEST * (now - *pace) };
}

fn median(values: &[f64]) -> f64 {
    let mut sorted: Vec<f64> = values.iter().copied().filter(|value| *value > 0.0).collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
