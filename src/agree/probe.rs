//! Failure detection: one direct probe per interval, repeated through other processes before the
//! target becomes suspect.

use std::{collections::BTreeMap, net, time};

use rand_pcg::Pcg64;

use crate::{agree::membership::Membership, agree::store, name, wire::gossip::Member};

/// Time between two probes that one process sends.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time after which an unanswered probe is repeated through other processes.
const DIRECT_PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time after which an unanswered probe makes its target suspect.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Number of other processes that are asked to probe the target.
const HELPER_COUNT: usize = 3;

/// Gap between two ticks after which this process assumes that it was paused. It then discards the
/// probes in flight, whose answers it may not have read in time.
const PAUSE_THRESHOLD: time::Duration = time::Duration::from_secs(1);

/// Time without any answer after which this process assumes that it is isolated.
const ISOLATION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Process on whose behalf a probe was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relay {
    /// Process that asked for the probe.
    pub requester: net::SocketAddr,
    /// Number that it gave the probe.
    pub seq: u64,
}

#[derive(Clone, Debug)]
struct Probe {
    host: Option<name::Host>,
    target: net::SocketAddr,
    sent_at: time::Duration,
    helpers_asked: bool,
    relay: Option<Relay>,
}

/// Message that a tick calls for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe `member`.
    Ping {
        /// Target of the probe.
        member: Member,
        /// Number of the probe.
        seq: u64,
    },
    /// Ask `helper` to probe `target`.
    IndirectPing {
        /// Process to ask.
        helper: net::SocketAddr,
        /// Target of the probe.
        target: net::SocketAddr,
        /// Number of the probe.
        seq: u64,
    },
}

/// Probes in flight, and what their answers say about this process's own connection.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    next_probe_at: time::Duration,
    seq: u64,
    last_tick: time::Duration,
    last_ack: time::Duration,
    in_flight: BTreeMap<u64, Probe>,
}

impl FailureDetector {
    /// Creates a failure detector whose first probe is due at a random time of the first interval.
    pub fn new(now: time::Duration, rng: &mut Pcg64) -> Self {
        let next = now + store::jitter(PROBE_INTERVAL / 2, rng);
        Self {
            next_probe_at: next,
            seq: 0,
            last_tick: now,
            last_ack: now,
            in_flight: BTreeMap::new(),
        }
    }

    /// Whether no process has answered for `ISOLATION_TIMEOUT`.
    pub fn is_isolated(&self, now: time::Duration) -> bool {
        now >= self.last_ack + ISOLATION_TIMEOUT
    }

    /// Marks targets as suspect whose probes were not answered in time, and returns the probes to
    /// send.
    pub fn tick(
        &mut self,
        now: time::Duration,
        membership: &mut Membership,
        rng: &mut Pcg64,
    ) -> Vec<Action> {
        if now >= self.last_tick + PAUSE_THRESHOLD {
            self.in_flight.clear();
        }
        self.last_tick = now;
        self.expire_probes(now, membership);
        let mut actions = self.ask_helpers(now, membership, rng);
        actions.extend(self.start_probe(now, membership, rng));
        actions
    }

    /// Starts a probe on behalf of another process; returns its number.
    pub fn relay(&mut self, now: time::Duration, target: net::SocketAddr, relay: Relay) -> u64 {
        self.add_probe(Probe {
            host: None,
            target,
            sent_at: now,
            helpers_asked: true,
            relay: Some(relay),
        })
    }

    /// Handles an answer; returns the process on whose behalf the probe was sent, if any.
    pub fn receive_ack(&mut self, now: time::Duration, seq: u64) -> Option<Relay> {
        self.last_ack = now;
        self.in_flight.remove(&seq)?.relay
    }

    fn add_probe(&mut self, probe: Probe) -> u64 {
        self.seq += 1;
        self.in_flight.insert(self.seq, probe);
        self.seq
    }

    fn expire_probes(&mut self, now: time::Duration, membership: &mut Membership) {
        let is_late = |probe: &Probe| now >= probe.sent_at + PROBE_TIMEOUT;
        for probe in self.in_flight.values().filter(|probe| is_late(probe)) {
            if let Some(host) = &probe.host {
                membership.mark_suspect(now, host);
            }
        }
        self.in_flight.retain(|_, probe| !is_late(probe));
    }

    fn ask_helpers(
        &mut self,
        now: time::Duration,
        membership: &Membership,
        rng: &mut Pcg64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (seq, probe) in &mut self.in_flight {
            if probe.helpers_asked || now < probe.sent_at + DIRECT_PROBE_TIMEOUT {
                continue;
            }
            probe.helpers_asked = true;
            let helpers = membership.sample(HELPER_COUNT, rng).into_iter();
            let helpers = helpers.filter(|helper| *helper != probe.target);
            let (seq, target) = (*seq, probe.target);
            actions.extend(helpers.map(|helper| Action::IndirectPing { helper, target, seq }));
        }
        actions
    }

    fn start_probe(
        &mut self,
        now: time::Duration,
        membership: &mut Membership,
        rng: &mut Pcg64,
    ) -> Option<Action> {
        if now < self.next_probe_at {
            return None;
        }
        self.next_probe_at = (self.next_probe_at + PROBE_INTERVAL).max(now + PROBE_INTERVAL / 2);
        let member = membership.next_probe(rng)?;
        let host = Some(member.host.clone());
        let probe =
            Probe { host, target: member.peers, sent_at: now, helpers_asked: false, relay: None };
        let seq = self.add_probe(probe);
        Some(Action::Ping { member, seq })
    }
}
