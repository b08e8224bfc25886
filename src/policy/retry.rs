//! What may be done after an attempt failed, and whether the request ran.

use std::time;

use crate::{
    policy::{budget, collector},
    wire,
};

/// Attempts of one request. A full server's refusals do not count, nor any once it has begun.
const MAX_ATTEMPTS: u32 = 8;
/// Time that a further attempt needs at least.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(20);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The sidecar refused; nothing was sent to the server.
    Refused(wire::Refusal),
    /// No byte of the call left this process.
    Unsent,
    /// The server broke off, as its sidecar tells.
    ServerFailed(wire::Ran),
    /// The connection to the sidecar broke after the call was sent.
    ConnectionLost,
    /// The answer cannot be made whole.
    InvalidAnswer(collector::Problem),
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Wait for a slot again; the server stays a candidate.
    Requeue,
    /// Send to another server as if new.
    Reroute,
    /// Send to another server, whole, and check it against what the caller has.
    Restart,
    /// Go on with the stream on another server.
    Resume(wire::Resume),
    /// Answer the caller with an error now.
    Fail(wire::Ran),
}

/// What is known of one request over its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    repeatable: bool,
    attempts: u32,
    ran: wire::Ran,
    /// Bytes that the caller had when the last attempt failed.
    delivered_before: u64,
}

impl RetryState {
    /// A request that was not sent yet.
    pub fn new(repeatable: bool) -> Self {
        Self { repeatable, attempts: 0, ran: wire::Ran::No, delivered_before: 0 }
    }

    /// Whether the request ran, as far as is known.
    pub fn ran(&self) -> wire::Ran {
        self.ran
    }

    /// Decides after a failure. `left` is the time to the deadline, `collector`
    /// what the caller has so far. An attempt that brought the caller further
    /// pays for the next; others draw on `budget`.
    pub fn decide(
        &mut self,
        failure: Failure,
        collector: &collector::Collector,
        left: time::Duration,
        budget: &mut budget::RetryBudget,
        now: time::Duration,
    ) -> Action {
        self.attempts += u32::from(failure != Failure::Refused(wire::Refusal::Full));
        let ran = ran_after(failure);
        self.ran = combine_ran(self.ran, ran);
        let progressed = collector.delivered_bytes() > self.delivered_before;
        self.delivered_before = collector.delivered_bytes();
        let unrecoverable =
            matches!(failure, Failure::InvalidAnswer(problem) if !problem.is_resumable());
        match failure {
            _ if unrecoverable || left < MIN_TIME_LEFT => Action::Fail(self.ran),
            Failure::Refused(wire::Refusal::TooLate) => Action::Fail(self.ran),
            Failure::Refused(wire::Refusal::Full) => Action::Requeue,
            _ if ran != wire::Ran::No && !self.repeatable => Action::Fail(self.ran),
            Failure::Refused(_) | Failure::Unsent if self.ran != wire::Ran::No => {
                next_action(collector)
            }
            _ if self.attempts >= MAX_ATTEMPTS => Action::Fail(self.ran),
            Failure::Refused(_) => next_action(collector),
            _ if !progressed && !budget.take_retry(now) => Action::Fail(self.ran),
            _ => next_action(collector),
        }
    }
}

fn next_action(collector: &collector::Collector) -> Action {
    match collector.resume_point() {
        Some(resume) => Action::Resume(resume),
        None if collector.delivered_bytes() > 0 => Action::Restart,
        None => Action::Reroute,
    }
}

fn ran_after(failure: Failure) -> wire::Ran {
    match failure {
        Failure::Refused(_) | Failure::Unsent => wire::Ran::No,
        Failure::ServerFailed(ran) => ran,
        Failure::ConnectionLost => wire::Ran::Unknown,
        Failure::InvalidAnswer(_) => wire::Ran::Yes,
    }
}

fn combine_ran(a: wire::Ran, b: wire::Ran) -> wire::Ran {
    match (a, b) {
        (wire::Ran::Yes, _) | (_, wire::Ran::Yes) => wire::Ran::Yes,
        (wire::Ran::Unknown, _) | (_, wire::Ran::Unknown) => wire::Ran::Unknown,
        (wire::Ran::No, wire::Ran::No) => wire::Ran::No,
    }
}
