//! A simple model of a model engine with its sidecar's gate: continuous batching,
//! cold start, a prefix cache in limited memory.

use std::time;

use knapweedford::{name, policy::gate, wire};

use super::trace;

/// Requests that the engine runs at once; more wait inside it.
pub const BATCH: u32 = 16;
/// Time of one step at a batch of one, once warm, in seconds.
const STEP: f64 = 0.020;
/// Prompt tokens read a second.
const PREFILL: f64 = 6000.0;
/// Requests that a wholly cold server can carry.
const COLD_CARRY: f64 = 4.0;
/// Steps of a cold server over those of a warm one.
const COLD_SLOWNESS: f64 = 3.0;
/// Tokens to generate until a server is warm.
const WARM_TOKENS: f64 = 6000.0;
/// Requests over what a cold server can carry at which it falls over.
const FALL: f64 = 1.5;
/// Time that a restart takes.
const RESTART: time::Duration = time::Duration::from_secs(3);
/// Prefix tokens that the cache holds.
const CACHE: u32 = 24_000;

/// What a server reports of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The first token was sent.
    First,
    /// The last token was sent.
    Whole,
    /// The server broke off.
    Broken,
}

/// One report.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub kind: Kind,
    pub server: usize,
    pub run: Sent,
    /// Tokens that the caller has, of all attempts.
    pub tokens: u32,
    pub load: wire::Load,
}

/// One request as sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub entry: usize,
    pub req: usize,
    /// Tokens that the caller has from earlier attempts.
    pub resume: u32,
}

struct Run {
    sent: Sent,
    permit: Option<gate::Permit>,
    prefill: f64,
    out: f64,
    need: f64,
}

/// A server with its gate.
pub struct Server {
    pub at: usize,
    pub name: name::Server,
    pub zone: name::Zone,
    /// Most requests in flight while cold, over what it could carry.
    pub peak: f64,
    /// Times that it fell over.
    pub falls: u32,
    /// Requests taken after it was out.
    pub after_out: u32,
    /// Requests taken after it cooled unnoticed, until it carried less than it can.
    pub after_cool: u32,
    /// Prefix tokens wanted and found.
    pub wanted: u64,
    pub found: u64,
    gate: gate::Gate,
    gated: bool,
    out: bool,
    shocked: bool,
    runs: Vec<Run>,
    warmth: f64,
    incarnation: u64,
    back: Option<time::Duration>,
    cache: Vec<(u64, u32)>,
}

impl Server {
    /// A warm server whose gate, if `gated`, has seen it serve.
    pub fn new(at: usize, name: name::Server, zone: name::Zone, gated: bool) -> Self {
        let mut gate = gate::Gate::new(BATCH);
        gate.record_incarnation(1);
        let mut server = Self {
            at,
            name,
            zone,
            peak: 0.0,
            falls: 0,
            after_out: 0,
            after_cool: 0,
            shocked: false,
            out: false,
            wanted: 0,
            found: 0,
            gate,
            gated,
            runs: Vec::new(),
            warmth: 1.0,
            incarnation: 1,
            back: None,
            cache: Vec::new(),
        };
        server.exercise();
        server
    }

    /// Warms the gate as earlier traffic would have.
    fn exercise(&mut self) {
        let mut now = time::Duration::ZERO;
        while !self.gate.load().warm {
            let mut permits = Vec::new();
            while let Ok(permit) = self.gate.admit(now) {
                permits.push(permit);
            }
            let step = time::Duration::from_secs_f64(self.step(permits.len() as f64));
            for _ in 0..20 {
                now += step;
                permits.iter_mut().for_each(|permit| self.gate.record_events(permit, 1, now));
            }
            for permit in permits {
                self.gate.release(permit, gate::Ending::Complete, now);
            }
        }
    }

    /// Load as the sidecar reports it; without a gate the limit says nothing.
    pub fn load(&self) -> wire::Load {
        let in_flight = self.runs.len() as u32;
        match self.gated {
            true if self.back.is_some() => wire::Load { limit: 0, ..self.gate.load() },
            true => self.gate.load(),
            false => wire::Load { in_flight, limit: u32::MAX, warm: true, ..wire::Load::default() },
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Hands a request over.
    pub fn send(
        &mut self,
        sent: Sent,
        req: &trace::Request,
        now: time::Duration,
    ) -> Result<(), gate::Refusal> {
        let down = self.back.is_some();
        let permit = match self.gated {
            _ if down => {
                let reason = wire::Refusal::Unreachable;
                return Err(gate::Refusal { reason, retry_after: RESTART });
            }
            true => Some(self.gate.admit(now)?),
            false => None,
        };
        self.after_out += u32::from(self.out);
        let prefill = self.lookup(req) + f64::from(sent.resume);
        let need = f64::from(req.answer.saturating_sub(sent.resume).max(1));
        self.runs.push(Run { sent, permit, prefill, out: 0.0, need });
        match self.shocked {
            true => self.after_cool += 1,
            false if self.warmth < 1.0 => {
                self.peak = self.peak.max(self.runs.len() as f64 / self.carry());
            }
            false => {}
        }
        Ok(())
    }

    /// Ends a request whose caller has gone.
    pub fn cancel(&mut self, req: usize, now: time::Duration) {
        if let Some(at) = self.runs.iter().position(|run| run.sent.req == req) {
            let run = self.runs.remove(at);
            self.release(run.permit, gate::Ending::Cancelled, now);
        }
    }

    /// Operators take it out or bring it back.
    pub fn drain(&mut self, out: bool) {
        self.out = out;
        match out {
            true => self.gate.drain(),
            false => self.gate.reopen(),
        }
    }

    /// Turns cold with no new incarnation.
    pub fn cool(&mut self) {
        self.shocked = true;
        self.warmth = 0.0;
    }

    /// Dies; what was in flight breaks off.
    pub fn die(&mut self, now: time::Duration, out: &mut Vec<Report>) {
        self.back = Some(now + RESTART);
        for run in std::mem::take(&mut self.runs) {
            let tokens = run.sent.resume + run.out as u32;
            self.release(run.permit, gate::Ending::Failed, now);
            let load = self.load();
            let report =
                Report { kind: Kind::Broken, server: self.at, run: run.sent, tokens, load };
            out.push(report);
        }
    }

    /// Runs for `dt`.
    pub fn tick(&mut self, now: time::Duration, dt: time::Duration, out: &mut Vec<Report>) {
        self.gate.check_stall(now);
        match self.back {
            Some(back) if back > now => return,
            Some(_) => self.start(),
            None => {}
        }
        self.shocked &= self.runs.len() as f64 > self.carry();
        if self.warmth < 1.0 && self.runs.len() as f64 > self.carry() * FALL {
            self.falls += 1;
            return self.die(now, out);
        }
        self.prefill(dt);
        self.decode(now, dt, out);
    }

    fn start(&mut self) {
        self.back = None;
        self.warmth = 0.0;
        self.cache.clear();
        self.incarnation += 1;
        self.gate.record_incarnation(self.incarnation);
    }

    fn prefill(&mut self, dt: time::Duration) {
        let mut left = PREFILL * dt.as_secs_f64();
        for run in self.runs.iter_mut().take(BATCH as usize) {
            let done = run.prefill.min(left);
            run.prefill -= done;
            left -= done;
        }
    }

    fn decode(&mut self, now: time::Duration, dt: time::Duration, out: &mut Vec<Report>) {
        let active = |run: &&Run| run.prefill <= 0.0;
        let batch = self.runs.iter().take(BATCH as usize).filter(active).count();
        let tokens = dt.as_secs_f64() / self.step(batch as f64);
        let mut ended = Vec::new();
        for at in 0..self.runs.len().min(BATCH as usize) {
            let run = &mut self.runs[at];
            if run.prefill > 0.0 {
                continue;
            }
            let before = run.out.floor();
            run.out = (run.out + tokens).min(run.need);
            let events = (run.out.floor() - before) as u64;
            if let Some(permit) = run.permit.as_mut().filter(|_| events > 0) {
                self.gate.record_events(permit, events, now);
            }
            let (sent, total) = (run.sent, run.sent.resume + run.out as u32);
            let kind = match () {
                () if run.out >= run.need => Kind::Whole,
                () if before == 0.0 && events > 0 => Kind::First,
                () => continue,
            };
            if kind == Kind::Whole {
                ended.push(at);
            }
            let load = self.load();
            out.push(Report { kind, server: self.at, run: sent, tokens: total, load });
        }
        self.warmth = (self.warmth + tokens * batch as f64 / WARM_TOKENS).min(1.0);
        for at in ended.into_iter().rev() {
            let run = self.runs.remove(at);
            self.release(run.permit, gate::Ending::Complete, now);
        }
    }

    fn release(&mut self, permit: Option<gate::Permit>, ending: gate::Ending, now: time::Duration) {
        if let Some(permit) = permit {
            self.gate.release(permit, ending, now);
        }
    }

    /// Requests that it can carry.
    fn carry(&self) -> f64 {
        COLD_CARRY + self.warmth * (f64::from(BATCH) - COLD_CARRY)
    }

    /// Time of one step with `batch` requests, in seconds.
    fn step(&self, batch: f64) -> f64 {
        let cold = 1.0 - self.warmth;
        let strain = 1.0 + cold * 2.0 * (batch / self.carry()).powi(2);
        let slowness = 1.0 + cold * (COLD_SLOWNESS - 1.0);
        STEP * (1.0 + batch / f64::from(BATCH)) * slowness * strain
    }

    /// Prompt tokens that must be read; holds the prefixes from now on.
    fn lookup(&mut self, req: &trace::Request) -> f64 {
        let mut read = 50;
        let mut found = true;
        for (key, tokens) in [(req.root(), req.shared), (req.session, req.history)] {
            let held = self.cache.iter().position(|(held, _)| *held == key);
            found &= held.is_some();
            read += if found { 0 } else { tokens };
            self.found += if found { u64::from(tokens) } else { 0 };
            self.wanted += u64::from(tokens);
            if let Some(at) = held {
                self.cache.remove(at);
            }
            self.cache.push((key, tokens));
        }
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > CACHE {
            self.cache.remove(0);
        }
        f64::from(read)
    }
}
