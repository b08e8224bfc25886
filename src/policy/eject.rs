//! Ejection of failing servers, limited so that most servers of a service always remain.

use std::{collections::BTreeMap, time};

use crate::{name, policy::candidates};

/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of a server's first ejection. One failure after an ejection ejects the server
/// again, for twice as long, up to [`MAX_EJECTION`].
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(2);
/// Maximum duration of an ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(60);
/// At most one in this many of the allowed servers is ejected at once; of two or more servers,
/// one may always be ejected.
const MAX_EJECTED_DIVISOR: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
struct FailureRecord {
    failures: u32,
    ejections: u32,
}

/// Consecutive failures and ejections of each server since its last success.
#[derive(Clone, Debug, Default)]
pub struct FailureTracker {
    records: BTreeMap<name::Server, FailureRecord>,
}

impl FailureTracker {
    /// Creates a tracker without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `server` answered, which clears its failures.
    pub fn record_success(&mut self, server: &name::Server) {
        self.records.remove(server);
    }

    /// Records that an attempt failed through the fault of `server`, and ejects the
    /// server if it has failed too often and enough other servers remain.
    ///
    /// Failures of an ejected server are ignored: they belong to attempts that
    /// broke together with the one that ejected it.
    pub fn record_failure(
        &mut self,
        candidates: &mut candidates::CandidateSet,
        server: &name::Server,
        now: time::Duration,
    ) {
        if is_ejected(candidates, server, now) {
            return;
        }
        let record = self.records.entry(server.clone()).or_default();
        record.failures += 1;
        let over_limit = record.failures >= FAILURES_TO_EJECT;
        if over_limit && may_eject(candidates, server, now) {
            let duration = FIRST_EJECTION * 2u32.saturating_pow(record.ejections.min(16));
            record.failures = FAILURES_TO_EJECT - 1;
            record.ejections += 1;
            candidates.set_ejected(server, Some(now + duration.min(MAX_EJECTION)));
        }
    }
}

/// Whether one more of the allowed servers may be ejected.
fn may_eject(
    candidates: &candidates::CandidateSet,
    server: &name::Server,
    now: time::Duration,
) -> bool {
    let allowed = candidates.iter().filter(|candidate| candidate.allowed).count();
    let ejected = candidates
        .iter()
        .filter(|candidate| candidate.server != *server)
        .filter(|candidate| candidate.ejected_until.is_some_and(|until| until > now))
        .count();
    ejected < (allowed / MAX_EJECTED_DIVISOR).max(usize::from(allowed > 1))
}

fn is_ejected(
    candidates: &candidates::CandidateSet,
    server: &name::Server,
    now: time::Duration,
) -> bool {
    let until = candidates.get(server).and_then(|candidate| candidate.ejected_until);
    until.is_some_and(|until| until > now)
}
