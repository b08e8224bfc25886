//! Estimates the current popularity of experts from the choices that ranks report.

use std::{collections::VecDeque, time};

use super::Choices;

/// Period over which choices of experts are summed, besides the recent window. It covers a few
/// passes, so that the mix of requests evens out, and is well below the seconds between two jumps of
/// popularity.
const EARLIER_WINDOW: time::Duration = time::Duration::from_millis(270);
/// Part of the recent window that is added to the time between two reports: the length of a pass.
const PASS_TIME: time::Duration = time::Duration::from_millis(70);
/// Distance between two distributions, from 0 to 2, above which popularity has jumped. Two periods
/// without a jump between them differ by about 0.1.
const JUMP_DISTANCE: f64 = 0.3;

/// Experts that requests chose at one rank, as reported in one heartbeat.
struct Sample {
    received_at: time::Duration,
    counts: Vec<Vec<f64>>,
}

/// Latest choices of experts that the ranks of one group reported.
///
/// The sums are kept up to date as samples arrive and expire: the owner of a large group receives
/// over a hundred samples a second and asks for the weights after each of them.
pub struct Popularity {
    /// Newest part of the time over which choices are summed. It is compared with the rest to
    /// detect a jump, and covers a report of every rank and a pass of the group.
    recent_window: time::Duration,
    /// Samples of the recent window, oldest first.
    recent: Samples,
    /// Samples of the [`EARLIER_WINDOW`], oldest first.
    earlier: Samples,
}

impl Popularity {
    /// Creates the state for ranks that report their choices every `report_interval`.
    pub fn new(report_interval: time::Duration) -> Self {
        Self {
            recent_window: report_interval + PASS_TIME,
            recent: Samples::default(),
            earlier: Samples::default(),
        }
    }

    /// Adds the choices of a rank and drops outdated ones.
    pub fn add(&mut self, now: time::Duration, choices: &Choices) {
        self.expire(now);
        self.recent.push(Sample { received_at: now, counts: choices.weights() });
    }

    /// Returns the choices of both windows, by set and expert; `None` if there were none.
    /// After a jump of popularity only the choices since the jump count.
    pub fn weights(&mut self, now: time::Duration) -> Option<Vec<Vec<f64>>> {
        self.expire(now);
        match (self.recent.choices(), self.earlier.choices()) {
            (Some(recent), Some(earlier)) if distance(recent, earlier) > JUMP_DISTANCE => {
                Some(recent.to_vec())
            }
            (Some(recent), Some(earlier)) => {
                let mut sums = recent.to_vec();
                add(&mut sums, earlier, 1.0);
                Some(sums)
            }
            (Some(choices), None) | (None, Some(choices)) => Some(choices.to_vec()),
            (None, None) => None,
        }
    }

    /// Drops all choices, as when the group re-forms.
    pub fn clear(&mut self) {
        (self.recent, self.earlier) = Default::default();
    }

    /// Moves samples from the recent window to the rest of it, and drops those older than both.
    fn expire(&mut self, now: time::Duration) {
        while let Some(sample) = self.recent.pop_older(now, self.recent_window) {
            self.earlier.push(sample);
        }
        let window = self.recent_window + EARLIER_WINDOW;
        while self.earlier.pop_older(now, window).is_some() {}
    }
}

/// A queue of samples and the sum of their choices.
#[derive(Default)]
struct Samples {
    queue: VecDeque<Sample>,
    /// Sum by set and expert; empty if there was no sample yet.
    sums: Vec<Vec<f64>>,
}

impl Samples {
    fn push(&mut self, sample: Sample) {
        if self.queue.is_empty() {
            self.sums = sample.counts.clone();
        } else {
            add(&mut self.sums, &sample.counts, 1.0);
        }
        self.queue.push_back(sample);
    }

    /// Removes the oldest sample if it was received more than `age` before `now`.
    fn pop_older(&mut self, now: time::Duration, age: time::Duration) -> Option<Sample> {
        let sample = self.queue.pop_front_if(|sample| sample.received_at + age < now)?;
        add(&mut self.sums, &sample.counts, -1.0);
        Some(sample)
    }

    /// Returns the sums; `None` if a set has no choices.
    fn choices(&self) -> Option<&[Vec<f64>]> {
        let has_choices = |set: &Vec<f64>| set.iter().sum::<f64>() > 0.0;
        (!self.queue.is_empty() && self.sums.iter().all(has_choices)).then_some(&self.sums)
    }
}

/// Adds `counts`, multiplied by `factor`, to `sums`. Counts are whole numbers, so that subtracting
/// them later leaves no rounding error.
fn add(sums: &mut [Vec<f64>], counts: &[Vec<f64>], factor: f64) {
    for (sums, counts) in sums.iter_mut().zip(counts) {
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += factor * count);
    }
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
