//! What may be done after an attempt failed, and whether the request ran.

use std::time;

use crate::{
    policy::{budget, collect},
    wire,
};

/// Attempts of one request. A full server's refusals do not count, nor any once it has begun.
const ATTEMPTS: u32 = 8;
/// Time that a further attempt needs at least.
const WORTHWHILE: time::Duration = time::Duration::from_millis(20);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The sidecar refused; nothing was sent to the server.
    Refused(wire::Refusal),
    /// No byte of the call left this process.
    Unsent,
    /// The server broke off, as its sidecar tells.
    Broken(wire::Ran),
    /// The connection to the sidecar broke after the call was sent.
    Lost,
    /// The answer cannot be made whole.
    Spoilt(collect::Problem),
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Wait for a slot again; the server stays a candidate.
    Requeue,
    /// Send to another server as if new.
    Elsewhere,
    /// Send to another server, whole, and check it against what the caller has.
    Restart,
    /// Go on with the stream on another server.
    Resume(wire::Resume),
    /// Answer the caller with an error now.
    Stop(wire::Ran),
}

/// What is known of one request over its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    repeatable: bool,
    attempts: u32,
    ran: wire::Ran,
    /// Bytes that the caller had when the last attempt failed.
    had: u64,
}

impl Retry {
    /// A request that was not sent yet.
    pub fn new(repeatable: bool) -> Self {
        Self { repeatable, attempts: 0, ran: wire::Ran::No, had: 0 }
    }

    /// Whether the request ran, as far as is known.
    pub fn ran(&self) -> wire::Ran {
        self.ran
    }

    /// Decides after a failure. `left` is the time to the deadline, `collected`
    /// what the caller has so far. An attempt that brought the caller further
    /// pays for the next; others draw on `budget`.
    pub fn judge(
        &mut self,
        failure: Failure,
        collected: &collect::Collect,
        left: time::Duration,
        budget: &mut budget::Budget,
        now: time::Duration,
    ) -> Verdict {
        self.attempts += u32::from(failure != Failure::Refused(wire::Refusal::Full));
        let ran = ran(failure);
        self.ran = worse(self.ran, ran);
        let further = collected.bytes() > self.had;
        self.had = collected.bytes();
        let spoilt = matches!(failure, Failure::Spoilt(problem) if !problem.resumable());
        match failure {
            _ if spoilt || left < WORTHWHILE => Verdict::Stop(self.ran),
            Failure::Refused(wire::Refusal::TooLate) => Verdict::Stop(self.ran),
            Failure::Refused(wire::Refusal::Full) => Verdict::Requeue,
            _ if ran != wire::Ran::No && !self.repeatable => Verdict::Stop(self.ran),
            Failure::Refused(_) | Failure::Unsent if self.ran != wire::Ran::No => again(collected),
            _ if self.attempts >= ATTEMPTS => Verdict::Stop(self.ran),
            Failure::Refused(_) => again(collected),
            _ if !further && !budget.retry(now) => Verdict::Stop(self.ran),
            _ => again(collected),
        }
    }
}

fn again(collected: &collect::Collect) -> Verdict {
    match collected.resume() {
        Some(resume) => Verdict::Resume(resume),
        None if collected.bytes() > 0 => Verdict::Restart,
        None => Verdict::Elsewhere,
    }
}

fn ran(failure: Failure) -> wire::Ran {
    match failure {
        Failure::Refused(_) | Failure::Unsent => wire::Ran::No,
        Failure::Broken(ran) => ran,
        Failure::Lost => wire::Ran::Unknown,
        Failure::Spoilt(_) => wire::Ran::Yes,
    }
}

fn worse(a: wire::Ran, b: wire::Ran) -> wire::Ran {
    match (a, b) {
        (wire::Ran::Yes, _) | (_, wire::Ran::Yes) => wire::Ran::Yes,
        (wire::Ran::Unknown, _) | (_, wire::Ran::Unknown) => wire::Ran::Unknown,
        (wire::Ran::No, wire::Ran::No) => wire::Ran::No,
    }
}
