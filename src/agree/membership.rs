//! Membership: the platform's host list, which lags, corrected by what the processes observe.

use std::{
    collections::{BTreeMap, VecDeque},
    net, time,
};

use rand::RngExt;
use rand_pcg::Pcg64;
use xxhash_rust::xxh3;

use crate::{
    cloud, name,
    wire::gossip::{self, Health, Member},
};

/// Time after which a suspect is declared dead.
const SUSPICION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time after which a dead process that is not in the host list is removed.
const DEAD_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Number of messages in which one process includes an update, per doubling of the site's size.
const REPEATS_PER_DOUBLING: u32 = 3;

/// Probability with which a dead member is probed when it is next in the round, so that the end of
/// a partition is noticed.
const DEAD_PROBE_PROBABILITY: f64 = 0.1;

/// What this process knows of one member.
#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    changed_at: time::Duration,
    listed: Option<cloud::HostState>,
    last_report: Option<LastReport>,
}

/// Last report of a process about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastReport {
    /// Time at which the report was received.
    pub at: time::Duration,
    /// Configuration version of the process.
    pub version: u64,
}

/// All processes that this one knows, including itself.
#[derive(Clone, Debug)]
pub struct Membership {
    me: name::Host,
    known: BTreeMap<name::Host, KnownMember>,
    buckets: Vec<u32>,
    /// Hosts whose latest state must still be sent, with the number of messages left for each.
    updates: VecDeque<(name::Host, u32)>,
    /// Hosts still to be probed in this round.
    probe_round: Vec<name::Host>,
    changed: bool,
    list_received: bool,
}

impl Membership {
    /// Creates a membership that contains only `me`.
    pub fn new(me: Member, now: time::Duration) -> Self {
        let mut membership = Self {
            me: me.host.clone(),
            known: BTreeMap::new(),
            buckets: vec![0; gossip::MEMBERSHIP_BUCKETS],
            updates: VecDeque::new(),
            probe_round: Vec::new(),
            changed: true,
            list_received: false,
        };
        membership.insert(now, me);
        membership
    }

    /// This process.
    pub fn me(&self) -> &Member {
        &self.known[&self.me].member
    }

    /// Announces that this process is leaving.
    pub fn leave(&mut self, now: time::Duration) {
        let mut me = self.me().clone();
        me.leaving = true;
        me.incarnation += 1;
        self.insert(now, me);
    }

    /// Number of known processes, including this one.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether only this process is known.
    pub fn is_empty(&self) -> bool {
        self.len() <= 1
    }

    /// All members; one that the platform lists as leaving is marked as leaving.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.known.values().map(|known| {
            let mut member = known.member.clone();
            member.leaving |= known.listed == Some(cloud::HostState::Leaving);
            member
        })
    }

    /// Other members that are not dead, with the last report of each.
    pub fn others(&self) -> impl Iterator<Item = (&Member, Option<LastReport>)> {
        self.known
            .values()
            .filter(|known| known.member.host != self.me && known.member.health != Health::Dead)
            .map(|known| (&known.member, known.last_report))
    }

    /// Returns the member on `host`.
    pub fn get(&self, host: &name::Host) -> Option<&Member> {
        self.known.get(host).map(|known| &known.member)
    }

    /// Whether the platform's host list has been received since the start.
    pub fn has_host_list(&self) -> bool {
        self.list_received
    }

    /// Returns whether members changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Merges the platform's host list: adds unknown hosts as members and replaces the listed
    /// states.
    pub fn merge_host_list(&mut self, now: time::Duration, list: &[cloud::ListedHost]) {
        for known in self.known.values_mut() {
            known.listed = None;
        }
        for listed in list {
            if !self.known.contains_key(&listed.host) {
                self.insert(now, listed_member(listed));
            }
            let known = self.known.get_mut(&listed.host).expect("just set");
            known.listed = Some(listed.state);
        }
        self.list_received = true;
        self.changed = true;
    }

    /// Merges what the sender of a message reports about itself. If it was believed suspect or
    /// dead, returns that belief, which must be sent to it so that it can refute it.
    pub fn merge_sender(
        &mut self,
        now: time::Duration,
        member: &Member,
        version: u64,
    ) -> Option<Member> {
        if member.host == self.me {
            return None;
        }
        self.merge_update(now, member);
        let known = self.known.get_mut(&member.host).expect("just merged");
        known.last_report = Some(LastReport { at: now, version });
        let was_doubted =
            known.member.incarnation == member.incarnation && known.member.health != Health::Alive;
        let believed = was_doubted.then(|| known.member.clone())?;
        self.insert(now, Member { health: Health::Alive, ..believed.clone() });
        Some(believed)
    }

    /// Merges an update about `member` from any process; `true` if it was newer than what was
    /// known.
    pub fn merge_update(&mut self, now: time::Duration, member: &Member) -> bool {
        if member.host == self.me {
            return self.refute(now, member);
        }
        let is_newer = match self.known.get(&member.host) {
            Some(known) => precedence(member) > precedence(&known.member),
            None => member.health != Health::Dead,
        };
        if is_newer {
            self.insert(now, member.clone());
        }
        is_newer
    }

    /// Refutes an update that calls this process unhealthy or stems from its previous run, by
    /// taking an incarnation above that of the update; `true` if it did.
    fn refute(&mut self, now: time::Duration, claimed: &Member) -> bool {
        let me = self.me();
        let is_wrong = claimed.health != Health::Alive || claimed.boot != me.boot;
        if !is_wrong || claimed.incarnation < me.incarnation {
            return false;
        }
        let me = Member { incarnation: claimed.incarnation + 1, ..me.clone() };
        self.insert(now, me);
        true
    }

    /// Marks `host` as suspect, since a probe of it was not answered.
    pub fn mark_suspect(&mut self, now: time::Duration, host: &name::Host) {
        match self.get(host) {
            Some(member) if member.health == Health::Alive && *host != self.me => {
                let member = Member { health: Health::Suspect, ..member.clone() };
                self.insert(now, member);
            }
            _ => {}
        }
    }

    /// Declares suspects dead after `SUSPICION_TIMEOUT` and removes members that have been dead for
    /// `DEAD_RETENTION` and are not in the host list.
    pub fn expire(&mut self, now: time::Duration) {
        let dead: Vec<Member> = self
            .known
            .values()
            .filter(|known| known.member.health == Health::Suspect)
            .filter(|known| now >= known.changed_at + SUSPICION_TIMEOUT)
            .map(|known| Member { health: Health::Dead, ..known.member.clone() })
            .collect();
        dead.into_iter().for_each(|member| self.insert(now, member));
        self.known.retain(|_, known| {
            known.member.health != Health::Dead
                || known.listed.is_some()
                || now < known.changed_at + DEAD_RETENTION
        });
    }

    /// Returns the next process to probe: each one once per round, in a new random order each
    /// round.
    pub fn next_probe(&mut self, rng: &mut Pcg64) -> Option<Member> {
        for _ in 0..self.known.len().min(64) {
            if self.probe_round.is_empty() {
                self.probe_round = self.known.keys().cloned().collect();
                shuffle(&mut self.probe_round, rng);
            }
            let host = self.probe_round.pop()?;
            match self.get(&host) {
                Some(_) if host == self.me => {}
                Some(member) if member.health != Health::Dead => return Some(member.clone()),
                Some(member) if rng.random_bool(DEAD_PROBE_PROBABILITY) => {
                    return Some(member.clone());
                }
                _ => {}
            }
        }
        None
    }

    /// Returns the addresses of up to `count` random other members that are not dead.
    pub fn sample(&self, count: usize, rng: &mut Pcg64) -> Vec<net::SocketAddr> {
        let mut peers: Vec<_> = self.others().map(|(member, _)| member.peers).collect();
        let count = count.min(peers.len());
        for i in 0..count {
            let j = rng.random_range(i..peers.len());
            peers.swap(i, j);
        }
        peers.truncate(count);
        peers
    }

    /// Takes the updates to include in the next message, newest first.
    pub fn take_updates(&mut self) -> Vec<Member> {
        let mut updates = Vec::new();
        for _ in 0..self.updates.len().min(gossip::MAX_UPDATES) {
            let Some((host, repeats_left)) = self.updates.pop_front() else { break };
            let Some(member) = self.get(&host).cloned() else { continue };
            updates.push(member);
            if repeats_left > 1 {
                self.updates.push_back((host, repeats_left - 1));
            }
        }
        updates
    }

    /// Checksum of the members that are not believed dead.
    pub fn checksum(&self) -> u64 {
        let bytes: Vec<u8> = self.buckets.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        xxh3::xxh3_64(&bytes)
    }

    /// Checksums of the buckets.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Returns the buckets whose checksum differs from `theirs`.
    pub fn differing_buckets(&self, theirs: &[u32]) -> Vec<u8> {
        let pairs = self.buckets.iter().zip(theirs).enumerate();
        pairs.filter(|(_, (ours, theirs))| ours != theirs).map(|(i, _)| i as u8).collect()
    }

    /// Returns the members of the given buckets, including the dead.
    pub fn members_in(&self, buckets: &[u8]) -> Vec<Member> {
        let all = self.known.values().map(|known| &known.member);
        all.filter(|member| buckets.contains(&bucket_of(&member.host))).cloned().collect()
    }

    fn insert(&mut self, now: time::Duration, member: Member) {
        let host = member.host.clone();
        let bucket = usize::from(bucket_of(&host));
        let old_checksum = self.known.get(&host).map_or(0, |known| member_checksum(&known.member));
        self.buckets[bucket] ^= old_checksum ^ member_checksum(&member);
        match self.known.get_mut(&host) {
            Some(known) => {
                known.changed_at = now;
                known.member = member;
            }
            None => {
                let known =
                    KnownMember { member, changed_at: now, listed: None, last_report: None };
                self.known.insert(host.clone(), known);
            }
        }
        let repeats = REPEATS_PER_DOUBLING * (usize::BITS - self.known.len().leading_zeros());
        self.updates.retain(|(other, _)| *other != host);
        self.updates.push_front((host, repeats));
        self.changed = true;
    }
}

fn listed_member(listed: &cloud::ListedHost) -> Member {
    Member {
        host: listed.host.clone(),
        zone: listed.zone.clone(),
        peers: listed.peers,
        server: listed.server.clone(),
        incarnation: 0,
        boot: 0,
        leaving: false,
        health: Health::Alive,
    }
}

fn precedence(member: &Member) -> (u64, Health) {
    (member.incarnation, member.health)
}

fn bucket_of(host: &name::Host) -> u8 {
    (xxh3::xxh3_64(host.as_str().as_bytes()) % gossip::MEMBERSHIP_BUCKETS as u64) as u8
}

fn member_checksum(member: &Member) -> u32 {
    if member.health == Health::Dead {
        return 0;
    }
    let seed = member.incarnation ^ u64::from(member.leaving) << 63;
    xxh3::xxh3_64_with_seed(member.host.as_str().as_bytes(), seed) as u32
}

fn shuffle<T>(items: &mut [T], rng: &mut Pcg64) {
    for i in (1..items.len()).rev() {
        items.swap(i, rng.random_range(0..=i));
    }
}
