//! Decides how a request continues after a failed attempt, and tracks whether it ran.

use std::time;

use crate::{
    policy::{budget, collector},
    wire,
};

/// Maximum number of attempts per request. Refusals by a full server do not count, and once
/// the request may have run, refused and unsent calls are retried beyond this limit.
const MAX_ATTEMPTS: u32 = 8;
/// Time to the deadline below which no further attempt is made.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(20);

/// Way in which an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The sidecar refused the call and sent nothing to the server.
    Refused(wire::Refusal),
    /// The call was not sent: no byte of it left this process.
    Unsent,
    /// The server failed before the end of its answer, as reported by its sidecar.
    ServerFailed(wire::Ran),
    /// The connection to the sidecar broke after the call was sent.
    ConnectionLost,
    /// The received answer is invalid.
    InvalidAnswer(collector::Problem),
}

/// Next step for a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Queue the request again; the server remains a candidate.
    Requeue,
    /// Send the request to another server as if it were new.
    Reroute,
    /// Run the request from the start on another server, and check the answer against the
    /// bytes that the caller already has.
    Restart,
    /// Resume the stream on another server.
    Resume(wire::Resume),
    /// Answer the caller with an error, which states whether the request ran.
    Fail(wire::Ran),
}

/// State of one request over its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    repeatable: bool,
    attempts: u32,
    ran: wire::Ran,
    /// Bytes that the caller had received when the last attempt failed.
    delivered_before: u64,
}

impl RetryState {
    /// Creates the state of a request that has not been sent yet.
    pub fn new(repeatable: bool) -> Self {
        Self { repeatable, attempts: 0, ran: wire::Ran::No, delivered_before: 0 }
    }

    /// Returns whether the request ran, as far as known from all its attempts.
    pub fn ran(&self) -> wire::Ran {
        self.ran
    }

    /// Decides on the next step after `failure`.
    ///
    /// `time_left` is the time to the deadline and `collector` the state of the
    /// answer. A retry draws on `budget` unless the failed attempt was refused
    /// or delivered bytes to the caller, or if it was not sent and an earlier
    /// attempt may have run.
    pub fn decide(
        &mut self,
        failure: Failure,
        collector: &collector::Collector,
        time_left: time::Duration,
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
            _ if unrecoverable || time_left < MIN_TIME_LEFT => Action::Fail(self.ran),
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
