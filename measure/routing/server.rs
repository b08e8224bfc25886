//! Simple simulation of a model engine behind its sidecar's gate, with continuous
//! batching, cold starts and a prefix cache of limited size.

use std::time;

use knapweedford::{name, policy::gate, wire};

use super::trace;

/// Requests that the engine batches; further ones wait inside the engine.
pub const MAX_BATCH: u32 = 16;
/// Base duration of one pass of a warm engine, in seconds; a full batch takes twice as long.
const PASS_SECS: f64 = 0.020;
/// Prompt tokens that the engine reads per second.
const PREFILL_TOKENS_PER_SEC: f64 = 6000.0;
/// Requests that a fully cold server can run at once.
const COLD_CAPACITY: f64 = 4.0;
/// Ratio of the pass time of a cold server to that of a warm one.
const COLD_SLOWDOWN: f64 = 3.0;
/// Tokens that a cold server generates until it is warm.
const WARM_UP_TOKENS: f64 = 6000.0;
/// Ratio of requests in flight to capacity above which a cold server crashes.
const CRASH_OVERLOAD: f64 = 1.5;
/// Time from a crash until the server runs again.
const RESTART_TIME: time::Duration = time::Duration::from_secs(3);
/// Capacity of the prefix cache.
const CACHE_TOKENS: u32 = 24_000;

/// Event of an attempt that a server reports to its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportKind {
    /// The server sent the first token.
    FirstToken,
    /// The server sent the last token.
    Completed,
    /// The server crashed before the last token.
    Broken,
}

/// Report of a server about one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub kind: ReportKind,
    pub server: usize,
    pub attempt: Attempt,
    /// Tokens that the caller has received from all attempts.
    pub received_tokens: u32,
    pub load: wire::Load,
}

/// One attempt of a request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Index of the entry.
    pub entry: usize,
    /// Index of the request in the trace.
    pub req: usize,
    /// Tokens that the caller has received from earlier attempts.
    pub received_tokens: u32,
}

/// Attempt that the server has admitted, with counts of tokens.
struct Run {
    attempt: Attempt,
    permit: Option<gate::Permit>,
    prefill_left: f64,
    generated: f64,
    answer_tokens: f64,
}

/// A model engine with its gate.
pub struct Server {
    pub index: usize,
    pub name: name::Server,
    pub zone: name::Zone,
    /// Largest ratio of requests in flight to capacity while the server was cold.
    pub cold_peak: f64,
    /// Crashes caused by overload.
    pub overload_crashes: u32,
    /// Requests admitted while the server was out.
    pub admitted_while_out: u32,
    /// Requests admitted after the server turned cold, until its load fell to its capacity.
    pub admitted_after_cooling: u32,
    /// Prefix tokens of the admitted requests.
    pub prefix_tokens: u64,
    /// Those of the prefix tokens that the cache held.
    pub cached_prefix_tokens: u64,
    gate: gate::Gate,
    gated: bool,
    out: bool,
    /// Whether the server turned cold and its load has not yet fallen to its capacity.
    cooled_under_load: bool,
    runs: Vec<Run>,
    /// 0 for a cold server to 1 for a warm one.
    warmth: f64,
    incarnation: u64,
    /// Time at which a crashed server runs again.
    restarts_at: Option<time::Duration>,
    /// Prefix keys with their tokens, the most recently used last.
    cache: Vec<(u64, u32)>,
}

impl Server {
    /// Creates a warm server whose gate has opened as under earlier traffic.
    ///
    /// Without `gated`, the server admits every request.
    pub fn new(index: usize, name: name::Server, zone: name::Zone, gated: bool) -> Self {
        let mut gate = gate::Gate::new(MAX_BATCH);
        gate.record_incarnation(1);
        let mut server = Self {
            index,
            name,
            zone,
            cold_peak: 0.0,
            overload_crashes: 0,
            admitted_while_out: 0,
            admitted_after_cooling: 0,
            cooled_under_load: false,
            out: false,
            prefix_tokens: 0,
            cached_prefix_tokens: 0,
            gate,
            gated,
            runs: Vec::new(),
            warmth: 1.0,
            incarnation: 1,
            restarts_at: None,
            cache: Vec::new(),
        };
        server.warm_up_gate();
        server
    }

    /// Sends traffic through the gate until it reports the server as warm.
    fn warm_up_gate(&mut self) {
        let mut now = time::Duration::ZERO;
        while !self.gate.load().warm {
            let mut permits = Vec::new();
            while let Ok(permit) = self.gate.admit(now) {
                permits.push(permit);
            }
            let pass = time::Duration::from_secs_f64(self.pass_secs(permits.len() as f64));
            for _ in 0..20 {
                now += pass;
                permits.iter_mut().for_each(|permit| self.gate.record_events(permit, 1, now));
            }
            for permit in permits {
                self.gate.release(permit, gate::Ending::Complete, now);
            }
        }
    }

    /// Returns the load as the sidecar reports it; without a gate there is no limit.
    pub fn load(&self) -> wire::Load {
        let in_flight = self.runs.len() as u32;
        match self.gated {
            true if self.restarts_at.is_some() => wire::Load { limit: 0, ..self.gate.load() },
            true => self.gate.load(),
            false => wire::Load { in_flight, limit: u32::MAX, warm: true, ..wire::Load::default() },
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Starts an attempt unless the server is down or its gate refuses the attempt.
    pub fn admit(
        &mut self,
        attempt: Attempt,
        req: &trace::Request,
        now: time::Duration,
    ) -> Result<(), gate::Refusal> {
        let down = self.restarts_at.is_some();
        let permit = match self.gated {
            _ if down => {
                let reason = wire::Refusal::Unreachable;
                return Err(gate::Refusal { reason, retry_after: RESTART_TIME });
            }
            true => Some(self.gate.admit(now)?),
            false => None,
        };
        self.admitted_while_out += u32::from(self.out);
        let prefill_left = self.look_up_prefixes(req) + f64::from(attempt.received_tokens);
        let answer_tokens =
            f64::from(req.answer_tokens.saturating_sub(attempt.received_tokens).max(1));
        self.runs.push(Run { attempt, permit, prefill_left, generated: 0.0, answer_tokens });
        match self.cooled_under_load {
            true => self.admitted_after_cooling += 1,
            false if self.warmth < 1.0 => {
                self.cold_peak = self.cold_peak.max(self.runs.len() as f64 / self.capacity());
            }
            false => {}
        }
        Ok(())
    }

    /// Cancels a request whose caller has disconnected.
    pub fn cancel(&mut self, req: usize, now: time::Duration) {
        if let Some(index) = self.runs.iter().position(|run| run.attempt.req == req) {
            let run = self.runs.remove(index);
            self.release(run.permit, gate::Ending::Cancelled, now);
        }
    }

    /// Takes the server out, which drains its gate, or brings it back in.
    pub fn set_out(&mut self, out: bool) {
        self.out = out;
        match out {
            true => self.gate.drain(),
            false => self.gate.reopen(),
        }
    }

    /// Turns the server cold without a new incarnation.
    pub fn cool(&mut self) {
        self.cooled_under_load = true;
        self.warmth = 0.0;
    }

    /// Crashes the server and reports each attempt in flight as broken.
    pub fn crash(&mut self, now: time::Duration, reports: &mut Vec<Report>) {
        self.restarts_at = Some(now + RESTART_TIME);
        for run in std::mem::take(&mut self.runs) {
            let received_tokens = run.attempt.received_tokens + run.generated as u32;
            self.release(run.permit, gate::Ending::Failed, now);
            let load = self.load();
            let report = Report {
                kind: ReportKind::Broken,
                server: self.index,
                attempt: run.attempt,
                received_tokens,
                load,
            };
            reports.push(report);
        }
    }

    /// Runs the engine for `dt` and adds its reports to `reports`.
    pub fn tick(&mut self, now: time::Duration, dt: time::Duration, reports: &mut Vec<Report>) {
        self.gate.check_stall(now);
        match self.restarts_at {
            Some(restarts_at) if restarts_at > now => return,
            Some(_) => self.restart(),
            None => {}
        }
        self.cooled_under_load &= self.runs.len() as f64 > self.capacity();
        if self.warmth < 1.0 && self.runs.len() as f64 > self.capacity() * CRASH_OVERLOAD {
            self.overload_crashes += 1;
            return self.crash(now, reports);
        }
        self.prefill(dt);
        self.decode(now, dt, reports);
    }

    fn restart(&mut self) {
        self.restarts_at = None;
        self.warmth = 0.0;
        self.cache.clear();
        self.incarnation += 1;
        self.gate.record_incarnation(self.incarnation);
    }

    fn prefill(&mut self, dt: time::Duration) {
        let mut left = PREFILL_TOKENS_PER_SEC * dt.as_secs_f64();
        for run in self.runs.iter_mut().take(MAX_BATCH as usize) {
            let done = run.prefill_left.min(left);
            run.prefill_left -= done;
            left -= done;
        }
    }

    fn decode(&mut self, now: time::Duration, dt: time::Duration, reports: &mut Vec<Report>) {
        let active = |run: &&Run| run.prefill_left <= 0.0;
        let batch = self.runs.iter().take(MAX_BATCH as usize).filter(active).count();
        let tokens = dt.as_secs_f64() / self.pass_secs(batch as f64);
        let mut completed = Vec::new();
        for index in 0..self.runs.len().min(MAX_BATCH as usize) {
            let run = &mut self.runs[index];
            if run.prefill_left > 0.0 {
                continue;
            }
            let before = run.generated.floor();
            run.generated = (run.generated + tokens).min(run.answer_tokens);
            let events = (run.generated.floor() - before) as u64;
            if let Some(permit) = run.permit.as_mut().filter(|_| events > 0) {
                self.gate.record_events(permit, events, now);
            }
            let (attempt, received_tokens) =
                (run.attempt, run.attempt.received_tokens + run.generated as u32);
            let kind = match () {
                () if run.generated >= run.answer_tokens => ReportKind::Completed,
                () if before == 0.0 && events > 0 => ReportKind::FirstToken,
                () => continue,
            };
            if kind == ReportKind::Completed {
                completed.push(index);
            }
            let load = self.load();
            reports.push(Report { kind, server: self.index, attempt, received_tokens, load });
        }
        self.warmth = (self.warmth + tokens * batch as f64 / WARM_UP_TOKENS).min(1.0);
        for index in completed.into_iter().rev() {
            let run = self.runs.remove(index);
            self.release(run.permit, gate::Ending::Complete, now);
        }
    }

    fn release(&mut self, permit: Option<gate::Permit>, ending: gate::Ending, now: time::Duration) {
        if let Some(permit) = permit {
            self.gate.release(permit, ending, now);
        }
    }

    /// Returns the number of requests that the server can run at its warmth.
    fn capacity(&self) -> f64 {
        COLD_CAPACITY + self.warmth * (f64::from(MAX_BATCH) - COLD_CAPACITY)
    }

    /// Returns the duration of one pass with `batch` requests, in seconds.
    fn pass_secs(&self, batch: f64) -> f64 {
        let cold = 1.0 - self.warmth;
        let overload = 1.0 + cold * 2.0 * (batch / self.capacity()).powi(2);
        let slowdown = 1.0 + cold * (COLD_SLOWDOWN - 1.0);
        PASS_SECS * (1.0 + batch / f64::from(MAX_BATCH)) * slowdown * overload
    }

    /// Returns the number of prompt tokens to read and caches the request's prefixes.
    fn look_up_prefixes(&mut self, req: &trace::Request) -> f64 {
        let mut tokens_to_read = 50;
        let mut cached = true;
        for (key, tokens) in
            [(req.workspace_prefix_key(), req.shared_tokens), (req.session, req.history_tokens)]
        {
            let index = self.cache.iter().position(|(cached_key, _)| *cached_key == key);
            cached &= index.is_some();
            tokens_to_read += if cached { 0 } else { tokens };
            self.cached_prefix_tokens += if cached { u64::from(tokens) } else { 0 };
            self.prefix_tokens += u64::from(tokens);
            if let Some(index) = index {
                self.cache.remove(index);
            }
            self.cache.push((key, tokens));
        }
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > CACHE_TOKENS {
            self.cache.remove(0);
        }
        f64::from(tokens_to_read)
    }
}
