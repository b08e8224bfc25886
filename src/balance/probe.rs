//! Probes of quarantined requests: single requests that are sent all the same, and that show whether
//! requests like them still crash servers.
//!
//! A gateway claims a probe in the store before it sends it, so that gateways probe one after the
//! other.

use std::{collections::BTreeSet, time};

use crate::name;

/// Delay to the first probe of a quarantine if no crash followed another one.
const MIN_PROBE_DELAY: time::Duration = time::Duration::from_secs(5);
/// Factor by which each crash that followed another one prolongs the delay.
const PROBE_DELAY_FACTOR: u32 = 4;
/// Longest delay to a probe.
const MAX_PROBE_DELAY: time::Duration = time::Duration::from_secs(3600);
/// Time within which a probe is claimed and sent. It is shorter than any delay, so that no other
/// gateway claims the next probe meanwhile.
const PROBE_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// Returns the delay from the start of a quarantine, or from the latest probe, to the next probe
/// after `recurrence` crashes that followed another one.
pub fn delay(recurrence: u32) -> time::Duration {
    let factor = PROBE_DELAY_FACTOR.checked_pow(recurrence);
    let delay = factor.and_then(|factor| MIN_PROBE_DELAY.checked_mul(factor));
    delay.map_or(MAX_PROBE_DELAY, |delay| delay.min(MAX_PROBE_DELAY))
}

/// A probe that a gateway prepares. Times are on the process's monotonic clock.
#[derive(Debug)]
pub struct Probe {
    /// Quarantined fingerprints that its request may have.
    fingerprints: BTreeSet<name::Fingerprint>,
    expires_at: time::Duration,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The probe is to be claimed.
    Wanted,
    /// The answer of the store is awaited.
    Claiming,
    /// The probe may be sent.
    Claimed,
}

impl Probe {
    /// Prepares a probe with a request whose quarantined fingerprints are `fingerprints`.
    pub fn new(fingerprints: BTreeSet<name::Fingerprint>, now: time::Duration) -> Self {
        Self { fingerprints, expires_at: now + PROBE_LIFETIME, stage: Stage::Wanted }
    }

    /// Returns the quarantined fingerprints that the request may have.
    pub fn fingerprints(&self) -> &BTreeSet<name::Fingerprint> {
        &self.fingerprints
    }

    /// Returns whether the probe is to be claimed.
    pub fn is_wanted(&self) -> bool {
        self.stage == Stage::Wanted
    }

    /// Returns whether the probe was not sent in time.
    pub fn is_expired(&self, now: time::Duration) -> bool {
        self.expires_at <= now
    }

    /// Begins to claim the probe.
    pub fn begin_claim(&mut self) {
        self.stage = Stage::Claiming;
    }

    /// Records that the claim succeeded.
    pub fn record_claim(&mut self) {
        self.stage = Stage::Claimed;
    }

    /// Returns whether a request may be sent whose quarantined fingerprints are `fingerprints`.
    pub fn permits(&self, fingerprints: &[&name::Fingerprint], now: time::Duration) -> bool {
        self.stage == Stage::Claimed && self.is_for(fingerprints, now)
    }

    /// Returns the time for which a request whose quarantined fingerprints are `fingerprints` may
    /// have to wait for the claim; `None` if it should not.
    pub fn claim_time(
        &self,
        fingerprints: &[&name::Fingerprint],
        now: time::Duration,
    ) -> Option<time::Duration> {
        let is_open = self.stage != Stage::Claimed && self.is_for(fingerprints, now);
        is_open.then(|| self.expires_at.saturating_sub(now))
    }

    fn is_for(&self, fingerprints: &[&name::Fingerprint], now: time::Duration) -> bool {
        !self.is_expired(now)
            && fingerprints.iter().all(|fingerprint| self.fingerprints.contains(*fingerprint))
    }
}
