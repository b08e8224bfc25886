//! One backend server as an entry sees it.

use std::time;

use crate::{
    name,
    policy::{cache, gate},
    wire,
};

/// Age at which a load report says little.
pub const STALE: time::Duration = time::Duration::from_millis(250);

/// Longest time until a full server is asked again while requests wait. Short,
/// so that an entry with few answers to learn from gets its share of free slots.
const ASK_AGAIN: time::Duration = time::Duration::from_millis(50);
/// Age at which a report of a full server is forgotten.
const FULL_KEPT: time::Duration = time::Duration::from_secs(2);
/// Silence after which the pace counts no more, so that a server thought slow is tried again.
const PACE_KEPT: time::Duration = time::Duration::from_secs(10);
/// Weight of a new sample of the pace.
const PACE_ALPHA: f64 = 0.2;

/// One backend server: last load report, corrected by what this entry did since.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its name.
    pub server: name::Server,
    /// Availability zone.
    pub zone: name::Zone,
    /// Whether operators and the platform let it have new work.
    pub allowed: bool,
    /// Ejected as failing until then.
    pub ejected: Option<time::Duration>,
    /// Seed of its rendezvous hash.
    pub seed: u64,
    /// Whether it is one of the servers that this entry keeps in touch with.
    pub member: bool,
    /// Requests of this entry in flight there.
    pub own: u32,
    /// What its prefix cache is thought to hold.
    pub cache: cache::Cache,
    /// Seconds a token of cost took there lately; `None` since its start.
    pub pace: Option<f64>,
    asked_again: time::Duration,
    load: Option<wire::Load>,
    heard: time::Duration,
    since: i64,
    tokens_since: i64,
}

impl Candidate {
    /// A server of which nothing was heard yet: taken for cold.
    pub fn new(server: &name::Server, zone: &name::Zone) -> Self {
        Self {
            server: server.clone(),
            zone: zone.clone(),
            allowed: true,
            ejected: None,
            seed: xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes()),
            member: true,
            own: 0,
            cache: cache::Cache::default(),
            pace: None,
            asked_again: time::Duration::ZERO,
            load: None,
            heard: time::Duration::ZERO,
            since: 0,
            tokens_since: 0,
        }
    }

    /// Takes a load report that rode on a reply.
    pub fn report(&mut self, load: &wire::Load, now: time::Duration) {
        if self.load.is_some_and(|old| old.incarnation != load.incarnation) {
            self.cache.clear();
            self.pace = None;
        }
        self.asked_again = now + ASK_AGAIN;
        self.load = Some(*load);
        self.heard = now;
        self.since = 0;
        self.tokens_since = 0;
    }

    /// Takes it for as unheard if it had no room by an old report: nothing else
    /// would bring a newer one while other servers have room.
    pub fn refresh(&mut self, now: time::Duration) {
        let old = self.age(now).is_some_and(|age| age >= FULL_KEPT);
        match &mut self.load {
            Some(load) if old && self.own == 0 && load.in_flight >= load.limit => {
                load.in_flight = 0;
                load.limit = gate::COLD_LIMIT;
                load.warm = false;
            }
            _ => {}
        }
    }

    /// Notes that it refused and named a time to come back.
    pub fn refused(&mut self, load: &wire::Load, retry_after: time::Duration, now: time::Duration) {
        self.report(load, now);
        self.asked_again = now + retry_after.min(ASK_AGAIN);
    }

    /// Notes that a request of about `tokens` was answered whole in `took`.
    pub fn took(&mut self, tokens: u64, took: time::Duration) {
        let sample = took.as_secs_f64() / tokens.max(1) as f64;
        self.pace = Some(self.pace.map_or(sample, |old| old + PACE_ALPHA * (sample - old)));
    }

    /// Notes that a request of about `tokens` was given up `after` so long: it is
    /// at least as slow as that.
    pub fn gave_up(&mut self, tokens: u64, after: time::Duration) {
        let least = after.as_secs_f64() / tokens.max(1) as f64;
        self.pace = Some(self.pace.map_or(least, |pace| pace.max(least)));
    }

    /// Seconds a token of cost takes there; `None` if that is not known or long ago.
    pub fn known_pace(&self, now: time::Duration) -> Option<f64> {
        let recent = self.age(now).is_none_or(|age| age < PACE_KEPT);
        self.pace.filter(|_| recent)
    }

    /// Whether its last report is so old that it may be asked although it seemed full.
    pub fn worth_asking(&self, now: time::Duration) -> bool {
        now >= self.asked_again && self.since <= 0
    }

    /// Notes a request of about `tokens` sent there.
    pub fn sent(&mut self, tokens: u64) {
        self.own += 1;
        self.since += 1;
        self.tokens_since += tokens as i64;
    }

    /// Notes that a request of about `tokens` sent there has ended.
    pub fn ended(&mut self, tokens: u64) {
        self.own = self.own.saturating_sub(1);
        self.since -= 1;
        self.tokens_since -= tokens as i64;
    }

    /// Requests thought to be in flight there now.
    pub fn in_flight(&self) -> u32 {
        let reported = self.load.map_or(0, |load| load.in_flight);
        let estimate = (i64::from(reported) + self.since).max(0) as u32;
        estimate.max(self.own)
    }

    /// Tokens thought to be in flight there now.
    pub fn tokens(&self) -> u64 {
        let reported = self.load.map_or(0, |load| load.tokens);
        (reported as i64 + self.tokens_since).max(0) as u64
    }

    /// Requests it takes at most, as last heard.
    pub fn limit(&self) -> u32 {
        self.load.map_or(gate::COLD_LIMIT, |load| load.limit)
    }

    /// Whether it is past its cold start, as last heard.
    pub fn warm(&self) -> bool {
        self.load.is_some_and(|load| load.warm)
    }

    /// Whether it said that it is leaving or out.
    pub fn leaving(&self) -> bool {
        self.load.is_some_and(|load| load.leaving)
    }

    /// Age of the last report; `None` if there was none.
    pub fn age(&self, now: time::Duration) -> Option<time::Duration> {
        self.load.map(|_| now.saturating_sub(self.heard))
    }

    /// Last report; `None` if there was none.
    pub fn load(&self) -> Option<&wire::Load> {
        self.load.as_ref()
    }

    /// Whether it may be given new work at all.
    pub fn eligible(&self, now: time::Duration) -> bool {
        let ejected = self.ejected.is_some_and(|until| until > now);
        let leaving = self.leaving() && self.age(now).is_some_and(|age| age < STALE);
        self.allowed && !ejected && !leaving
    }

    /// Whether it is thought to have a free slot.
    pub fn free(&self) -> bool {
        self.in_flight() < self.limit()
    }

    /// Share of its limit in use once one more request is there.
    pub fn fill(&self) -> f64 {
        f64::from(self.in_flight() + 1) / f64::from(self.limit().max(1))
    }
}
