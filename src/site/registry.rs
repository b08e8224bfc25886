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
pub struct Registration {
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
    pub cold_remaining: time::Duration,
    /// Start of this incarnation, in Unix milliseconds; 0 if it does not say.
    pub started_ms: u64,
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
    pub missing: Vec<name::Server>,
}

/// A server with what this process adds to its entry.
#[derive(Clone, Debug)]
pub struct RegisteredServer {
    /// The entry as last read.
    pub registration: Registration,
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
pub struct Registry {
    servers: BTreeMap<name::Server, RegisteredServer>,
    emptied: BTreeSet<name::Zone>,
    read_at: Option<time::Duration>,
    returned_at: Option<time::Duration>,
}

impl Registry {
    /// Takes a whole read of the register, made at `now`.
    pub fn update(&mut self, entries: Vec<Registration>, now: time::Duration) -> Changes {
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
                    changes.missing.push(server.clone());
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
        self.mark_superseded();
        changes
    }

    fn mark_superseded(&mut self) {
        let mut newest: BTreeMap<net::SocketAddr, u64> = BTreeMap::new();
        for RegisteredServer { registration: entry, .. } in self.servers.values() {
            let newest = newest.entry(entry.address).or_default();
            *newest = entry.started_ms.max(*newest);
        }
        for known in self.servers.values_mut() {
            let born_ms = known.registration.started_ms;
            known.succeeded = born_ms > 0 && newest[&known.registration.address] > born_ms;
        }
    }

    fn take(&mut self, entry: Registration, now: time::Duration, changes: &mut Changes) {
        let server = entry.server.clone();
        let fresh = RegisteredServer {
            cold_until: now + entry.cold_remaining,
            lapses: None,
            succeeded: false,
            registration: entry,
        };
        match self.servers.get_mut(&server) {
            // A row of an earlier incarnation that was written late.
            Some(known) if known.registration.started_ms > fresh.registration.started_ms => {
                known.lapses = None
            }
            Some(known) if known.registration.started_ms == fresh.registration.started_ms => {
                if fresh.registration.leaving && !known.registration.leaving {
                    changes.leaving.push(server);
                }
                // An incarnation that said that it is leaving does not come back.
                let leaving = known.registration.leaving || fresh.registration.leaving;
                *known = fresh;
                known.registration.leaving = leaving;
            }
            _ => {
                changes.joined.push(server.clone());
                self.servers.insert(server, fresh);
            }
        }
    }

    /// Takes the zones that operators want emptied; gives those that changed.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<name::Zone>) -> Vec<name::Zone> {
        let changed = self.emptied.symmetric_difference(&zones).cloned().collect();
        self.emptied = zones;
        changed
    }

    /// Zones that operators want emptied.
    pub fn evacuated_zones(&self) -> &BTreeSet<name::Zone> {
        &self.emptied
    }

    /// When the register was last read; `None` before the first read.
    pub fn last_read_at(&self) -> Option<time::Duration> {
        self.read_at
    }

    /// Servers of `service` that may get new work.
    pub fn available_servers<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = &'a RegisteredServer> {
        self.servers.values().filter(move |known| {
            known.registration.service == *service
                && !known.registration.leaving
                && !known.succeeded
                && !self.emptied.contains(&known.registration.zone)
        })
    }

    /// Every server, also those that are leaving.
    pub fn servers(&self) -> impl Iterator<Item = &RegisteredServer> {
        self.servers.values()
    }

    /// The server of this name.
    pub fn get(&self, server: &name::Server) -> Option<&RegisteredServer> {
        self.servers.get(server)
    }
}
