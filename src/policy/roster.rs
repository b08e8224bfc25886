//! The backend servers of one service as one entry sees them.

use std::{collections::BTreeMap, time};

use crate::{name, policy::candidate, wire};

/// Candidates of one service, by server name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    candidates: BTreeMap<name::Server, candidate::Candidate>,
}

impl Roster {
    /// A roster without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a server, or moves it to another zone; what is known of it stays.
    pub fn join(&mut self, server: &name::Server, zone: &name::Zone) {
        self.candidates
            .entry(server.clone())
            .or_insert_with(|| candidate::Candidate::new(server, zone))
            .zone = zone.clone();
    }

    /// Removes a server.
    pub fn leave(&mut self, server: &name::Server) {
        self.candidates.remove(server);
    }

    /// Sets whether a server may get new work, as the configuration in force says.
    pub fn allow(&mut self, server: &name::Server, allowed: bool) {
        self.change(server, |candidate| candidate.allowed = allowed);
    }

    /// Takes a load report that rode on a reply.
    pub fn report(&mut self, server: &name::Server, load: &wire::Load, now: time::Duration) {
        self.change(server, |candidate| candidate.report(load, now));
    }

    /// Notes a request of about `tokens` sent to `server`.
    pub fn sent(&mut self, server: &name::Server, tokens: u64) {
        self.change(server, |candidate| candidate.sent(tokens));
    }

    /// Notes that a request noted by [`Roster::sent`] has ended, however it did.
    pub fn ended(&mut self, server: &name::Server, tokens: u64) {
        self.change(server, |candidate| candidate.ended(tokens));
    }

    /// Keeps new work from a server until `until`; `None` lifts it.
    pub fn eject(&mut self, server: &name::Server, until: Option<time::Duration>) {
        self.change(server, |candidate| candidate.ejected = until);
    }

    /// One server.
    pub fn get(&self, server: &name::Server) -> Option<&candidate::Candidate> {
        self.candidates.get(server)
    }

    /// All servers, by name.
    pub fn iter(&self) -> impl Iterator<Item = &candidate::Candidate> {
        self.candidates.values()
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    fn change(&mut self, server: &name::Server, f: impl FnOnce(&mut candidate::Candidate)) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            f(candidate);
        }
    }
}
