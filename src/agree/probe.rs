//! Failure detection: one probe a period, asked again through others before it counts.

use std::{collections::BTreeMap, net, time};

use rand_pcg::Pcg64;

use crate::{agree::roster::Roster, agree::store, name, wire::gossip::Member};

/// Time between probes of one process.
const PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time until a probe is sent again through others.
const DIRECT: time::Duration = time::Duration::from_millis(500);

/// Time until an unanswered probe makes its target a suspect.
const WHOLE: time::Duration = time::Duration::from_millis(1500);

/// Others that are asked to probe.
const HELPERS: usize = 3;

/// A gap between ticks after which this process takes itself for paused.
const PAUSE: time::Duration = time::Duration::from_secs(1);

/// Time without any answer after which this process takes itself for cut off.
const ISOLATION: time::Duration = time::Duration::from_secs(5);

/// On whose behalf a probe was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relay {
    /// Who asked.
    pub to: net::SocketAddr,
    /// The number that it gave.
    pub seq: u64,
}

#[derive(Clone, Debug)]
struct Probe {
    host: Option<name::Host>,
    peers: net::SocketAddr,
    sent: time::Duration,
    helped: bool,
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
pub struct Probes {
    next: time::Duration,
    seq: u64,
    last_tick: time::Duration,
    last_ack: time::Duration,
    under_way: BTreeMap<u64, Probe>,
}

impl Probes {
    /// Begins at a random point of the first period.
    pub fn new(now: time::Duration, rng: &mut Pcg64) -> Self {
        let next = now + store::jitter(PERIOD / 2, rng);
        Self { next, seq: 0, last_tick: now, last_ack: now, under_way: BTreeMap::new() }
    }

    /// Whether nobody has answered for long.
    pub fn is_isolated(&self, now: time::Duration) -> bool {
        now >= self.last_ack + ISOLATION
    }

    /// Ends old probes, making suspects, and begins a new one when it is due.
    pub fn tick(
        &mut self,
        now: time::Duration,
        roster: &mut Roster,
        rng: &mut Pcg64,
    ) -> Vec<Action> {
        if now >= self.last_tick + PAUSE {
            self.under_way.clear();
        }
        self.last_tick = now;
        self.fail(now, roster);
        let mut actions = self.ask_helpers(now, roster, rng);
        actions.extend(self.begin(now, roster, rng));
        actions
    }

    /// Begins a probe on another's behalf.
    pub fn relay(&mut self, now: time::Duration, target: net::SocketAddr, relay: Relay) -> u64 {
        self.add(Probe { host: None, peers: target, sent: now, helped: true, relay: Some(relay) })
    }

    /// Takes an answer; gives on whose behalf the probe was.
    pub fn ack(&mut self, now: time::Duration, seq: u64) -> Option<Relay> {
        self.last_ack = now;
        self.under_way.remove(&seq)?.relay
    }

    fn add(&mut self, probe: Probe) -> u64 {
        self.seq += 1;
        self.under_way.insert(self.seq, probe);
        self.seq
    }

    fn fail(&mut self, now: time::Duration, roster: &mut Roster) {
        let late = |probe: &Probe| now >= probe.sent + WHOLE;
        for probe in self.under_way.values().filter(|probe| late(probe)) {
            if let Some(host) = &probe.host {
                roster.suspect(now, host);
            }
        }
        self.under_way.retain(|_, probe| !late(probe));
    }

    fn ask_helpers(
        &mut self,
        now: time::Duration,
        roster: &Roster,
        rng: &mut Pcg64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (seq, probe) in &mut self.under_way {
            if probe.helped || now < probe.sent + DIRECT {
                continue;
            }
            probe.helped = true;
            let helpers = roster.sample(HELPERS, rng).into_iter();
            let helpers = helpers.filter(|helper| *helper != probe.peers);
            let (seq, target) = (*seq, probe.peers);
            actions.extend(helpers.map(|helper| Action::PingFor { helper, target, seq }));
        }
        actions
    }

    fn begin(
        &mut self,
        now: time::Duration,
        roster: &mut Roster,
        rng: &mut Pcg64,
    ) -> Option<Action> {
        if now < self.next {
            return None;
        }
        self.next = (self.next + PERIOD).max(now + PERIOD / 2);
        let member = roster.next_probe(rng)?;
        let host = Some(member.host.clone());
        let probe = Probe { host, peers: member.peers, sent: now, helped: false, relay: None };
        let seq = self.add(probe);
        Some(Action::Ping { member, seq })
    }
}
