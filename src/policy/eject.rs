//! Ejection of failing servers, with a floor: most of them are never ejected.

use std::{collections::BTreeMap, time};

use crate::{name, policy::candidates};

/// Failures in a row that eject a server.
const FAILURES_TO_EJECT: u32 = 5;
/// First ejection. One failure after it ejects again, for twice as long, up to [`MAX_EJECTION`].
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(2);
/// Longest ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(60);
/// Most servers ejected at once, as a part of all; of two or more, at least one.
const MAX_EJECTED_DIVISOR: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
struct FailureRecord {
    failures: u32,
    ejections: u32,
}

/// Failures in a row of each server that has any.
#[derive(Clone, Debug, Default)]
pub struct FailureTracker {
    records: BTreeMap<name::Server, FailureRecord>,
}

impl FailureTracker {
    /// No failures yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `server` answered.
    pub fn record_success(&mut self, server: &name::Server) {
        self.records.remove(server);
    }

    /// Notes that an attempt at `server` failed by its fault; ejects it if that
    /// was one too many and enough other servers remain.
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

/// Whether one more server may be ejected, counting those that could have work.
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
