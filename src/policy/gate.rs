//! The sidecar's admission gate: exact, whoever sends and however many entries there are.
//!
//! The limit starts at [`COLD_LIMIT`] and grows only by what the server showed
//! at the present limit: as many whole answers as the limit, most of them
//! in flight while the gate was full, at a healthy pace. Time alone never
//! raises it. A change of incarnation, a run of failures, a stall or a collapse
//! of the pace drops it to [`COLD_LIMIT`] at once; it is never zero, so that a
//! server can always show that it recovered.

use std::{mem, time};

use crate::wire;

/// Limit of a server that has shown nothing yet, in requests.
pub const COLD_LIMIT: u32 = 2;
/// Pace over the reference at which the limit stops growing and shrinks.
const SLOW: f64 = 2.0;
/// Pace over the reference that counts as a collapse.
const COLLAPSE: f64 = 4.0;
/// Samples in a row beyond [`COLLAPSE`] that drop the limit.
const COLLAPSE_SAMPLES: u32 = 4;
/// Failures in a row that drop the limit to [`COLD_LIMIT`].
const FAILURES: u32 = 3;
/// Windows without growth after the server was too slow at a limit.
const HOLD: u32 = 8;
/// Least time without any progress that counts as a stall.
const STALL: time::Duration = time::Duration::from_secs(5);
/// Weight of a new sample in a moving average.
const ALPHA: f64 = 0.2;
/// Service time assumed before the first answer.
const FIRST_GUESS: time::Duration = time::Duration::from_millis(1000);
/// Shortest and longest wait that a refusal names.
const RETRY_AFTER: (time::Duration, time::Duration) =
    (time::Duration::from_millis(50), time::Duration::from_secs(30));

/// How a request that held a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The server answered whole.
    Whole,
    /// The server broke off, timed out or did not take the connection.
    Failed,
    /// The caller or the entry gave up; says nothing about the server.
    Cancelled,
}

impl Ending {
    /// Its label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Whole => "whole",
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
    filled: u64,
    at: time::Duration,
    last: time::Duration,
    events: u64,
}

impl Permit {
    /// When it was given.
    pub fn since(&self) -> time::Duration {
        self.at
    }
}

/// Why a request was not admitted and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// `Full` or `Leaving`.
    pub why: wire::Refusal,
    /// When a slot is expected to be free.
    pub retry_after: time::Duration,
}

/// What was shown at the present limit.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    whole: u32,
    full: u32,
    pace: Option<f64>,
}

/// The gate of one backend server.
#[derive(Debug)]
pub struct Gate {
    ceiling: u32,
    limit: u32,
    in_flight: u32,
    /// Times that the gate became full.
    filled: u64,
    incarnation: u64,
    tokens: u64,
    leaving: bool,
    settled: bool,
    /// Windows left without growth.
    hold: u32,
    /// When the server last showed progress, or was last idle.
    progress: time::Duration,
    /// Best pace seen, in seconds an event.
    reference: Option<f64>,
    window: Window,
    collapsed: u32,
    failures: u32,
    service: time::Duration,
}

impl Gate {
    /// A gate that knows nothing of its server and so takes it for cold.
    /// `ceiling` is the most requests in flight once warm.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        Self {
            ceiling,
            limit: COLD_LIMIT.min(ceiling),
            in_flight: 0,
            filled: 0,
            incarnation: 0,
            tokens: 0,
            leaving: false,
            settled: false,
            hold: 0,
            progress: time::Duration::ZERO,
            reference: None,
            window: Window::default(),
            collapsed: 0,
            failures: 0,
            service: FIRST_GUESS,
        }
    }

    /// Admits one request if the server can carry it now.
    pub fn admit(&mut self, now: time::Duration) -> Result<Permit, Refusal> {
        match () {
            () if self.leaving => {
                Err(Refusal { why: wire::Refusal::Leaving, retry_after: RETRY_AFTER.0 })
            }
            () if self.in_flight >= self.limit => {
                Err(Refusal { why: wire::Refusal::Full, retry_after: self.next_free() })
            }
            () => {
                if self.in_flight == 0 {
                    self.progress = now;
                }
                self.in_flight += 1;
                let filled = self.filled;
                self.filled += u64::from(self.in_flight >= self.limit);
                Ok(Permit { incarnation: self.incarnation, filled, at: now, last: now, events: 0 })
            }
        }
    }

    /// Notes that the server sent `events` more events of a stream.
    pub fn observe(&mut self, permit: &mut Permit, events: u64, now: time::Duration) {
        let first = permit.events == 0;
        let gap = now.saturating_sub(permit.last);
        permit.last = now;
        permit.events += events;
        self.progress = self.progress.max(now);
        if !first && events > 0 && permit.incarnation == self.incarnation {
            self.sample(gap.as_secs_f64() / events as f64);
        }
    }

    /// Gives a permit back. Each permit is given back exactly once.
    pub fn release(&mut self, permit: Permit, ending: Ending, now: time::Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.progress = self.progress.max(now);
        if permit.incarnation != self.incarnation {
            return;
        }
        match ending {
            Ending::Whole => self.whole(&permit, now),
            Ending::Failed => self.failed(),
            Ending::Cancelled => {}
        }
    }

    /// Takes the server's incarnation as its health answer gave it; a change makes it cold.
    pub fn incarnation(&mut self, seen: u64) {
        if seen != self.incarnation {
            self.incarnation = seen;
            self.reference = None;
            self.chill();
        }
    }

    /// Looks for a stall: requests in flight and no progress of any of them.
    pub fn tick(&mut self, now: time::Duration) {
        let patience = STALL.max(self.service * 4);
        let quiet = now.saturating_sub(self.progress);
        if self.in_flight > 0 && quiet > patience {
            self.progress = now;
            self.chill();
        }
    }

    /// Takes the tokens in flight as the engine reported them.
    pub fn tokens(&mut self, tokens: u64) {
        self.tokens = tokens;
    }

    /// Changes the most requests in flight once warm.
    pub fn ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.limit = self.limit.min(self.ceiling);
    }

    /// Refuses new work from now on; what is in flight goes on.
    pub fn drain(&mut self) {
        self.leaving = true;
    }

    /// Takes new work again after [`Gate::drain`], as a cold server.
    pub fn reopen(&mut self) {
        self.leaving = false;
        self.chill();
    }

    /// Whether nothing is in flight.
    pub fn idle(&self) -> bool {
        self.in_flight == 0
    }

    /// What replies carry.
    pub fn load(&self) -> wire::Load {
        wire::Load {
            incarnation: self.incarnation,
            in_flight: self.in_flight,
            limit: self.limit,
            tokens: self.tokens,
            warm: self.warm(),
            leaving: self.leaving,
        }
    }

    fn warm(&self) -> bool {
        self.settled || self.limit >= self.ceiling
    }

    fn next_free(&self) -> time::Duration {
        let wait = self.service / self.limit.max(1);
        wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }

    fn whole(&mut self, permit: &Permit, now: time::Duration) {
        let took = now.saturating_sub(permit.at);
        self.service = average(self.service.as_secs_f64(), took.as_secs_f64());
        self.failures = 0;
        if permit.events == 0 {
            self.sample(took.as_secs_f64());
        }
        self.window.whole += 1;
        self.window.full += u32::from(permit.filled < self.filled);
        if self.window.whole >= self.limit {
            self.turn();
        }
    }

    fn failed(&mut self) {
        self.failures += 1;
        match self.failures {
            FAILURES.. => self.chill(),
            _ => self.shrink(),
        }
    }

    fn sample(&mut self, pace: f64) {
        self.window.pace = Some(self.window.pace.map_or(pace, |old| old + ALPHA * (pace - old)));
        let reference = self.reference.unwrap_or(f64::INFINITY);
        self.collapsed = if pace > COLLAPSE * reference { self.collapsed + 1 } else { 0 };
        if self.collapsed >= COLLAPSE_SAMPLES {
            self.chill();
        }
    }

    /// Closes a window: grows, holds or shrinks the limit by what was shown in it.
    fn turn(&mut self) {
        let window = mem::take(&mut self.window);
        let Some(pace) = window.pace else { return };
        let relearn = self.limit <= COLD_LIMIT;
        let reference = match self.reference {
            Some(best) if !relearn => best.min(pace),
            _ => pace,
        };
        self.reference = Some(reference);
        self.hold = self.hold.saturating_sub(1);
        match () {
            () if pace > SLOW * reference => {
                self.settled = true;
                self.hold = HOLD;
                self.shrink();
            }
            () if self.hold > 0 => {}
            () if window.full * 2 >= window.whole => {
                self.limit = (self.limit + self.step()).min(self.ceiling)
            }
            () => {}
        }
    }

    fn step(&self) -> u32 {
        (self.limit / 2).max(1)
    }

    fn shrink(&mut self) {
        self.limit = (self.limit * 3 / 4).max(COLD_LIMIT.min(self.ceiling));
        self.window = Window::default();
    }

    fn chill(&mut self) {
        self.limit = COLD_LIMIT.min(self.ceiling);
        self.settled = false;
        self.hold = 0;
        self.window = Window::default();
        self.collapsed = 0;
        self.failures = 0;
    }
}

fn average(old: f64, new: f64) -> time::Duration {
    time::Duration::from_secs_f64(old + ALPHA * (new - old))
}
