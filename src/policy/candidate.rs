//! State of one backend server as known to an entry.

use std::time;

use crate::{
    name,
    policy::{cache, gate},
    wire,
};

/// Age from which a report no longer proves that a server is leaving.
pub const STALE_REPORT_AGE: time::Duration = time::Duration::from_millis(250);

/// Longest delay until a full server is probed while requests wait. It is short,
/// so that an entry that receives few load reports still gets its share of free slots.
const FULL_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Age at which a report that a server is full is discarded.
const FULL_REPORT_TTL: time::Duration = time::Duration::from_secs(2);
/// Age of the last report at which the measured time per token is ignored, so that a server
/// that was slow is tried again.
const TOKEN_LATENCY_TTL: time::Duration = time::Duration::from_secs(10);
/// Weight of a new sample in the moving average of the time per token.
const TOKEN_LATENCY_SMOOTHING: f64 = 0.2;

/// Backend server with its last load report, corrected by the requests that this entry has
/// sent and ended since.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the server.
    pub server: name::Server,
    /// Availability zone of the server.
    pub zone: name::Zone,
    /// Whether operators and the platform allow new requests to the server.
    pub allowed: bool,
    /// Time until which the server is ejected because of failures.
    pub ejected_until: Option<time::Duration>,
    /// Hash of the server's name, for rendezvous hashing.
    pub hash: u64,
    /// Whether the server is in this entry's subset, see [`subset`](crate::policy::subset).
    pub in_subset: bool,
    /// Requests of this entry in flight at the server.
    pub own_in_flight: u32,
    /// Estimate of the server's prefix cache.
    pub cache: cache::PrefixCache,
    /// Moving average of the time per token of cost at the server, in seconds; `None` if the
    /// server has ended no request since its last restart.
    pub seconds_per_token: Option<f64>,
    next_probe_at: time::Duration,
    reported: Option<wire::Load>,
    reported_at: time::Duration,
    requests_since_report: i64,
    tokens_since_report: i64,
}

impl Candidate {
    /// Creates the state of a server without a load report, which counts as cold.
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

    /// Records a load report from a reply. A new incarnation resets the cache estimate and the
    /// measured time per token.
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

    /// Treats the server as cold and idle if an outdated report says that it is full.
    ///
    /// Reports arrive only on replies, so an entry that sends the server nothing
    /// while other servers have free slots would never learn of its free slots.
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

    /// Records a refusal with its load report and the retry time that the sidecar sent.
    pub fn record_refusal(
        &mut self,
        load: &wire::Load,
        retry_after: time::Duration,
        now: time::Duration,
    ) {
        self.record_load(load, now);
        self.next_probe_at = now + retry_after.min(FULL_PROBE_INTERVAL);
    }

    /// Records that the server completed a request of about `tokens` in `elapsed`.
    pub fn record_completion(&mut self, tokens: u64, elapsed: time::Duration) {
        let sample = elapsed.as_secs_f64() / tokens.max(1) as f64;
        self.seconds_per_token = Some(
            self.seconds_per_token
                .map_or(sample, |old| old + TOKEN_LATENCY_SMOOTHING * (sample - old)),
        );
    }

    /// Records that a request of about `tokens` was abandoned after `elapsed`, which is a lower
    /// bound of the time that the server needs for it.
    pub fn record_abandoned(&mut self, tokens: u64, elapsed: time::Duration) {
        let lower_bound = elapsed.as_secs_f64() / tokens.max(1) as f64;
        self.seconds_per_token =
            Some(self.seconds_per_token.map_or(lower_bound, |old| old.max(lower_bound)));
    }

    /// Returns the time per token of cost at the server, in seconds; `None` if it is unknown or
    /// outdated.
    pub fn recent_seconds_per_token(&self, now: time::Duration) -> Option<f64> {
        let recent = self.report_age(now).is_none_or(|age| age < TOKEN_LATENCY_TTL);
        self.seconds_per_token.filter(|_| recent)
    }

    /// Whether the server may be sent a request although its last report says that it is full.
    /// At most one such request is in flight per report.
    pub fn may_probe(&self, now: time::Duration) -> bool {
        now >= self.next_probe_at && self.requests_since_report <= 0
    }

    /// Records a request of about `tokens` sent to the server.
    pub fn record_sent(&mut self, tokens: u64) {
        self.own_in_flight += 1;
        self.requests_since_report += 1;
        self.tokens_since_report += tokens as i64;
    }

    /// Records the end of a request of about `tokens`.
    pub fn record_ended(&mut self, tokens: u64) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.requests_since_report -= 1;
        self.tokens_since_report -= tokens as i64;
    }

    /// Returns the estimated number of requests in flight at the server, of all entries.
    pub fn in_flight(&self) -> u32 {
        let in_flight = self.reported.map_or(0, |load| load.in_flight);
        let estimate = (i64::from(in_flight) + self.requests_since_report).max(0) as u32;
        estimate.max(self.own_in_flight)
    }

    /// Returns the estimated number of tokens in flight at the server, of all entries.
    pub fn tokens(&self) -> u64 {
        let tokens = self.reported.map_or(0, |load| load.tokens);
        (tokens as i64 + self.tokens_since_report).max(0) as u64
    }

    /// Returns the last reported limit of requests in flight.
    pub fn limit(&self) -> u32 {
        self.reported.map_or(gate::COLD_LIMIT, |load| load.limit)
    }

    /// Whether the last report says that the server is warm.
    pub fn is_warm(&self) -> bool {
        self.reported.is_some_and(|load| load.warm)
    }

    /// Whether the last report says that the server is leaving or taken out.
    pub fn is_leaving(&self) -> bool {
        self.reported.is_some_and(|load| load.leaving)
    }

    /// Returns the age of the last report; `None` if there is no report.
    pub fn report_age(&self, now: time::Duration) -> Option<time::Duration> {
        self.reported.map(|_| now.saturating_sub(self.reported_at))
    }

    /// Returns the last report; `None` if there is none.
    pub fn load(&self) -> Option<&wire::Load> {
        self.reported.as_ref()
    }

    /// Whether the server may get new requests: operators and the platform allow them, and the
    /// server is neither ejected nor leaving.
    pub fn is_eligible(&self, now: time::Duration) -> bool {
        let ejected = self.ejected_until.is_some_and(|until| until > now);
        let leaving =
            self.is_leaving() && self.report_age(now).is_some_and(|age| age < STALE_REPORT_AGE);
        self.allowed && !ejected && !leaving
    }

    /// Whether the server is estimated to have a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight() < self.limit()
    }

    /// Returns the share of the server's limit in use after one more request.
    pub fn projected_utilization(&self) -> f64 {
        f64::from(self.in_flight() + 1) / f64::from(self.limit().max(1))
    }
}
