//! Estimates the current popularity of experts from the choices that ranks report.

use std::{collections::VecDeque, time};

use super::Choices;

/// Period over which choices of experts are summed. It covers a few passes, so that
/// the mix of requests evens out, and is well below the seconds between two jumps of popularity.
const WINDOW: time::Duration = time::Duration::from_millis(400);

/// Newest part of [`WINDOW`], which is compared with the rest to detect a jump. It covers a
/// heartbeat of every rank and a pass of the group.
const RECENT_WINDOW: time::Duration = time::Duration::from_millis(130);
/// Distance between two distributions, from 0 to 2, above which popularity has jumped. Two periods
/// without a jump between them differ by about 0.1.
const JUMP_DISTANCE: f64 = 0.3;

/// Experts that requests chose at one rank, as reported in one heartbeat.
struct Sample {
    received_at: time::Duration,
    counts: Vec<Vec<f64>>,
}

/// Latest choices of experts that the ranks of one group reported.
#[derive(Default)]
pub struct Popularity {
    samples: VecDeque<Sample>,
}

impl Popularity {
    /// Adds the choices of a rank and drops those older than `WINDOW`.
    pub fn add(&mut self, now: time::Duration, choices: &Choices) {
        self.samples.push_back(Sample { received_at: now, counts: choices.weights() });
        while self.samples.front().is_some_and(|sample| sample.received_at + WINDOW < now) {
            self.samples.pop_front();
        }
    }

    /// Returns the choices of the latest `WINDOW`, by set and expert; `None` if there were none.
    /// After a jump of popularity only the choices since the jump count.
    pub fn weights(&self, now: time::Duration) -> Option<Vec<Vec<f64>>> {
        let between_ages = |from: time::Duration, to: time::Duration| {
            let has_age = move |sample: &&Sample| {
                sample.received_at + from >= now && sample.received_at + to < now
            };
            self.samples.iter().filter(has_age)
        };
        let all = self.samples.iter().filter(|sample| sample.received_at + WINDOW >= now);
        let recent =
            sum(self.samples.iter().filter(|sample| sample.received_at + RECENT_WINDOW >= now));
        let before = sum(between_ages(WINDOW, RECENT_WINDOW));
        match (recent, before) {
            (Some(recent), Some(before)) if distance(&recent, &before) > JUMP_DISTANCE => {
                Some(recent)
            }
            _ => sum(all),
        }
    }

    /// Drops all choices, as when the group re-forms.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}

/// Sums the choices by set and expert; `None` if a set has none.
fn sum<'a>(mut samples: impl Iterator<Item = &'a Sample>) -> Option<Vec<Vec<f64>>> {
    let mut sums = samples.next()?.counts.clone();
    for sample in samples {
        for (sums, counts) in sums.iter_mut().zip(&sample.counts) {
            sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
    }
    sums.iter().all(|set| set.iter().sum::<f64>() > 0.0).then_some(sums)
}

/// Returns the distance between the experts' shares in two distributions, from 0 to 2, as the mean
/// over sets.
fn distance(left: &[Vec<f64>], right: &[Vec<f64>]) -> f64 {
    let sets = left.iter().zip(right).map(|(left, right)| {
        let (total_left, total_right) = (left.iter().sum::<f64>(), right.iter().sum::<f64>());
        let experts = left.iter().zip(right);
        experts.map(|(l, r)| (l / total_left - r / total_right).abs()).sum::<f64>()
    });
    sets.sum::<f64>() / left.len().max(1) as f64
}
