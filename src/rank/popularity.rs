//! What requests choose now, from the ranks' counts.

use std::{collections::VecDeque, time};

use super::Choices;

/// Time over which choices are summed: a few passes, so that the mix of requests evens out, and
/// well below the seconds between two jumps.
const SPAN: time::Duration = time::Duration::from_millis(400);

/// The newest part of it, which shows a jump: a pulse of every rank, and a pass of the group.
const NEWEST: time::Duration = time::Duration::from_millis(130);
/// Distance between two distributions from which popularity has jumped, from 0 to 2. Two spans
/// without a jump between them differ by about 0.1.
const JUMP: f64 = 0.3;

/// Choices since the rank's last pulse.
struct Sample {
    at: time::Duration,
    counts: Vec<Vec<f64>>,
}

/// Sums of the latest choices of the ranks of one group.
#[derive(Default)]
pub struct Popularity {
    samples: VecDeque<Sample>,
}

impl Popularity {
    /// Takes the choices of a rank.
    pub fn add(&mut self, now: time::Duration, choices: &Choices) {
        self.samples.push_back(Sample { at: now, counts: choices.weights() });
        while self.samples.front().is_some_and(|sample| sample.at + SPAN < now) {
            self.samples.pop_front();
        }
    }

    /// Choices of the latest span, by set and expert; `None` if there were none. After a jump
    /// only what was chosen since counts.
    pub fn weights(&self, now: time::Duration) -> Option<Vec<Vec<f64>>> {
        let recent = |from: time::Duration, to: time::Duration| {
            let of_span = move |sample: &&Sample| sample.at + from >= now && sample.at + to < now;
            self.samples.iter().filter(of_span)
        };
        let all = self.samples.iter().filter(|sample| sample.at + SPAN >= now);
        let newest = sum(self.samples.iter().filter(|sample| sample.at + NEWEST >= now));
        let before = sum(recent(SPAN, NEWEST));
        match (newest, before) {
            (Some(newest), Some(before)) if distance(&newest, &before) > JUMP => Some(newest),
            _ => sum(all),
        }
    }

    /// Forgets everything, as when a group forms anew.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}

/// Sums by set and expert; `None` if a set has none.
fn sum<'a>(mut samples: impl Iterator<Item = &'a Sample>) -> Option<Vec<Vec<f64>>> {
    let mut sums = samples.next()?.counts.clone();
    for sample in samples {
        for (sums, counts) in sums.iter_mut().zip(&sample.counts) {
            sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
    }
    sums.iter().all(|set| set.iter().sum::<f64>() > 0.0).then_some(sums)
}

/// Mean over sets of the distance between the shares of the experts.
fn distance(left: &[Vec<f64>], right: &[Vec<f64>]) -> f64 {
    let sets = left.iter().zip(right).map(|(left, right)| {
        let (all_left, all_right) = (left.iter().sum::<f64>(), right.iter().sum::<f64>());
        let experts = left.iter().zip(right);
        experts.map(|(l, r)| (l / all_left - r / all_right).abs()).sum::<f64>()
    });
    sets.sum::<f64>() / left.len().max(1) as f64
}
