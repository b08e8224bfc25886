//! State of the engine: its batch, prompt cache, warm-up, received orders, faults and counters.

use std::{
    collections::{BTreeMap, VecDeque},
    process, time,
};

use serde::{Deserialize, Serialize};

use crate::{Args, prefix};

/// Factor by which the time between tokens grows while the engine is cold.
const COLD_SLOWDOWN: f64 = 3.0;

/// One run of a request that was admitted to the batch.
pub struct Ticket {
    run: u64,
    incarnation: u64,
    /// Time for the computation of the prompt blocks that are not cached.
    pub prefill: time::Duration,
    /// Number of tokens of an answer when the request has no `max_tokens`.
    pub tokens: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The whole answer was sent.
    Whole,
    /// The request was cancelled by DELETE.
    Cancelled,
    /// The client had closed the connection.
    ClientGone,
    /// The engine cut the answer because of a fault.
    Cut,
}

/// Faults that the engine produces; the usage text of the program explains each.
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

/// Number of runs of one request, by how they ended.
#[derive(Clone, Default, Serialize)]
pub struct Runs {
    runs: u64,
    whole: u64,
    cancelled: u64,
    gone: u64,
    cut: u64,
}

/// Order as it was received, and whether it was accepted.
#[derive(Clone, Serialize)]
pub struct Order {
    fence: u64,
    body: String,
    taken: bool,
}

/// Answer to `GET /health`.
#[derive(Clone, Serialize)]
pub struct Health {
    incarnation: u64,
    warm: bool,
}

/// Answer to `GET /load`.
#[derive(Clone, Default, Serialize)]
pub struct Load {
    incarnation: u64,
    in_flight: u64,
    tokens: u64,
    warm: bool,
    cache_hits: u64,
    cache_misses: u64,
}

/// Answer to `GET /counts`.
#[derive(Clone, Default, Serialize)]
pub struct Counts {
    /// Runs by X-Request-Id.
    requests: BTreeMap<String, Runs>,
    in_flight: u64,
    peak: u64,
    /// Maximum number of requests in flight while cold.
    cold_peak: u64,
    cancelled: u64,
    gone: u64,
    cut: u64,
    fell_over: u64,
    cache_hits: u64,
    cache_misses: u64,
    orders: Vec<Order>,
}

/// State of the engine.
pub struct Engine {
    args: Args,
    started: time::Instant,
    /// Time since the start at which the engine turns warm.
    cold_until: time::Duration,
    incarnation: u64,
    started_runs: u64,
    /// Request id of each run in the batch.
    running: BTreeMap<u64, String>,
    /// Cancelled runs that are still in the batch.
    cancelled: BTreeMap<u64, Ending>,
    cache: prefix::PrefixCache,
    counts: Counts,
    /// Highest fencing token received.
    fence: u64,
    faults: Faults,
    /// Time since the start at which the stall ends.
    stalled_until: time::Duration,
    recent_loads: VecDeque<(time::Duration, Load)>,
}

impl Engine {
    /// Creates an engine that has just started.
    pub fn new(args: Args) -> Self {
        let cold_until = time::Duration::from_millis(args.cold_ms);
        Self {
            cache: prefix::PrefixCache::new(args.cache_blocks),
            args,
            started: time::Instant::now(),
            cold_until,
            // Differs between processes on the same host.
            incarnation: u64::from(process::id()) << 20,
            started_runs: 0,
            running: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            counts: Counts::default(),
            fence: 0,
            faults: Faults::default(),
            stalled_until: time::Duration::ZERO,
            recent_loads: VecDeque::new(),
        }
    }

    /// Adds a request to the batch; returns `None` if the engine fails the request. A cold engine
    /// with more requests than `--cold-limit` crashes and restarts.
    pub fn admit(&mut self, id: &str, prompt: &[u8]) -> Option<Ticket> {
        if self.faults.fail > 0 {
            self.faults.fail -= 1;
            return None;
        }
        self.started_runs += 1;
        self.running.insert(self.started_runs, id.to_owned());
        self.counts.requests.entry(id.to_owned()).or_default().runs += 1;
        let in_flight = self.running.len() as u64;
        self.counts.peak = self.counts.peak.max(in_flight);
        if !self.is_warm() {
            self.counts.cold_peak = self.counts.cold_peak.max(in_flight);
        }
        let ticket = Ticket {
            run: self.started_runs,
            incarnation: self.incarnation,
            prefill: self.prefill_time(prompt),
            tokens: self.args.tokens,
        };
        self.record_load();
        if !self.is_warm() && in_flight > self.args.cold_limit {
            self.counts.fell_over += 1;
            self.restart();
            self.remove(id, &ticket, Ending::Cut);
            return None;
        }
        Some(ticket)
    }

    /// Removes a run from the batch and counts how it ended.
    pub fn remove(&mut self, id: &str, ticket: &Ticket, ending: Ending) {
        self.running.remove(&ticket.run);
        self.cancelled.remove(&ticket.run);
        let runs = self.counts.requests.entry(id.to_owned()).or_default();
        match ending {
            Ending::Whole => runs.whole += 1,
            Ending::Cancelled => {
                runs.cancelled += 1;
                self.counts.cancelled += 1;
            }
            Ending::ClientGone => {
                runs.gone += 1;
                self.counts.gone += 1;
            }
            Ending::Cut => {
                runs.cut += 1;
                self.counts.cut += 1;
            }
        }
        self.record_load();
    }

    /// Returns how a run ended if it ended before its event number `event`.
    pub fn check_ended(&self, ticket: &Ticket, event: u64) -> Option<Ending> {
        match self.faults.cut {
            _ if ticket.incarnation != self.incarnation => Some(Ending::Cut),
            Some(cut) if event > cut => Some(Ending::Cut),
            _ => self.cancelled.get(&ticket.run).copied(),
        }
    }

    /// Marks the runs of request `id` as cancelled; returns whether there was one.
    pub fn cancel(&mut self, id: &str) -> bool {
        let runs: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, request)| *request == id)
            .map(|(run, _)| *run)
            .collect();
        self.cancelled.extend(runs.iter().map(|run| (*run, Ending::Cancelled)));
        !runs.is_empty()
    }

    /// Returns the time to the next token, which grows with the batch and while cold.
    pub fn token_interval(&self) -> time::Duration {
        let batch = 1.0 + self.running.len().saturating_sub(1) as f64 / self.args.batch as f64;
        let cold = if self.is_warm() { 1.0 } else { COLD_SLOWDOWN };
        let slow = self.faults.slow.unwrap_or(1.0);
        time::Duration::from_secs_f64(self.args.token_ms / 1e3 * batch * cold * slow)
    }

    /// Returns the remaining time of a stall.
    pub fn remaining_stall(&self) -> time::Duration {
        self.stalled_until.saturating_sub(self.now())
    }

    /// Returns the current incarnation and whether the engine is warm.
    pub fn health(&self) -> Health {
        Health { incarnation: self.incarnation, warm: self.is_warm() }
    }

    /// Returns the load as it was `--load-lag-ms` ago.
    pub fn delayed_load(&mut self) -> Load {
        self.record_load();
        let until = self.now().saturating_sub(time::Duration::from_millis(self.args.load_lag_ms));
        let delayed = self.recent_loads.iter().rev().find(|(at, _)| *at <= until);
        delayed.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    /// Returns the cache events after sequence number `after`, with the delay and the gaps that the
    /// options set.
    pub fn published_events(&self, after: u64) -> Vec<prefix::Event> {
        let until = self.now().as_millis() as u64;
        self.cache.events_between(
            after,
            until.saturating_sub(self.args.event_lag_ms),
            self.args.event_gap,
        )
    }

    /// Receives an order; returns `false` if fencing tokens are checked and an earlier order had a
    /// higher one.
    pub fn accept_order(&mut self, fence: u64, body: String) -> bool {
        let accepted = !self.args.check_fences || fence >= self.fence;
        self.fence = self.fence.max(fence);
        self.counts.orders.push(Order { fence, body, taken: accepted });
        accepted
    }

    /// Replaces the faults in force.
    pub fn set_faults(&mut self, faults: &Faults) {
        self.faults = *faults;
        self.stalled_until = self.now() + time::Duration::from_millis(faults.stall);
        match faults {
            Faults { restart: true, .. } => self.restart(),
            Faults { cold: true, .. } => self.turn_cold(),
            _ => {}
        }
    }

    /// Returns all counters.
    pub fn counts(&self) -> Counts {
        Counts {
            in_flight: self.running.len() as u64,
            cache_hits: self.cache.hits,
            cache_misses: self.cache.misses,
            ..self.counts.clone()
        }
    }

    fn prefill_time(&mut self, prompt: &[u8]) -> time::Duration {
        let at_ms = self.now().as_millis() as u64;
        let blocks = self.cache.look_up(prompt, at_ms);
        time::Duration::from_millis(blocks * self.args.prefill_ms)
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.cache.clear();
        self.turn_cold();
    }

    fn turn_cold(&mut self) {
        self.cold_until = self.now() + time::Duration::from_millis(self.args.cold_ms);
    }

    fn is_warm(&self) -> bool {
        self.now() >= self.cold_until
    }

    fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    fn record_load(&mut self) {
        let now = self.now();
        let load = Load {
            incarnation: self.incarnation,
            in_flight: self.running.len() as u64,
            tokens: self.running.len() as u64 * self.args.tokens,
            warm: self.is_warm(),
            cache_hits: self.cache.hits,
            cache_misses: self.cache.misses,
        };
        self.recent_loads.push_back((now, load));
        let lag = time::Duration::from_millis(self.args.load_lag_ms);
        while self.recent_loads.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.recent_loads.pop_front();
        }
    }
}
