//! Set of the backend servers that an entry can route the requests of one service to.

use std::{collections::BTreeMap, time};

use xxhash_rust::xxh3;

use crate::{
    name,
    policy::{cache, candidate, prefix, subset},
    wire,
};

/// Candidates of one service, by server name. Updates of unknown servers are ignored.
#[derive(Clone, Debug)]
pub struct CandidateSet {
    entry_hash: u64,
    subset_size: usize,
    candidates: BTreeMap<name::Server, candidate::Candidate>,
}

impl CandidateSet {
    /// Creates an empty set for the entry on `host`.
    pub fn new(host: &name::Host) -> Self {
        let entry_hash = xxh3::xxh3_64(host.as_str().as_bytes());
        Self { entry_hash, subset_size: subset::SERVERS_PER_ENTRY, candidates: BTreeMap::new() }
    }

    /// Adds a server, or moves it to another zone and keeps its state.
    pub fn add(&mut self, server: &name::Server, zone: &name::Zone) {
        self.candidates
            .entry(server.clone())
            .or_insert_with(|| candidate::Candidate::new(server, zone))
            .zone = zone.clone();
        self.update_subset();
    }

    /// Removes a server.
    pub fn remove(&mut self, server: &name::Server) {
        self.candidates.remove(server);
        self.update_subset();
    }

    /// Sets whether a server may get new requests under the configuration in force.
    pub fn set_allowed(&mut self, server: &name::Server, allowed: bool) {
        self.update(server, |candidate| candidate.allowed = allowed);
    }

    /// Records a load report from a reply.
    pub fn record_load(&mut self, server: &name::Server, load: &wire::Load, now: time::Duration) {
        self.update(server, |candidate| candidate.record_load(load, now));
    }

    /// Records a refusal with its load report and retry time.
    pub fn record_refusal(
        &mut self,
        server: &name::Server,
        load: &wire::Load,
        retry_after: time::Duration,
        now: time::Duration,
    ) {
        self.update(server, |candidate| candidate.record_refusal(load, retry_after, now));
    }

    /// Discards outdated reports that a server is full.
    pub fn expire_full_reports(&mut self, now: time::Duration) {
        self.candidates.values_mut().for_each(|candidate| candidate.expire_full_report(now));
    }

    /// Records that a prompt with these prefixes was sent to `server`.
    pub fn record_prefix(
        &mut self,
        server: &name::Server,
        prefix: &prefix::PrefixKeys,
        now: time::Duration,
    ) {
        self.update(server, |candidate| candidate.cache.record_request(prefix, now));
    }

    /// Applies the cache event with sequence number `seq` of `server`'s engine.
    pub fn apply_cache_event(
        &mut self,
        server: &name::Server,
        seq: u64,
        event: cache::Event,
        now: time::Duration,
    ) {
        self.update(server, |candidate| candidate.cache.apply_event(seq, event, now));
    }

    /// Records a request of about `tokens` sent to `server`.
    pub fn record_sent(&mut self, server: &name::Server, tokens: u64) {
        self.update(server, |candidate| candidate.record_sent(tokens));
    }

    /// Records the end of a request, in whatever way, after [`CandidateSet::record_sent`].
    pub fn record_ended(&mut self, server: &name::Server, tokens: u64) {
        self.update(server, |candidate| candidate.record_ended(tokens));
    }

    /// Records that `server` completed a request of about `tokens` in `elapsed`.
    pub fn record_completion(
        &mut self,
        server: &name::Server,
        tokens: u64,
        elapsed: time::Duration,
    ) {
        self.update(server, |candidate| candidate.record_completion(tokens, elapsed));
    }

    /// Records that a request of about `tokens` at `server` was abandoned after `elapsed`.
    pub fn record_abandoned(
        &mut self,
        server: &name::Server,
        tokens: u64,
        elapsed: time::Duration,
    ) {
        self.update(server, |candidate| candidate.record_abandoned(tokens, elapsed));
    }

    /// Ejects a server until `until`; `None` ends its ejection.
    pub fn set_ejected(&mut self, server: &name::Server, until: Option<time::Duration>) {
        self.update(server, |candidate| candidate.ejected_until = until);
    }

    /// Returns the state of `server`; `None` if it is not in the set.
    pub fn get(&self, server: &name::Server) -> Option<&candidate::Candidate> {
        self.candidates.get(server)
    }

    /// Iterates over all servers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &candidate::Candidate> {
        self.candidates.values()
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    fn update_subset(&mut self) {
        let members = match self.candidates.len() {
            total if total <= self.subset_size => None,
            _ => Some(subset::choose(self.entry_hash, self.subset_size, self.candidates.values())),
        };
        for candidate in self.candidates.values_mut() {
            candidate.in_subset =
                members.as_ref().is_none_or(|members| members.contains(&candidate.server));
        }
    }

    fn update(&mut self, server: &name::Server, f: impl FnOnce(&mut candidate::Candidate)) {
        if let Some(candidate) = self.candidates.get_mut(server) {
            f(candidate);
        }
    }
}
