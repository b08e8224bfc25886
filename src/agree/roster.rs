//! Who is there: the platform's lagging list, corrected by what processes see.

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

/// Time after which a suspect counts as dead.
const SUSPICION: time::Duration = time::Duration::from_secs(5);

/// Time after which a dead process that is not listed is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(600);

/// Times that one process passes on a piece of news, per doubling of the site.
const REPEATS: u32 = 3;

/// Share of probes that go to the dead, so that a healed cut is noticed.
const DEAD_PROBES: f64 = 0.1;

/// What one process knows of another.
#[derive(Clone, Debug)]
struct Known {
    member: Member,
    since: time::Duration,
    listed: Option<cloud::HostState>,
    heard: Option<Heard>,
}

/// What a process last said of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heard {
    /// When.
    pub at: time::Duration,
    /// Its configuration version.
    pub version: u64,
}

/// All processes that this one knows.
#[derive(Clone, Debug)]
pub struct Roster {
    me: name::Host,
    known: BTreeMap<name::Host, Known>,
    buckets: Vec<u32>,
    news: VecDeque<(name::Host, u32)>,
    round: Vec<name::Host>,
    changed: bool,
    listed: bool,
}

impl Roster {
    /// Starts with `me` alone.
    pub fn new(me: Member, now: time::Duration) -> Self {
        let mut roster = Self {
            me: me.host.clone(),
            known: BTreeMap::new(),
            buckets: vec![0; gossip::MEMBERSHIP_BUCKETS],
            news: VecDeque::new(),
            round: Vec::new(),
            changed: true,
            listed: false,
        };
        roster.set(now, me);
        roster
    }

    /// This process.
    pub fn me(&self) -> &Member {
        &self.known[&self.me].member
    }

    /// Says to all that this process is leaving.
    pub fn leave(&mut self, now: time::Duration) {
        let mut me = self.me().clone();
        me.leaving = true;
        me.incarnation += 1;
        self.set(now, me);
    }

    /// Processes known, with this one.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether only this process is known.
    pub fn is_empty(&self) -> bool {
        self.len() <= 1
    }

    /// All members, with the platform's word on leaving.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.known.values().map(|known| {
            let mut member = known.member.clone();
            member.leaving |= known.listed == Some(cloud::HostState::Leaving);
            member
        })
    }

    /// Others that are not dead, with what each last said.
    pub fn others(&self) -> impl Iterator<Item = (&Member, Option<Heard>)> {
        self.known
            .values()
            .filter(|known| known.member.host != self.me && known.member.health != Health::Dead)
            .map(|known| (&known.member, known.heard))
    }

    /// The member of that name.
    pub fn get(&self, host: &name::Host) -> Option<&Member> {
        self.known.get(host).map(|known| &known.member)
    }

    /// Whether the platform's list was ever taken.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Whether members changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes the platform's list.
    pub fn list(&mut self, now: time::Duration, list: &[cloud::ListedHost]) {
        for known in self.known.values_mut() {
            known.listed = None;
        }
        for listed in list {
            if !self.known.contains_key(&listed.host) {
                self.set(now, unseen(listed));
            }
            let known = self.known.get_mut(&listed.host).expect("just set");
            known.listed = Some(listed.state);
        }
        self.listed = true;
        self.changed = true;
    }

    /// Takes what `member` said of itself in a message; gives what was wrongly
    /// believed of it, which it must hear to refute it.
    pub fn hear(&mut self, now: time::Duration, member: &Member, version: u64) -> Option<Member> {
        if member.host == self.me {
            return None;
        }
        self.merge(now, member);
        let known = self.known.get_mut(&member.host).expect("just merged");
        known.heard = Some(Heard { at: now, version });
        let revived =
            known.member.incarnation == member.incarnation && known.member.health != Health::Alive;
        let believed = revived.then(|| known.member.clone())?;
        self.set(now, Member { health: Health::Alive, ..believed.clone() });
        Some(believed)
    }

    /// Takes what somebody said of `member`; `true` if it was news.
    pub fn merge(&mut self, now: time::Duration, member: &Member) -> bool {
        if member.host == self.me {
            return self.refute(now, member);
        }
        let newer = match self.known.get(&member.host) {
            Some(known) => precedence(member) > precedence(&known.member),
            None => member.health != Health::Dead,
        };
        if newer {
            self.set(now, member.clone());
        }
        newer
    }

    fn refute(&mut self, now: time::Duration, said: &Member) -> bool {
        let me = self.me();
        let wrong = said.health != Health::Alive || said.boot != me.boot;
        if !wrong || said.incarnation < me.incarnation {
            return false;
        }
        let me = Member { incarnation: said.incarnation + 1, ..me.clone() };
        self.set(now, me);
        true
    }

    /// A probe of `host` went unanswered.
    pub fn suspect(&mut self, now: time::Duration, host: &name::Host) {
        match self.get(host) {
            Some(member) if member.health == Health::Alive && *host != self.me => {
                let member = Member { health: Health::Suspect, ..member.clone() };
                self.set(now, member);
            }
            _ => {}
        }
    }

    /// Counts old suspects as dead and forgets the long dead.
    pub fn expire(&mut self, now: time::Duration) {
        let dead: Vec<Member> = self
            .known
            .values()
            .filter(|known| known.member.health == Health::Suspect)
            .filter(|known| now >= known.since + SUSPICION)
            .map(|known| Member { health: Health::Dead, ..known.member.clone() })
            .collect();
        dead.into_iter().for_each(|member| self.set(now, member));
        self.known.retain(|_, known| {
            known.member.health != Health::Dead
                || known.listed.is_some()
                || now < known.since + RETENTION
        });
    }

    /// The next process to probe: each in turn, in an order drawn anew each round.
    pub fn next_probe(&mut self, rng: &mut Pcg64) -> Option<Member> {
        for _ in 0..self.known.len().min(64) {
            if self.round.is_empty() {
                self.round = self.known.keys().cloned().collect();
                shuffle(&mut self.round, rng);
            }
            let host = self.round.pop()?;
            match self.get(&host) {
                Some(_) if host == self.me => {}
                Some(member) if member.health != Health::Dead => return Some(member.clone()),
                Some(member) if rng.random_bool(DEAD_PROBES) => return Some(member.clone()),
                _ => {}
            }
        }
        None
    }

    /// Up to `count` others, at random, that are not dead.
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

    /// News to put on the next message, freshest first.
    pub fn take_news(&mut self) -> Vec<Member> {
        let mut news = Vec::new();
        for _ in 0..self.news.len().min(gossip::MAX_UPDATES) {
            let Some((host, left)) = self.news.pop_front() else { break };
            let Some(member) = self.get(&host).cloned() else { continue };
            news.push(member);
            if left > 1 {
                self.news.push_back((host, left - 1));
            }
        }
        news
    }

    /// Checksum of the members believed in service.
    pub fn checksum(&self) -> u64 {
        let bytes: Vec<u8> = self.buckets.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        xxh3::xxh3_64(&bytes)
    }

    /// Checksums of the parts.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Parts whose checksum differs from `theirs`.
    pub fn differing(&self, theirs: &[u32]) -> Vec<u8> {
        let pairs = self.buckets.iter().zip(theirs).enumerate();
        pairs.filter(|(_, (ours, theirs))| ours != theirs).map(|(i, _)| i as u8).collect()
    }

    /// Members of the given parts, the dead too.
    pub fn members_of(&self, buckets: &[u8]) -> Vec<Member> {
        let all = self.known.values().map(|known| &known.member);
        all.filter(|member| buckets.contains(&bucket(&member.host))).cloned().collect()
    }

    fn set(&mut self, now: time::Duration, member: Member) {
        let host = member.host.clone();
        let slot = usize::from(bucket(&host));
        let old = self.known.get(&host).map_or(0, |known| sum(&known.member));
        self.buckets[slot] ^= old ^ sum(&member);
        match self.known.get_mut(&host) {
            Some(known) => {
                known.since = now;
                known.member = member;
            }
            None => {
                let known = Known { member, since: now, listed: None, heard: None };
                self.known.insert(host.clone(), known);
            }
        }
        let repeats = REPEATS * (usize::BITS - self.known.len().leading_zeros());
        self.news.retain(|(other, _)| *other != host);
        self.news.push_front((host, repeats));
        self.changed = true;
    }
}

fn unseen(listed: &cloud::ListedHost) -> Member {
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

fn bucket(host: &name::Host) -> u8 {
    (xxh3::xxh3_64(host.as_str().as_bytes()) % gossip::MEMBERSHIP_BUCKETS as u64) as u8
}

fn sum(member: &Member) -> u32 {
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
