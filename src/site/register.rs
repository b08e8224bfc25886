//! The backend servers that registered with the platform, and what keeps work from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net, time,
};

use crate::{name, rank};

/// Silence of the store after which missing servers may have lapsed without having gone.
/// Above the pause between two regular reads, below the three heartbeats after which the
/// platform drops an entry.
const OUTAGE: time::Duration = time::Duration::from_millis(2_500);
/// Time after the store's return within which a living server is listed again; the platform's
/// operators state about two seconds.
const RETURN: time::Duration = time::Duration::from_millis(2_200);

/// One incarnation of a server, as it registered.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its identity, which it checks on every request.
    pub server: name::Server,
    /// Service that it runs.
    pub service: name::Service,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: name::Zone,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// How much longer it is cold, counted from the report.
    pub cold: time::Duration,
    /// Start of this incarnation, in Unix milliseconds; 0 if it does not say.
    pub born_ms: u64,
    /// Group that it is part of, for engines that run in lock-step.
    pub member: Option<rank::Member>,
}

/// What one read of the register changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Servers that are new, or new under an old name.
    pub joined: Vec<name::Server>,
    /// Servers that began to leave.
    pub leaving: Vec<name::Server>,
    /// Servers that are not listed any more.
    pub gone: Vec<name::Server>,
    /// Servers that are missing but may come back.
    pub lapsed: Vec<name::Server>,
}

/// A server with what this process adds to its entry.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The entry as last read.
    pub entry: Entry,
    /// When the server stops being cold, on this process's clock.
    pub cold_until: time::Duration,
    /// When a missing server counts as gone.
    lapses: Option<time::Duration>,
    /// Whether a later incarnation has its address: after a crash the entry of the earlier one
    /// stays until it expires.
    succeeded: bool,
}

/// All servers known, and the zones that operators emptied. Times are on the process's
/// steady clock.
#[derive(Debug, Default)]
pub struct Register {
    servers: BTreeMap<name::Server, Listed>,
    emptied: BTreeSet<name::Zone>,
    read_at: Option<time::Duration>,
    returned_at: Option<time::Duration>,
}

impl Register {
    /// Takes a whole read of the register, made at `now`.
    pub fn replace(&mut self, entries: Vec<Entry>, now: time::Duration) -> Changes {
        if self.read_at.is_some_and(|at| now.saturating_sub(at) > OUTAGE) {
            self.returned_at = Some(now);
        }
        self.read_at = Some(now);
        let mut changes = Changes::default();
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.server.clone()).collect();
        let settled = self.returned_at.map(|at| at + RETURN).filter(|until| *until > now);
        self.servers.retain(|server, known| {
            if listed.contains(server) {
                return true;
            }
            let until = *known.lapses.get_or_insert_with(|| {
                if settled.is_some() {
                    changes.lapsed.push(server.clone());
                }
                settled.unwrap_or(now)
            });
            if until <= now {
                changes.gone.push(server.clone());
            }
            until > now
        });
        for entry in entries {
            self.take(entry, now, &mut changes);
        }
        self.mark_succeeded();
        changes
    }

    fn mark_succeeded(&mut self) {
        let mut newest: BTreeMap<net::SocketAddr, u64> = BTreeMap::new();
        for Listed { entry, .. } in self.servers.values() {
            let newest = newest.entry(entry.address).or_default();
            *newest = entry.born_ms.max(*newest);
        }
        for known in self.servers.values_mut() {
            let born_ms = known.entry.born_ms;
            known.succeeded = born_ms > 0 && newest[&known.entry.address] > born_ms;
        }
    }

    fn take(&mut self, entry: Entry, now: time::Duration, changes: &mut Changes) {
        let server = entry.server.clone();
        let fresh = Listed { cold_until: now + entry.cold, lapses: None, succeeded: false, entry };
        match self.servers.get_mut(&server) {
            // A row of an earlier incarnation that was written late.
            Some(known) if known.entry.born_ms > fresh.entry.born_ms => known.lapses = None,
            Some(known) if known.entry.born_ms == fresh.entry.born_ms => {
                if fresh.entry.leaving && !known.entry.leaving {
                    changes.leaving.push(server);
                }
                // An incarnation that said that it is leaving does not come back.
                let leaving = known.entry.leaving || fresh.entry.leaving;
                *known = fresh;
                known.entry.leaving = leaving;
            }
            _ => {
                changes.joined.push(server.clone());
                self.servers.insert(server, fresh);
            }
        }
    }

    /// Takes the zones that operators want emptied; gives those that changed.
    pub fn empty_zones(&mut self, zones: BTreeSet<name::Zone>) -> Vec<name::Zone> {
        let changed = self.emptied.symmetric_difference(&zones).cloned().collect();
        self.emptied = zones;
        changed
    }

    /// Zones that operators want emptied.
    pub fn emptied(&self) -> &BTreeSet<name::Zone> {
        &self.emptied
    }

    /// When the register was last read; `None` before the first read.
    pub fn read_at(&self) -> Option<time::Duration> {
        self.read_at
    }

    /// Servers of `service` that may get new work.
    pub fn open<'a>(&'a self, service: &'a name::Service) -> impl Iterator<Item = &'a Listed> {
        self.servers.values().filter(move |known| {
            known.entry.service == *service
                && !known.entry.leaving
                && !known.succeeded
                && !self.emptied.contains(&known.entry.zone)
        })
    }

    /// Every server, also those that are leaving.
    pub fn all(&self) -> impl Iterator<Item = &Listed> {
        self.servers.values()
    }

    /// The server of this name.
    pub fn get(&self, server: &name::Server) -> Option<&Listed> {
        self.servers.get(server)
    }
}
