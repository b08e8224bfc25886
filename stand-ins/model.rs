//! The state of one engine: its batch, its warmth, what it was ordered and what it counted.

use std::{
    collections::{BTreeMap, VecDeque},
    process, time,
};

use serde::{Deserialize, Serialize};

use crate::{Args, prefix};

/// How much slower a cold engine is.
const COLD: f64 = 3.0;

/// One admitted run of a request.
pub struct Ticket {
    run: u64,
    incarnation: u64,
    /// Time to compute the prompt.
    pub prefill: time::Duration,
    /// Tokens of the answer unless the request says otherwise.
    pub tokens: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Sent to its end.
    Whole,
    /// Cancelled by DELETE.
    Cancelled,
    /// The reader had gone.
    Gone,
    /// The engine broke it off.
    Cut,
}

/// Faults to produce.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    cold: bool,
    restart: bool,
    slow: Option<f64>,
    fail: u64,
    cut: Option<u64>,
    stall: u64,
}

/// Runs of one request.
#[derive(Clone, Default, Serialize)]
pub struct Runs {
    runs: u64,
    whole: u64,
    cancelled: u64,
    gone: u64,
    cut: u64,
}

/// An order as it came.
#[derive(Clone, Serialize)]
pub struct Order {
    fence: u64,
    body: String,
    taken: bool,
}

/// What GET /health says.
#[derive(Clone, Serialize)]
pub struct Health {
    incarnation: u64,
    warm: bool,
}

/// What GET /load says.
#[derive(Clone, Default, Serialize)]
pub struct Load {
    incarnation: u64,
    in_flight: u64,
    tokens: u64,
    warm: bool,
    cache_hits: u64,
    cache_misses: u64,
}

/// What GET /counts says.
#[derive(Clone, Default, Serialize)]
pub struct Counts {
    /// By X-Request-Id.
    requests: BTreeMap<String, Runs>,
    in_flight: u64,
    peak: u64,
    /// Most in flight while cold.
    cold_peak: u64,
    cancelled: u64,
    gone: u64,
    cut: u64,
    fell_over: u64,
    cache_hits: u64,
    cache_misses: u64,
    orders: Vec<Order>,
}

/// The engine.
pub struct Model {
    args: Args,
    started: time::Instant,
    cold_until: time::Duration,
    incarnation: u64,
    runs: u64,
    flying: BTreeMap<u64, String>,
    cancelled: BTreeMap<u64, End>,
    cache: prefix::PrefixCache,
    counts: Counts,
    fence: u64,
    faults: Faults,
    stalled_until: time::Duration,
    past: VecDeque<(time::Duration, Load)>,
}

impl Model {
    /// An engine that has just started.
    pub fn new(args: Args) -> Self {
        let cold_until = time::Duration::from_millis(args.cold_ms);
        Self {
            cache: prefix::PrefixCache::new(args.cache_blocks),
            args,
            started: time::Instant::now(),
            cold_until,
            // Differs from one process to the next on the same host.
            incarnation: u64::from(process::id()) << 20,
            runs: 0,
            flying: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            counts: Counts::default(),
            fence: 0,
            faults: Faults::default(),
            stalled_until: time::Duration::ZERO,
            past: VecDeque::new(),
        }
    }

    /// Takes a request into the batch; `None` if the engine fails it.
    pub fn admit(&mut self, id: &str, prompt: &[u8]) -> Option<Ticket> {
        if self.faults.fail > 0 {
            self.faults.fail -= 1;
            return None;
        }
        self.runs += 1;
        self.flying.insert(self.runs, id.to_owned());
        self.counts.requests.entry(id.to_owned()).or_default().runs += 1;
        let flying = self.flying.len() as u64;
        self.counts.peak = self.counts.peak.max(flying);
        if !self.warm() {
            self.counts.cold_peak = self.counts.cold_peak.max(flying);
        }
        let ticket = Ticket {
            run: self.runs,
            incarnation: self.incarnation,
            prefill: self.prefill(prompt),
            tokens: self.args.tokens,
        };
        self.note();
        if !self.warm() && flying > self.args.cold_limit {
            self.counts.fell_over += 1;
            self.restart();
            self.leave(id, &ticket, End::Cut);
            return None;
        }
        Some(ticket)
    }

    /// Takes a request out of the batch.
    pub fn leave(&mut self, id: &str, ticket: &Ticket, end: End) {
        self.flying.remove(&ticket.run);
        self.cancelled.remove(&ticket.run);
        let runs = self.counts.requests.entry(id.to_owned()).or_default();
        match end {
            End::Whole => runs.whole += 1,
            End::Cancelled => {
                runs.cancelled += 1;
                self.counts.cancelled += 1;
            }
            End::Gone => {
                runs.gone += 1;
                self.counts.gone += 1;
            }
            End::Cut => {
                runs.cut += 1;
                self.counts.cut += 1;
            }
        }
        self.note();
    }

    /// Whether a run is over before its event `sent`, and how.
    pub fn fate(&self, ticket: &Ticket, sent: u64) -> Option<End> {
        match self.faults.cut {
            _ if ticket.incarnation != self.incarnation => Some(End::Cut),
            Some(cut) if sent > cut => Some(End::Cut),
            _ => self.cancelled.get(&ticket.run).copied(),
        }
    }

    /// Marks the runs of request `id` as cancelled; whether there was one.
    pub fn cancel(&mut self, id: &str) -> bool {
        let runs: Vec<u64> =
            self.flying.iter().filter(|(_, flying)| *flying == id).map(|(run, _)| *run).collect();
        self.cancelled.extend(runs.iter().map(|run| (*run, End::Cancelled)));
        !runs.is_empty()
    }

    /// Time to the next token: longer with the batch, and while cold.
    pub fn pace(&self) -> time::Duration {
        let batch = 1.0 + self.flying.len().saturating_sub(1) as f64 / self.args.batch as f64;
        let cold = if self.warm() { 1.0 } else { COLD };
        let slow = self.faults.slow.unwrap_or(1.0);
        time::Duration::from_secs_f64(self.args.token_ms / 1e3 * batch * cold * slow)
    }

    /// How long the engine still stands still.
    pub fn stalled(&self) -> time::Duration {
        self.stalled_until.saturating_sub(self.now())
    }

    /// Incarnation and warmth now.
    pub fn health(&self) -> Health {
        Health { incarnation: self.incarnation, warm: self.warm() }
    }

    /// Load as it was a while ago.
    pub fn lagging(&mut self) -> Load {
        self.note();
        let until = self.now().saturating_sub(time::Duration::from_millis(self.args.load_lag_ms));
        let old = self.past.iter().rev().find(|(at, _)| *at <= until);
        old.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    /// Cache events after `after`, late and with gaps.
    pub fn events(&self, after: u64) -> Vec<prefix::Event> {
        let until = self.now().as_millis() as u64;
        self.cache.events_between(
            after,
            until.saturating_sub(self.args.event_lag_ms),
            self.args.event_gap,
        )
    }

    /// Takes an order; `false` if it carries an old fencing number and fences are checked.
    pub fn order(&mut self, fence: u64, body: String) -> bool {
        let taken = !self.args.check_fences || fence >= self.fence;
        self.fence = self.fence.max(fence);
        self.counts.orders.push(Order { fence, body, taken });
        taken
    }

    /// Sets faults.
    pub fn fault(&mut self, faults: &Faults) {
        self.faults = *faults;
        self.stalled_until = self.now() + time::Duration::from_millis(faults.stall);
        match faults {
            Faults { restart: true, .. } => self.restart(),
            Faults { cold: true, .. } => self.cool(),
            _ => {}
        }
    }

    /// Everything counted so far.
    pub fn counts(&self) -> Counts {
        Counts {
            in_flight: self.flying.len() as u64,
            cache_hits: self.cache.hits,
            cache_misses: self.cache.misses,
            ..self.counts.clone()
        }
    }

    fn prefill(&mut self, prompt: &[u8]) -> time::Duration {
        let at_ms = self.now().as_millis() as u64;
        let blocks = self.cache.look_up(prompt, at_ms);
        time::Duration::from_millis(blocks * self.args.prefill_ms)
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.cache.clear();
        self.cool();
    }

    fn cool(&mut self) {
        self.cold_until = self.now() + time::Duration::from_millis(self.args.cold_ms);
    }

    fn warm(&self) -> bool {
        self.now() >= self.cold_until
    }

    fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    fn note(&mut self) {
        let now = self.now();
        let load = Load {
            incarnation: self.incarnation,
            in_flight: self.flying.len() as u64,
            tokens: self.flying.len() as u64 * self.args.tokens,
            warm: self.warm(),
            cache_hits: self.cache.hits,
            cache_misses: self.cache.misses,
        };
        self.past.push_back((now, load));
        let lag = time::Duration::from_millis(self.args.load_lag_ms);
        while self.past.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.past.pop_front();
        }
    }
}
