//! The sidecar's admission gate: bounds the requests in flight at one backend server.
//!
//! All requests to the server pass through its sidecar, so the bound is exact
//! for any number of entries and any state of theirs.
//!
//! The limit starts at [`COLD_LIMIT`] and grows only on what the server has
//! shown at the current limit: as many complete answers as the limit, at least
//! half of them in flight while the gate was full, at a healthy latency. Each
//! rule below guards against an order of events in which a higher limit would
//! overload the server:
//!
//! - Time passes without requests: time alone never raises the limit.
//! - Answers complete while the gate is not full: they show nothing about the
//!   load at the limit, so they do not raise it.
//! - The server reports that it is cold: the limit drops to [`COLD_LIMIT`] and
//!   does not grow until the server reports that it is warm.
//! - The server restarts and a request fails before the sidecar sees the new
//!   incarnation: after a failure the server counts as cold until
//!   `CHECKS_AFTER_FAILURE` health checks have shown the same incarnation.
//! - A health check starts, the server restarts, a request fails and then the
//!   check reports the old incarnation: this is why one check is not enough.
//! - A request admitted before a restart ends after it: it frees its slot, but
//!   its ending is ignored, because it shows nothing about the new incarnation.
//! - The server restarts again before it was warm, because its first requests
//!   overloaded it: each such restart lengthens the time without growth.
//! - A request fails, or a window at the limit is too slow: the limit is reduced.
//! - The incarnation changes, several requests fail in a row, all requests
//!   stall or the latency collapses: the limit drops to [`COLD_LIMIT`] at once.
//!
//! The limit is never zero, so that a server can always show that it has recovered.

use std::{mem, time};

use crate::wire;

/// Limit of a cold server, in requests in flight.
pub const COLD_LIMIT: u32 = 2;
/// Ratio of a window's latency to the reference above which the limit is reduced.
const SLOW_LATENCY_RATIO: f64 = 2.5;
/// Ratio of a window's latency to the previous window's above which the limit does not grow.
const RISING_LATENCY_RATIO: f64 = 1.15;
/// Lower bound of the reference latency, in seconds per event, so that noise alone never makes
/// a fast server count as slow.
const MIN_REFERENCE_LATENCY: f64 = 0.010;
/// Ratio of a sample to the reference latency above which the sample counts as collapsed.
const COLLAPSE_LATENCY_RATIO: f64 = 4.0;
/// Consecutive samples above [`COLLAPSE_LATENCY_RATIO`] that drop the limit to [`COLD_LIMIT`].
const COLLAPSE_SAMPLES: u32 = 4;
/// Health checks that must show an unchanged incarnation after a failure. One is not enough,
/// because it may have started before the failure.
const CHECKS_AFTER_FAILURE: u32 = 2;
/// Consecutive restarts of a cold server up to which each one lengthens the time without growth.
const MAX_COUNTED_RESTARTS: u32 = 6;
/// Consecutive failures that drop the limit to [`COLD_LIMIT`].
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Number of windows without growth after the server was too slow at a limit.
const HOLD_WINDOWS: u32 = 8;
/// Lower bound of the time without progress of any request that counts as a stall.
const MIN_STALL_TIME: time::Duration = time::Duration::from_secs(5);
/// Weight of a new sample in a moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Service time assumed before the first complete answer.
const INITIAL_SERVICE_TIME: time::Duration = time::Duration::from_millis(1000);
/// Shortest and longest retry delay in a refusal.
const RETRY_AFTER_RANGE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(50), time::Duration::from_secs(30));

/// How a request with a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The server sent a complete answer.
    Complete,
    /// The server failed during the answer, timed out or did not accept the connection.
    Failed,
    /// The caller or the entry cancelled the request, which shows nothing about the server.
    Cancelled,
}

impl Ending {
    /// Returns the ending's label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Permit for one request in flight; must be returned with [`Gate::release`].
#[derive(Debug)]
#[must_use]
pub struct Permit {
    incarnation: u64,
    full_count: u64,
    admitted_at: time::Duration,
    last_event_at: time::Duration,
    events: u64,
}

impl Permit {
    /// Returns the time at which the request was admitted.
    pub fn admitted_at(&self) -> time::Duration {
        self.admitted_at
    }
}

/// Refusal of a request, with the delay before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal: `Full` or `Leaving`.
    pub reason: wire::Refusal,
    /// Delay after which a slot is expected to be free.
    pub retry_after: time::Duration,
}

/// Complete answers at the current limit, since the last change or check of the limit.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    completed: u32,
    completed_at_limit: u32,
    latency: Option<f64>,
}

/// Admission gate of one backend server.
#[derive(Debug)]
pub struct Gate {
    max_limit: u32,
    limit: u32,
    in_flight: u32,
    /// Number of admissions that filled the gate. A request whose permit has a lower count was
    /// in flight while the gate was full.
    full_count: u64,
    incarnation: u64,
    tokens: u64,
    leaving: bool,
    /// Whether the server was too slow at a higher limit, so that it counts as warm at this one.
    limit_settled: bool,
    /// Remaining windows without growth.
    hold_windows: u32,
    /// Whether the server reports that it is cold.
    reported_cold: bool,
    /// Consecutive restarts of the server while it was cold.
    cold_restarts: u32,
    /// Health checks that must still show an unchanged incarnation after a failure. Until then
    /// the limit in force is at most [`COLD_LIMIT`].
    checks_needed: u32,
    /// Time at which a request last progressed or the server was last idle.
    last_progress: time::Duration,
    /// Lowest window latency, in seconds per event; latencies are compared with it.
    reference_latency: Option<f64>,
    /// Latency of the previous window, in seconds per event.
    previous_latency: Option<f64>,
    window: Window,
    collapsed_samples: u32,
    consecutive_failures: u32,
    service_time: time::Duration,
}

impl Gate {
    /// Creates the gate of an unknown server, which counts as cold.
    /// `max_limit` is the limit of requests in flight at a warm server.
    pub fn new(max_limit: u32) -> Self {
        let max_limit = max_limit.max(1);
        Self {
            max_limit,
            limit: COLD_LIMIT.min(max_limit),
            in_flight: 0,
            full_count: 0,
            incarnation: 0,
            tokens: 0,
            leaving: false,
            limit_settled: false,
            hold_windows: 0,
            reported_cold: false,
            cold_restarts: 0,
            checks_needed: 0,
            last_progress: time::Duration::ZERO,
            reference_latency: None,
            previous_latency: None,
            window: Window::default(),
            collapsed_samples: 0,
            consecutive_failures: 0,
            service_time: INITIAL_SERVICE_TIME,
        }
    }

    /// Admits one request if the gate is open and below its limit.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the server is leaving or the gate is full.
    pub fn admit(&mut self, now: time::Duration) -> Result<Permit, Refusal> {
        match () {
            () if self.leaving => {
                Err(Refusal { reason: wire::Refusal::Leaving, retry_after: RETRY_AFTER_RANGE.0 })
            }
            () if self.in_flight >= self.effective_limit() => {
                Err(Refusal { reason: wire::Refusal::Full, retry_after: self.retry_after_full() })
            }
            () => {
                if self.in_flight == 0 {
                    self.last_progress = now;
                }
                self.in_flight += 1;
                let full_count = self.full_count;
                self.full_count += u64::from(self.in_flight >= self.effective_limit());
                Ok(Permit {
                    incarnation: self.incarnation,
                    full_count,
                    admitted_at: now,
                    last_event_at: now,
                    events: 0,
                })
            }
        }
    }

    /// Records that the server sent `events` more events of a stream.
    ///
    /// The first event gives no latency sample, because the time to it depends on the length of
    /// the prompt.
    pub fn record_events(&mut self, permit: &mut Permit, events: u64, now: time::Duration) {
        let first = permit.events == 0;
        let gap = now.saturating_sub(permit.last_event_at);
        permit.last_event_at = now;
        permit.events += events;
        self.last_progress = self.last_progress.max(now);
        if !first && events > 0 && permit.incarnation == self.incarnation {
            self.record_latency(gap.as_secs_f64() / events as f64);
        }
    }

    /// Returns a permit. Each permit is returned exactly once.
    ///
    /// The ending of a request that was admitted under an earlier incarnation is ignored: the
    /// request shows nothing about the restarted server.
    pub fn release(&mut self, permit: Permit, ending: Ending, now: time::Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_progress = self.last_progress.max(now);
        if permit.incarnation != self.incarnation {
            return;
        }
        match ending {
            Ending::Complete => self.record_completion(&permit, now),
            Ending::Failed => self.record_failure(),
            Ending::Cancelled => {}
        }
    }

    /// Records the incarnation from a health check; a changed incarnation is cold.
    ///
    /// A server that restarts before it was warm has crashed under its first
    /// requests: each such restart more than doubles the number of windows without growth.
    pub fn record_incarnation(&mut self, seen: u64) {
        self.checks_needed = self.checks_needed.saturating_sub(1);
        if seen == self.incarnation {
            return;
        }
        self.cold_restarts = match self.is_warm() || self.incarnation == 0 {
            true => 0,
            false => (self.cold_restarts + 1).min(MAX_COUNTED_RESTARTS),
        };
        self.incarnation = seen;
        self.checks_needed = 0;
        self.reference_latency = None;
        self.reset_to_cold();
        self.hold_windows = (HOLD_WINDOWS << self.cold_restarts) - HOLD_WINDOWS;
    }

    /// Records whether the server reports that it is warm; the limit of a cold server does not
    /// grow.
    pub fn record_warmth(&mut self, warm: bool) {
        if !warm && !self.reported_cold {
            self.reset_to_cold();
        }
        self.reported_cold = !warm;
    }

    /// Checks for a stall, that is requests in flight without progress of any of them, and drops
    /// the limit to [`COLD_LIMIT`] if there is one.
    pub fn check_stall(&mut self, now: time::Duration) {
        let stall_time = MIN_STALL_TIME.max(self.service_time * 4);
        let idle_time = now.saturating_sub(self.last_progress);
        if self.in_flight > 0 && idle_time > stall_time {
            self.last_progress = now;
            self.reset_to_cold();
        }
    }

    /// Sets the number of tokens in flight reported by the engine.
    pub fn set_tokens(&mut self, tokens: u64) {
        self.tokens = tokens;
    }

    /// Changes the limit of requests in flight at a warm server.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        self.max_limit = max_limit.max(1);
        self.limit = self.limit.min(self.max_limit);
    }

    /// Refuses new requests from now on; requests in flight continue.
    pub fn drain(&mut self) {
        self.leaving = true;
    }

    /// Accepts new requests again after [`Gate::drain`]; the server counts as cold.
    pub fn reopen(&mut self) {
        self.leaving = false;
        self.reset_to_cold();
    }

    /// Whether no requests are in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Returns the load report for replies.
    pub fn load(&self) -> wire::Load {
        wire::Load {
            incarnation: self.incarnation,
            in_flight: self.in_flight,
            limit: self.effective_limit(),
            tokens: self.tokens,
            warm: self.is_warm(),
            leaving: self.leaving,
        }
    }

    fn is_warm(&self) -> bool {
        !self.reported_cold && (self.limit_settled || self.limit >= self.max_limit)
    }

    /// Returns the expected time until the next of the requests in flight ends.
    fn retry_after_full(&self) -> time::Duration {
        let wait = self.service_time / self.limit.max(1);
        wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    fn record_completion(&mut self, permit: &Permit, now: time::Duration) {
        let elapsed = now.saturating_sub(permit.admitted_at);
        self.service_time = moving_average(self.service_time.as_secs_f64(), elapsed.as_secs_f64());
        self.consecutive_failures = 0;
        if permit.events == 0 {
            self.record_latency(elapsed.as_secs_f64());
        }
        self.window.completed += 1;
        self.window.completed_at_limit += u32::from(permit.full_count < self.full_count);
        if self.window.completed >= self.limit {
            self.close_window();
        }
    }

    fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        match self.consecutive_failures {
            MAX_CONSECUTIVE_FAILURES.. => self.reset_to_cold(),
            _ => self.reduce_limit(),
        }
        self.checks_needed = CHECKS_AFTER_FAILURE;
    }

    /// Returns the limit in force. After a failure the server counts as cold until health checks
    /// have shown that it did not restart.
    fn effective_limit(&self) -> u32 {
        match self.checks_needed {
            0 => self.limit,
            _ => self.limit.min(COLD_LIMIT),
        }
    }

    fn record_latency(&mut self, latency: f64) {
        self.window.latency = Some(
            self.window.latency.map_or(latency, |old| old + SMOOTHING_FACTOR * (latency - old)),
        );
        let reference = self.reference_latency.unwrap_or(f64::INFINITY);
        self.collapsed_samples = if latency > COLLAPSE_LATENCY_RATIO * reference {
            self.collapsed_samples + 1
        } else {
            0
        };
        if self.collapsed_samples >= COLLAPSE_SAMPLES {
            self.reset_to_cold();
        }
    }

    /// Closes a window and raises, keeps or reduces the limit according to its answers.
    fn close_window(&mut self) {
        let window = mem::take(&mut self.window);
        let Some(latency) = window.latency else { return };
        // At the cold limit the reference is measured anew: otherwise a server that stays slower
        // than before would never leave it.
        let recalibrate = self.limit <= COLD_LIMIT;
        let reference = match self.reference_latency {
            Some(best) if !recalibrate => best.min(latency),
            _ => latency,
        };
        let reference = reference.max(MIN_REFERENCE_LATENCY);
        self.reference_latency = Some(reference);
        self.hold_windows = self.hold_windows.saturating_sub(1);
        let rising = self.previous_latency.is_some_and(|previous| {
            latency > RISING_LATENCY_RATIO * previous.max(MIN_REFERENCE_LATENCY)
        });
        self.previous_latency = Some(latency);
        match () {
            () if latency > SLOW_LATENCY_RATIO * reference => {
                self.limit_settled = true;
                self.hold_windows = HOLD_WINDOWS;
                self.reduce_limit();
            }
            () if rising || self.is_growth_blocked() => {}
            () if window.completed_at_limit * 2 >= window.completed => {
                self.limit = (self.limit + self.growth_step()).min(self.max_limit)
            }
            () => {}
        }
    }

    /// Whether the limit must not grow now, regardless of the answers.
    fn is_growth_blocked(&self) -> bool {
        self.hold_windows > 0 || self.reported_cold || self.checks_needed > 0
    }

    fn growth_step(&self) -> u32 {
        (self.limit / 4).max(1)
    }

    fn reduce_limit(&mut self) {
        self.limit = (self.limit * 3 / 4).max(COLD_LIMIT.min(self.max_limit));
        self.window = Window::default();
    }

    fn reset_to_cold(&mut self) {
        self.limit = COLD_LIMIT.min(self.max_limit);
        self.limit_settled = false;
        self.hold_windows = 0;
        self.previous_latency = None;
        self.window = Window::default();
        self.collapsed_samples = 0;
        self.consecutive_failures = 0;
    }
}

fn moving_average(old: f64, new: f64) -> time::Duration {
    time::Duration::from_secs_f64(old + SMOOTHING_FACTOR * (new - old))
}
