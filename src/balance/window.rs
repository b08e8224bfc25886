//! Counts over a sliding span of time.

use std::{collections::VecDeque, time};

/// Parts that a span is divided into; an event counts for at most one part longer than the span.
const PARTS: u32 = 20;

/// Events of the latest span.
#[derive(Clone, Debug)]
pub struct Window {
    part: time::Duration,
    /// Number of the part, and events in it; oldest first.
    parts: VecDeque<(u64, u64)>,
    sum: u64,
}

impl Window {
    /// No events yet.
    pub fn new(span: time::Duration) -> Self {
        let part = (span / PARTS).max(time::Duration::from_millis(1));
        Self { part, parts: VecDeque::new(), sum: 0 }
    }

    /// Counts one event.
    pub fn add(&mut self, now: time::Duration) {
        let at = self.number(now);
        self.expire(at);
        match self.parts.back_mut() {
            Some((number, count)) if *number >= at => *count += 1,
            _ => self.parts.push_back((at, 1)),
        }
        self.sum += 1;
    }

    /// Events of the span that ends now.
    pub fn count(&mut self, now: time::Duration) -> u64 {
        let at = self.number(now);
        self.expire(at);
        self.sum
    }

    fn number(&self, now: time::Duration) -> u64 {
        (now.as_micros() / self.part.as_micros().max(1)) as u64
    }

    fn expire(&mut self, at: u64) {
        while let Some((number, count)) = self.parts.front().copied() {
            if number + u64::from(PARTS) >= at {
                return;
            }
            self.sum -= count;
            self.parts.pop_front();
        }
    }
}
