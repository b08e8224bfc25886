//! The backend servers of one service as one entry sees them.

use std::{collections::BTreeMap, time};

use xxhash_rust::xxh3;

use crate::{
    name,
    policy::{cache, candidate, prefix, subset},
    wire,
};

/// Candidates of one service, by server name.
#[derive(Clone, Debug)]
pub struct Roster {
    entry: u64,
    subset: usize,
    candidates: BTreeMap<name::Server, candidate::Candidate>,
}

impl Roster {
    /// A roster without servers, of the entry on `host`.
    pub fn new(host: &name::Host) -> Self {
        let entry = xxh3::xxh3_64(host.as_str().as_bytes());
        Self { entry, subset: subset::SIZE, candidates: BTreeMap::new() }
    }

    /// Adds a server, or moves it to another zone; what is known of it stays.
    pub fn join(&mut self, server: &name::Server, zone: &name::Zone) {
        self.candidates
            .entry(server.clone())
            .or_insert_with(|| candidate::Candidate::new(server, zone))
            .zone = zone.clone();
        self.resubset();
    }

    /// Removes a server.
    pub fn leave(&mut self, server: &name::Server) {
        self.candidates.remove(server);
        self.resubset();
    }

    /// Sets whether a server may get new work, as the configuration in force says.
    pub fn allow(&mut self, server: &name::Server, allowed: bool) {
        self.change(server, |candidate| candidate.allowed = allowed);
    }

    /// Takes a load report that rode on a reply.
    pub fn report(&mut self, server: &name::Server, load: &wire::Load, now: time::Duration) {
        self.change(server, |candidate| candidate.report(load, now));
    }

    /// Takes a refusal for want of room, with the time it named.
    pub fn refused(
        &mut self,
        server: &name::Server,
        load: &wire::Load,
        retry_after: time::Duration,
        now: time::Duration,
    ) {
        self.change(server, |candidate| candidate.refused(load, retry_after, now));
    }

    /// Forgets old reports by which a server has no room.
    pub fn refresh(&mut self, now: time::Duration) {
        self.candidates.values_mut().for_each(|candidate| candidate.refresh(now));
    }

    /// Notes that a prompt with these prefixes was sent to `server`.
    pub fn cached(&mut self, server: &name::Server, chain: &prefix::Chain, now: time::Duration) {
        self.change(server, |candidate| candidate.cache.sent(chain, now));
    }

    /// Takes a cache event of `server`'s engine, numbered `seq`.
    pub fn event(
        &mut self,
        server: &name::Server,
        seq: u64,
        event: cache::Event,
        now: time::Duration,
    ) {
        self.change(server, |candidate| candidate.cache.event(seq, event, now));
    }

    /// Notes a request of about `tokens` sent to `server`.
    pub fn sent(&mut self, server: &name::Server, tokens: u64) {
        self.change(server, |candidate| candidate.sent(tokens));
    }

    /// Notes that a request noted by [`Roster::sent`] has ended, however it did.
    pub fn ended(&mut self, server: &name::Server, tokens: u64) {
        self.change(server, |candidate| candidate.ended(tokens));
    }

    /// Notes that a request of about `tokens` was answered whole by `server` in `took`.
    pub fn took(&mut self, server: &name::Server, tokens: u64, took: time::Duration) {
        self.change(server, |candidate| candidate.took(tokens, took));
    }

    /// Notes that a request of about `tokens` was given up `after` so long at `server`.
    pub fn gave_up(&mut self, server: &name::Server, tokens: u64, after: time::Duration) {
        self.change(server, |candidate| candidate.gave_up(tokens, after));
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

    fn resubset(&mut self) {
        let members = match self.candidates.len() {
            all if all <= self.subset => None,
            _ => Some(subset::choose(self.entry, self.subset, self.candidates.values())),
        };
        for candidate in self.candidates.values_mut() {
            candidate.member =
                members.as_ref().is_none_or(|members| members.contains(&candidate.server));
        }
    }

    fn change(&mut self, server: &name::Server, f: impl FnOnce(&mut candidate::Candidate)) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            f(candidate);
        }
    }
}
