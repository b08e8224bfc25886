//! The requests of one service that wait for a slot at this gateway, and the order in which they get
//! one.

use std::{collections::BTreeMap, time};

use super::SlidingWindow;
use crate::name;

/// Period over which granted slots are counted, to tell how soon slots come free.
const GRANT_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Requests that may wait although few slots were granted lately, as after an idle time.
const MIN_WAITING: usize = 4;
/// Largest number of waiting requests; bounds the memory for their bodies.
const MAX_WAITING: usize = 256;
/// One in this many slots goes to the oldest request whatever its urgency, so that none starves.
const AGE_TURN: u64 = 8;
/// Slots after which those granted to each workspace count half.
const HALVING_GRANTS: u64 = 64;
/// Weight of the newest time of a first answer in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Multiple of the mean time of a first answer that most first answers stay below.
const FIRST_ANSWER_MARGIN: f64 = 1.3;
/// Shortest and longest wait, as fractions of the latency target.
const WAIT_RANGE: (f64, f64) = (0.1, 0.5);

/// Urgency of a request; the smallest is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency {
    /// Priority of its workspace or route; 0 is the most urgent.
    pub priority: u8,
    /// Whether its caller has waited for longer than the latency target already.
    pub is_late: bool,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket(u64);

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    urgency: Urgency,
    workspace: Option<name::Workspace>,
}

/// Waiting requests of one service. Times are on the process's monotonic clock.
#[derive(Debug)]
pub struct WaitQueue {
    /// Oldest first.
    waiting: Vec<Waiter>,
    next_ticket: u64,
    grants: SlidingWindow,
    granted: u64,
    /// Slots granted lately by workspace.
    recent: BTreeMap<Option<name::Workspace>, u32>,
    /// Mean time from a slot to the first answer, in seconds.
    first_answer_s: Option<f64>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            next_ticket: 0,
            grants: SlidingWindow::new(GRANT_WINDOW),
            granted: 0,
            recent: BTreeMap::new(),
            first_answer_s: None,
        }
    }
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how long a request may wait for a slot and still be in time.
    pub fn max_wait(&self, latency_target: time::Duration) -> time::Duration {
        let (min, max) =
            (latency_target.mul_f64(WAIT_RANGE.0), latency_target.mul_f64(WAIT_RANGE.1));
        let first_answer = self.first_answer_s.unwrap_or_default() * FIRST_ANSWER_MARGIN;
        let first_answer = time::Duration::from_secs_f64(first_answer);
        latency_target.saturating_sub(first_answer).clamp(min, max)
    }

    /// Adds a request that found no slot. Returns its ticket, or `None` if it is refused: more
    /// requests wait than get slots within `max_wait`, and none of them is less urgent. The least
    /// urgent one makes room for a more urgent one, and then is no longer [contained](Self::contains).
    pub fn join(
        &mut self,
        urgency: Urgency,
        workspace: Option<&name::Workspace>,
        max_wait: time::Duration,
        now: time::Duration,
    ) -> Option<Ticket> {
        let per_s = self.grants.count(now) as f64 / GRANT_WINDOW.as_secs_f64();
        let room = (per_s * max_wait.as_secs_f64()) as usize;
        if self.waiting.len() >= room.clamp(MIN_WAITING, MAX_WAITING) {
            let last = (0..self.waiting.len()).max_by_key(|n| (self.waiting[*n].urgency, *n))?;
            if self.waiting[last].urgency <= urgency {
                return None;
            }
            self.waiting.remove(last);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(Waiter { ticket, urgency, workspace: workspace.cloned() });
        Some(ticket)
    }

    /// Whether the request still waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.iter().any(|waiter| waiter.ticket == ticket)
    }

    /// Whether the request is the next to get a slot.
    pub fn is_next(&self, ticket: Ticket) -> bool {
        self.next().is_some_and(|next| next.ticket == ticket)
    }

    /// Whether a request that has just arrived may take a slot before those that wait.
    pub fn may_pass(&self, urgency: Urgency) -> bool {
        self.next().is_none_or(|next| urgency < next.urgency)
    }

    /// Removes a request that got a slot, or no longer waits for one.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiter| waiter.ticket != ticket);
    }

    /// Records that a request of `workspace` got a slot.
    pub fn record_grant(&mut self, workspace: Option<&name::Workspace>, now: time::Duration) {
        self.grants.add(now);
        self.granted += 1;
        *self.recent.entry(workspace.cloned()).or_default() += 1;
        if self.granted.is_multiple_of(HALVING_GRANTS) {
            self.recent.values_mut().for_each(|granted| *granted /= 2);
            self.recent.retain(|_, granted| *granted > 0);
        }
    }

    /// Records the time from a slot to the first part of the answer.
    pub fn record_first_answer(&mut self, took: time::Duration) {
        let newest = took.as_secs_f64();
        let mean = self.first_answer_s.get_or_insert(newest);
        *mean += NEWEST_WEIGHT * (newest - *mean);
    }

    fn next(&self) -> Option<&Waiter> {
        if (self.granted + 1).is_multiple_of(AGE_TURN) {
            return self.waiting.first();
        }
        let granted = |waiter: &Waiter| self.recent.get(&waiter.workspace).copied().unwrap_or(0);
        self.waiting.iter().min_by_key(|waiter| (waiter.urgency, granted(waiter)))
    }
}
