//! Failure detection: one probe a period, asked again through others before it counts.

use std::{collections::BTreeMap, net, time};

use rand_pcg::Pcg64;

use crate::{agree::membership::Membership, agree::store, name, wire::gossip::Member};

/// Time between probes of one process.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time until a probe is sent again through others.
const DIRECT_PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time until an unanswered probe makes its target a suspect.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Others that are asked to probe.
const HELPER_COUNT: usize = 3;

/// A gap between ticks after which this process takes itself for paused.
const PAUSE_THRESHOLD: time::Duration = time::Duration::from_secs(1);

/// Time without any answer after which this process takes itself for cut off.
const ISOLATION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// On whose behalf a probe was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relay {
    /// Who asked.
    pub requester: net::SocketAddr,
    /// The number that it gave.
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

/// What a tick calls for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe `member`.
    Ping {
        /// The target.
        member: Member,
        /// The probe's number.
        seq: u64,
    },
    /// Ask `helper` to probe `target`.
    PingFor {
        /// Whom to ask.
        helper: net::SocketAddr,
        /// The target.
        target: net::SocketAddr,
        /// The probe's number.
        seq: u64,
    },
}

/// Probes under way.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    next_probe_at: time::Duration,
    seq: u64,
    last_tick: time::Duration,
    last_ack: time::Duration,
    in_flight: BTreeMap<u64, Probe>,
}

impl FailureDetector {
    /// Begins at a random point of the first period.
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

    /// Whether nobody has answered for long.
    pub fn is_isolated(&self, now: time::Duration) -> bool {
        now >= self.last_ack + ISOLATION_TIMEOUT
    }

    /// Ends old probes, making suspects, and begins a new one when it is due.
    pub fn tick(
        &mut self,
        now: time::Duration,
        roster: &mut Membership,
        rng: &mut Pcg64,
    ) -> Vec<Action> {
        if now >= self.last_tick + PAUSE_THRESHOLD {
            self.in_flight.clear();
        }
        self.last_tick = now;
        self.expire_probes(now, roster);
        let mut actions = self.ask_helpers(now, roster, rng);
        actions.extend(self.start_probe(now, roster, rng));
        actions
    }

    /// Begins a probe on another's behalf.
    pub fn relay(&mut self, now: time::Duration, target: net::SocketAddr, relay: Relay) -> u64 {
        self.add_probe(Probe {
            host: None,
            target: target,
            sent_at: now,
            helpers_asked: true,
            relay: Some(relay),
        })
    }

    /// Takes an answer; gives on whose behalf the probe was.
    pub fn receive_ack(&mut self, now: time::Duration, seq: u64) -> Option<Relay> {
        self.last_ack = now;
        self.in_flight.remove(&seq)?.relay
    }

    fn add_probe(&mut self, probe: Probe) -> u64 {
        self.seq += 1;
        self.in_flight.insert(self.seq, probe);
        self.seq
    }

    fn expire_probes(&mut self, now: time::Duration, roster: &mut Membership) {
        let late = |probe: &Probe| now >= probe.sent_at + PROBE_TIMEOUT;
        for probe in self.in_flight.values().filter(|probe| late(probe)) {
            if let Some(host) = &probe.host {
                roster.mark_suspect(now, host);
            }
        }
        self.in_flight.retain(|_, probe| !late(probe));
    }

    fn ask_helpers(
        &mut self,
        now: time::Duration,
        roster: &Membership,
        rng: &mut Pcg64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (seq, probe) in &mut self.in_flight {
            if probe.helpers_asked || now < probe.sent_at + DIRECT_PROBE_TIMEOUT {
                continue;
            }
            probe.helpers_asked = true;
            let helpers = roster.sample(HELPER_COUNT, rng).into_iter();
            let helpers = helpers.filter(|helper| *helper != probe.target);
            let (seq, target) = (*seq, probe.target);
            actions.extend(helpers.map(|helper| Action::PingFor { helper, target, seq }));
        }
        actions
    }

    fn start_probe(
        &mut self,
        now: time::Duration,
        roster: &mut Membership,
        rng: &mut Pcg64,
    ) -> Option<Action> {
        if now < self.next_probe_at {
            return None;
        }
        self.next_probe_at = (self.next_probe_at + PROBE_INTERVAL).max(now + PROBE_INTERVAL / 2);
        let member = roster.next_probe(rng)?;
        let host = Some(member.host.clone());
        let probe =
            Probe { host, target: member.peers, sent_at: now, helpers_asked: false, relay: None };
        let seq = self.add_probe(probe);
        Some(Action::Ping { member, seq })
    }
}
