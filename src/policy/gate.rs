//! The sidecar's admission gate: exact, whoever sends and however many entries there are.
//!
//! The limit starts at [`COLD_LIMIT`] and grows only by what the server showed
//! at the present limit: as many whole answers as the limit, most of them
//! in flight while the gate was full, at a healthy pace. Time alone never
//! raises it, and it does not grow while the server says that it is cold. After
//! a failure the server counts as cold until its incarnation was seen unchanged.
//! A change of incarnation, a run of failures, a stall or a collapse
//! of the pace drops it to [`COLD_LIMIT`] at once; it is never zero, so that a
//! server can always show that it recovered.

use std::{mem, time};

use crate::wire;

/// Limit of a server that has shown nothing yet, in requests.
pub const COLD_LIMIT: u32 = 2;
/// Pace over the reference at which the limit stops growing and shrinks.
const SLOW_LATENCY_RATIO: f64 = 2.5;
/// Pace over that of the window before at which the limit does not grow yet.
const RISING_LATENCY_RATIO: f64 = 1.15;
/// Least reference, in seconds an event: a server this quick is never slow by noise alone.
const MIN_REFERENCE_LATENCY: f64 = 0.010;
/// Pace over the reference that counts as a collapse.
const COLLAPSE_LATENCY_RATIO: f64 = 4.0;
/// Samples in a row beyond [`COLLAPSE_LATENCY_RATIO`] that drop the limit.
const COLLAPSE_SAMPLES: u32 = 4;
/// Looks at a server's incarnation that clear a doubt; the first may have begun before it.
const CHECKS_AFTER_FAILURE: u32 = 2;
/// Most restarts in a row that lengthen the hold.
const MAX_COUNTED_RESTARTS: u32 = 6;
/// Failures in a row that drop the limit to [`COLD_LIMIT`].
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Windows without growth after the server was too slow at a limit.
const HOLD_WINDOWS: u32 = 8;
/// Least time without any progress that counts as a stall.
const MIN_STALL_TIME: time::Duration = time::Duration::from_secs(5);
/// Weight of a new sample in a moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Service time assumed before the first answer.
const INITIAL_SERVICE_TIME: time::Duration = time::Duration::from_millis(1000);
/// Shortest and longest wait that a refusal names.
const RETRY_AFTER_RANGE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(50), time::Duration::from_secs(30));

/// How a request that held a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The server answered whole.
    Complete,
    /// The server broke off, timed out or did not take the connection.
    Failed,
    /// The caller or the entry gave up; says nothing about the server.
    Cancelled,
}

impl Ending {
    /// Its label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Leave for one request to be in flight; given back by [`Gate::release`].
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
    /// When it was given.
    pub fn admitted_at(&self) -> time::Duration {
        self.admitted_at
    }
}

/// Why a request was not admitted and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// `Full` or `Leaving`.
    pub reason: wire::Refusal,
    /// When a slot is expected to be free.
    pub retry_after: time::Duration,
}

/// What was shown at the present limit.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    completed: u32,
    completed_at_limit: u32,
    latency: Option<f64>,
}

/// The gate of one backend server.
#[derive(Debug)]
pub struct Gate {
    max_limit: u32,
    limit: u32,
    in_flight: u32,
    /// Times that the gate became full.
    full_count: u64,
    incarnation: u64,
    tokens: u64,
    leaving: bool,
    limit_settled: bool,
    /// Windows left without growth.
    hold_windows: u32,
    /// Whether the server itself says that it is cold.
    reported_cold: bool,
    /// Restarts in a row before the server was warm.
    cold_restarts: u32,
    /// Looks at the server that must show it unchanged before the limit counts again.
    checks_needed: u32,
    /// When the server last showed progress, or was last idle.
    last_progress: time::Duration,
    /// Best pace seen, in seconds an event.
    reference_latency: Option<f64>,
    /// Pace of the window before.
    previous_latency: Option<f64>,
    window: Window,
    collapsed_samples: u32,
    consecutive_failures: u32,
    service_time: time::Duration,
}

impl Gate {
    /// A gate that knows nothing of its server and so takes it for cold.
    /// `max_limit` is the most requests in flight once warm.
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

    /// Admits one request if the server can carry it now.
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

    /// Notes that the server sent `events` more events of a stream.
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

    /// Gives a permit back. Each permit is given back exactly once.
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

    /// Takes the server's incarnation as its health answer gave it; a change makes it cold.
    ///
    /// A server that restarts again before it was warm fell over: each such
    /// fall doubles the windows in which the limit does not grow.
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

    /// Takes what the server says of its own warmth; while it is cold the limit does not grow.
    pub fn record_warmth(&mut self, warm: bool) {
        if !warm && !self.reported_cold {
            self.reset_to_cold();
        }
        self.reported_cold = !warm;
    }

    /// Looks for a stall: requests in flight and no progress of any of them.
    pub fn check_stall(&mut self, now: time::Duration) {
        let stall_time = MIN_STALL_TIME.max(self.service_time * 4);
        let idle_time = now.saturating_sub(self.last_progress);
        if self.in_flight > 0 && idle_time > stall_time {
            self.last_progress = now;
            self.reset_to_cold();
        }
    }

    /// Takes the tokens in flight as the engine reported them.
    pub fn set_tokens(&mut self, tokens: u64) {
        self.tokens = tokens;
    }

    /// Changes the most requests in flight once warm.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        self.max_limit = max_limit.max(1);
        self.limit = self.limit.min(self.max_limit);
    }

    /// Refuses new work from now on; what is in flight goes on.
    pub fn drain(&mut self) {
        self.leaving = true;
    }

    /// Takes new work again after [`Gate::drain`], as a cold server.
    pub fn reopen(&mut self) {
        self.leaving = false;
        self.reset_to_cold();
    }

    /// Whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// What replies carry.
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

    fn retry_after_full(&self) -> time::Duration {
        let wait = self.service_time / self.limit.max(1);
        wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    fn record_completion(&mut self, permit: &Permit, now: time::Duration) {
        let took = now.saturating_sub(permit.admitted_at);
        self.service_time = moving_average(self.service_time.as_secs_f64(), took.as_secs_f64());
        self.consecutive_failures = 0;
        if permit.events == 0 {
            self.record_latency(took.as_secs_f64());
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

    /// The limit in force: after a failure the server counts as cold until it was seen unchanged.
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

    /// Closes a window: grows, holds or shrinks the limit by what was shown in it.
    fn close_window(&mut self) {
        let window = mem::take(&mut self.window);
        let Some(latency) = window.latency else { return };
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

    /// Whether the limit may not grow now, whatever the server shows.
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
