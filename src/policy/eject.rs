//! Ejection of failing servers, with a floor: most of them are never ejected.

use std::{collections::BTreeMap, time};

use crate::{name, policy::roster};

/// Failures in a row that eject a server.
const FAILURES: u32 = 5;
/// First ejection. One failure after it ejects again, for twice as long, up to [`LONGEST`].
const FIRST: time::Duration = time::Duration::from_secs(2);
/// Longest ejection.
const LONGEST: time::Duration = time::Duration::from_secs(60);
/// Most servers ejected at once, as a part of all; of two or more, at least one.
const PART: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
}

/// Failures in a row of each server that has any.
#[derive(Clone, Debug, Default)]
pub struct Eject {
    records: BTreeMap<name::Server, Record>,
}

impl Eject {
    /// No failures yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `server` answered.
    pub fn answered(&mut self, server: &name::Server) {
        self.records.remove(server);
    }

    /// Notes that an attempt at `server` failed by its fault; ejects it if that
    /// was one too many and enough other servers remain.
    pub fn failed(
        &mut self,
        roster: &mut roster::Roster,
        server: &name::Server,
        now: time::Duration,
    ) {
        if ejected(roster, server, now) {
            return;
        }
        let record = self.records.entry(server.clone()).or_default();
        record.failures += 1;
        let due = record.failures >= FAILURES;
        if due && room(roster, server, now) {
            let lasts = FIRST * 2u32.saturating_pow(record.ejections.min(16));
            record.failures = FAILURES - 1;
            record.ejections += 1;
            roster.eject(server, Some(now + lasts.min(LONGEST)));
        }
    }
}

/// Whether one more server may be ejected, counting those that could have work.
fn room(roster: &roster::Roster, server: &name::Server, now: time::Duration) -> bool {
    let all = roster.iter().filter(|candidate| candidate.allowed).count();
    let ejected = roster
        .iter()
        .filter(|candidate| candidate.server != *server)
        .filter(|candidate| candidate.ejected.is_some_and(|until| until > now))
        .count();
    ejected < (all / PART).max(usize::from(all > 1))
}

fn ejected(roster: &roster::Roster, server: &name::Server, now: time::Duration) -> bool {
    let until = roster.get(server).and_then(|candidate| candidate.ejected);
    until.is_some_and(|until| until > now)
}
