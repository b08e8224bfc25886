//! Event counts over a sliding window of time.

use std::{collections::VecDeque, time};

/// Buckets that a window is divided into; an event is counted for at most one bucket width
/// longer than the window.
const BUCKETS: u32 = 20;

/// Counts the events of the latest window.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    bucket_width: time::Duration,
    /// Index and event count of each bucket, oldest first.
    buckets: VecDeque<(u64, u64)>,
    total: u64,
}

impl SlidingWindow {
    /// Creates a window of length `span` without events.
    pub fn new(span: time::Duration) -> Self {
        let bucket_width = (span / BUCKETS).max(time::Duration::from_millis(1));
        Self { bucket_width, buckets: VecDeque::new(), total: 0 }
    }

    /// Records one event at `now`.
    pub fn add(&mut self, now: time::Duration) {
        let current = self.bucket_index(now);
        self.remove_expired(current);
        match self.buckets.back_mut() {
            Some((index, count)) if *index >= current => *count += 1,
            _ => self.buckets.push_back((current, 1)),
        }
        self.total += 1;
    }

    /// Returns the number of events in the window that ends at `now`.
    pub fn count(&mut self, now: time::Duration) -> u64 {
        let current = self.bucket_index(now);
        self.remove_expired(current);
        self.total
    }

    /// Returns the number of events within `span` before `now`, up to the length of the window.
    pub fn count_within(&mut self, now: time::Duration, span: time::Duration) -> u64 {
        let current = self.bucket_index(now);
        self.remove_expired(current);
        let first = self.bucket_index(now.saturating_sub(span));
        self.buckets.iter().filter(|(index, _)| *index >= first).map(|(_, count)| count).sum()
    }

    fn bucket_index(&self, now: time::Duration) -> u64 {
        (now.as_micros() / self.bucket_width.as_micros().max(1)) as u64
    }

    fn remove_expired(&mut self, current: u64) {
        while let Some((index, count)) = self.buckets.front().copied() {
            if index + u64::from(BUCKETS) >= current {
                return;
            }
            self.total -= count;
            self.buckets.pop_front();
        }
    }
}
