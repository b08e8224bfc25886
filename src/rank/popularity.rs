//! What requests choose now, from the ranks' counts.

use std::{
    collections::{BTreeMap, VecDeque},
    time,
};

use super::Demand;

/// Time over which choices are summed: a few passes, so that the mix of requests evens out, and
/// well below the seconds between two jumps.
const SPAN: time::Duration = time::Duration::from_millis(400);

/// Choices since the rank's last pulse.
struct Sample {
    at: time::Duration,
    counts: Vec<Vec<f64>>,
}

/// Sums of the latest choices of all ranks of one group.
#[derive(Default)]
pub struct Popularity {
    last: BTreeMap<usize, Demand>,
    samples: VecDeque<Sample>,
}

impl Popularity {
    /// Takes the counts of `rank`.
    pub fn add(&mut self, now: time::Duration, rank: usize, demand: Demand) {
        let before = self.last.get(&rank).filter(|before| before.epoch == demand.epoch);
        let fresh = before.and_then(|before| difference(before, &demand));
        if let Some(counts) = fresh.filter(|counts| counts.iter().flatten().any(|n| *n > 0.0)) {
            self.samples.push_back(Sample { at: now, counts });
        }
        self.last.insert(rank, demand);
        while self.samples.front().is_some_and(|sample| sample.at + SPAN < now) {
            self.samples.pop_front();
        }
    }

    /// Choices of the latest span, by set and expert; `None` if there were none.
    pub fn weights(&self, now: time::Duration) -> Option<Vec<Vec<f64>>> {
        let mut recent = self.samples.iter().filter(|sample| sample.at + SPAN >= now);
        let mut sum = recent.next()?.counts.clone();
        for sample in recent {
            for (sum, counts) in sum.iter_mut().zip(&sample.counts) {
                sum.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            }
        }
        sum.iter().all(|set| set.iter().sum::<f64>() > 0.0).then_some(sum)
    }

    /// Forgets everything, as when a group forms anew.
    pub fn clear(&mut self) {
        self.last.clear();
        self.samples.clear();
    }
}

/// Choices between two counts; `None` if the engine began to count anew.
fn difference(before: &Demand, after: &Demand) -> Option<Vec<Vec<f64>>> {
    let sets = before.counts.iter().zip(&after.counts);
    let differences = sets.map(|(before, after)| {
        let experts = before.iter().zip(after);
        experts.map(|(b, a)| a.checked_sub(*b).map(|n| n as f64)).collect::<Option<Vec<f64>>>()
    });
    let same = before.counts.len() == after.counts.len();
    differences.collect::<Option<Vec<_>>>().filter(|_| same)
}
