//! One backend server as an entry sees it.

use std::time;

use crate::{
    name,
    policy::{cache, gate},
    wire,
};

/// Age at which a load report says little.
pub const STALE_REPORT_AGE: time::Duration = time::Duration::from_millis(250);

/// Longest time until a full server is asked again while requests wait. Short,
/// so that an entry with few answers to learn from gets its share of free slots.
const FULL_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Age at which a report of a full server is forgotten.
const FULL_REPORT_TTL: time::Duration = time::Duration::from_secs(2);
/// Silence after which the pace counts no more, so that a server thought slow is tried again.
const TOKEN_LATENCY_TTL: time::Duration = time::Duration::from_secs(10);
/// Weight of a new sample of the pace.
const TOKEN_LATENCY_SMOOTHING: f64 = 0.2;

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
    pub ejected_until: Option<time::Duration>,
    /// Seed of its rendezvous hash.
    pub hash: u64,
    /// Whether it is one of the servers that this entry keeps in touch with.
    pub in_subset: bool,
    /// Requests of this entry in flight there.
    pub own_in_flight: u32,
    /// What its prefix cache is thought to hold.
    pub cache: cache::PrefixCache,
    /// Seconds a token of cost took there lately; `None` since its start.
    pub seconds_per_token: Option<f64>,
    next_probe_at: time::Duration,
    reported: Option<wire::Load>,
    reported_at: time::Duration,
    requests_since_report: i64,
    tokens_since_report: i64,
}

impl Candidate {
    /// A server of which nothing was heard yet: taken for cold.
    pub fn new(server: &name::Server, zone: &name::Zone) -> Self {
        Self {
            server: server.clone(),
            zone: zone.clone(),
            allowed: true,
            ejected_until: None,
            hash: xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes()),
            in_subset: true,
            own_in_flight: 0,
            cache: cache::PrefixCache::default(),
            seconds_per_token: None,
            next_probe_at: time::Duration::ZERO,
            reported: None,
            reported_at: time::Duration::ZERO,
            requests_since_report: 0,
            tokens_since_report: 0,
        }
    }

    /// Takes a load report that rode on a reply.
    pub fn record_load(&mut self, load: &wire::Load, now: time::Duration) {
        if self.reported.is_some_and(|old| old.incarnation != load.incarnation) {
            self.cache.clear();
            self.seconds_per_token = None;
        }
        self.next_probe_at = now + FULL_PROBE_INTERVAL;
        self.reported = Some(*load);
        self.reported_at = now;
        self.requests_since_report = 0;
        self.tokens_since_report = 0;
    }

    /// Takes it for as unheard if it had no room by an old report: nothing else
    /// would bring a newer one while other servers have room.
    pub fn expire_full_report(&mut self, now: time::Duration) {
        let outdated = self.report_age(now).is_some_and(|age| age >= FULL_REPORT_TTL);
        match &mut self.reported {
            Some(load) if outdated && self.own_in_flight == 0 && load.in_flight >= load.limit => {
                load.in_flight = 0;
                load.limit = gate::COLD_LIMIT;
                load.warm = false;
            }
            _ => {}
        }
    }

    /// Notes that it refused and named a time to come back.
    pub fn record_refusal(
        &mut self,
        load: &wire::Load,
        retry_after: time::Duration,
        now: time::Duration,
    ) {
        self.record_load(load, now);
        self.next_probe_at = now + retry_after.min(FULL_PROBE_INTERVAL);
    }

    /// Notes that a request of about `tokens` was answered whole in `took`.
    pub fn record_completion(&mut self, tokens: u64, took: time::Duration) {
        let sample = took.as_secs_f64() / tokens.max(1) as f64;
        self.seconds_per_token = Some(
            self.seconds_per_token
                .map_or(sample, |old| old + TOKEN_LATENCY_SMOOTHING * (sample - old)),
        );
    }

    /// Notes that a request of about `tokens` was given up `after` so long: it is
    /// at least as slow as that.
    pub fn record_abandoned(&mut self, tokens: u64, elapsed: time::Duration) {
        let least = elapsed.as_secs_f64() / tokens.max(1) as f64;
        self.seconds_per_token =
            Some(self.seconds_per_token.map_or(least, |known| known.max(least)));
    }

    /// Seconds a token of cost takes there; `None` if that is not known or long ago.
    pub fn recent_seconds_per_token(&self, now: time::Duration) -> Option<f64> {
        let recent = self.report_age(now).is_none_or(|age| age < TOKEN_LATENCY_TTL);
        self.seconds_per_token.filter(|_| recent)
    }

    /// Whether its last report is so old that it may be asked although it seemed full.
    pub fn may_probe(&self, now: time::Duration) -> bool {
        now >= self.next_probe_at && self.requests_since_report <= 0
    }

    /// Notes a request of about `tokens` sent there.
    pub fn record_sent(&mut self, tokens: u64) {
        self.own_in_flight += 1;
        self.requests_since_report += 1;
        self.tokens_since_report += tokens as i64;
    }

    /// Notes that a request of about `tokens` sent there has ended.
    pub fn record_ended(&mut self, tokens: u64) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.requests_since_report -= 1;
        self.tokens_since_report -= tokens as i64;
    }

    /// Requests thought to be in flight there now.
    pub fn in_flight(&self) -> u32 {
        let in_flight = self.reported.map_or(0, |load| load.in_flight);
        let estimate = (i64::from(in_flight) + self.requests_since_report).max(0) as u32;
        estimate.max(self.own_in_flight)
    }

    /// Tokens thought to be in flight there now.
    pub fn tokens(&self) -> u64 {
        let tokens = self.reported.map_or(0, |load| load.tokens);
        (tokens as i64 + self.tokens_since_report).max(0) as u64
    }

    /// Requests it takes at most, as last heard.
    pub fn limit(&self) -> u32 {
        self.reported.map_or(gate::COLD_LIMIT, |load| load.limit)
    }

    /// Whether it is past its cold start, as last heard.
    pub fn is_warm(&self) -> bool {
        self.reported.is_some_and(|load| load.warm)
    }

    /// Whether it said that it is leaving or out.
    pub fn is_leaving(&self) -> bool {
        self.reported.is_some_and(|load| load.leaving)
    }

    /// Age of the last report; `None` if there was none.
    pub fn report_age(&self, now: time::Duration) -> Option<time::Duration> {
        self.reported.map(|_| now.saturating_sub(self.reported_at))
    }

    /// Last report; `None` if there was none.
    pub fn load(&self) -> Option<&wire::Load> {
        self.reported.as_ref()
    }

    /// Whether it may be given new work at all.
    pub fn is_eligible(&self, now: time::Duration) -> bool {
        let ejected = self.ejected_until.is_some_and(|until| until > now);
        let leaving =
            self.is_leaving() && self.report_age(now).is_some_and(|age| age < STALE_REPORT_AGE);
        self.allowed && !ejected && !leaving
    }

    /// Whether it is thought to have a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight() < self.limit()
    }

    /// Share of its limit in use once one more request is there.
    pub fn projected_utilization(&self) -> f64 {
        f64::from(self.in_flight() + 1) / f64::from(self.limit().max(1))
    }
}
