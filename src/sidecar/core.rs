//! The sidecar's state, owned by the stakker thread: the gate of its backend server.

use std::{sync::Arc, time};

use tokio::sync::oneshot;

use super::health;
use crate::{
    metrics, name,
    policy::gate::{self, Gate},
    view, wire,
};

/// What reaches the core.
pub enum Event {
    /// Another configuration or other places.
    View(Arc<view::View>),
    /// A call wants to be admitted.
    Admit(Box<AdmitRequest>),
    /// An admitted call got events from the backend server.
    Progress {
        /// The call's place in the core, as [`Decision::Admitted`] gave it.
        slot: u64,
        /// Events since the last report.
        events: u64,
    },
    /// An admitted call is over; nothing of it is at the backend server any more.
    CallEnded {
        /// The call's place in the core.
        slot: u64,
        /// How it ended.
        ending: gate::Ending,
    },
    /// The backend server's health; `None` if it did not answer.
    Health(Option<health::Health>),
    /// The load is asked for.
    Load(oneshot::Sender<wire::Load>),
    /// The state is asked for, as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The process was told to end.
    Terminate,
    /// The peers' port has closed and all answers have been flushed.
    Drained,
}

/// A call that wants to be admitted.
#[derive(Debug)]
pub struct AdmitRequest {
    /// Backend server that the entry means.
    pub server: name::Server,
    /// Time left to the caller's deadline.
    pub time_left: time::Duration,
    /// Where the decision goes.
    pub tx: oneshot::Sender<Decision>,
}

/// Decision about a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Goes to the backend server.
    Admitted {
        /// The call's place in the core.
        slot: u64,
        /// Load now.
        load: wire::Load,
        /// Configuration version in force here.
        version: u64,
    },
    /// Did not run.
    Refused {
        /// Why.
        reason: wire::Refusal,
        /// When trying again makes sense.
        retry_after: time::Duration,
        /// Load now.
        load: wire::Load,
        /// Configuration version in force here.
        version: u64,
    },
}

/// Wait named where the gate knows no better.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// The sidecar's state.
pub struct Core {
    server: name::Server,
    view: Arc<view::View>,
    gate: Gate,
    permits: std::collections::BTreeMap<u64, gate::Permit>,
    next_slot: u64,
    reachable: bool,
    leaving: bool,
    out: bool,
    metrics: metrics::Sidecar,
}

impl Core {
    /// The core of the sidecar beside `server`; takes no work before its first health.
    pub fn new(server: name::Server) -> Self {
        Self {
            server,
            view: Arc::default(),
            gate: Gate::new(1),
            permits: Default::default(),
            next_slot: 0,
            reachable: false,
            leaving: false,
            out: false,
            metrics: metrics::Sidecar::new(),
        }
    }

    /// Counts of calls and the state of the gate.
    pub fn metrics(&self) -> &metrics::Sidecar {
        &self.metrics
    }

    /// Takes another view into force.
    pub fn apply_view(&mut self, view: Arc<view::View>) {
        let known = view.config.servers.get(&self.server);
        let service = known.and_then(|known| view.config.services.get(&known.service));
        if let Some(service) = service {
            self.gate.set_max_limit(service.limits.in_flight_per_server);
        }
        let out = !view.allows(&self.server);
        match (out, self.out) {
            (true, false) => self.gate.drain(),
            (false, true) if !self.leaving => self.gate.reopen(),
            _ => {}
        }
        self.out = out;
        self.view = view;
        self.metrics.page.version(self.view.version);
        self.update_metrics();
    }

    /// Decides about `ask` and answers it.
    pub fn admit(&mut self, request: AdmitRequest, now: time::Duration) {
        let decision = self.decide(&request, now);
        if let Decision::Refused { reason, .. } = decision {
            self.metrics.refused(reason);
        }
        self.update_metrics();
        if let Err(Decision::Admitted { slot, .. }) = request.tx.send(decision) {
            self.end_call(slot, gate::Ending::Cancelled, now);
        }
    }

    fn decide(&mut self, request: &AdmitRequest, now: time::Duration) -> Decision {
        match () {
            () if request.server != self.server => {
                self.refuse(wire::Refusal::WrongServer, DEFAULT_RETRY_AFTER)
            }
            () if self.leaving || self.out => {
                self.refuse(wire::Refusal::Leaving, DEFAULT_RETRY_AFTER)
            }
            () if !self.reachable || self.view.version == 0 => {
                self.refuse(wire::Refusal::Unreachable, DEFAULT_RETRY_AFTER)
            }
            () if request.time_left.is_zero() => {
                self.refuse(wire::Refusal::TooLate, DEFAULT_RETRY_AFTER)
            }
            () => match self.gate.admit(now) {
                Ok(permit) => self.accept(permit),
                Err(refusal) => self.refuse(refusal.reason, refusal.retry_after),
            },
        }
    }

    fn accept(&mut self, permit: gate::Permit) -> Decision {
        let slot = self.next_slot;
        self.next_slot += 1;
        self.permits.insert(slot, permit);
        Decision::Admitted { slot, load: self.load(), version: self.view.version }
    }

    fn refuse(&self, reason: wire::Refusal, retry_after: time::Duration) -> Decision {
        Decision::Refused { reason, retry_after, load: self.load(), version: self.view.version }
    }

    /// Notes events that the backend server sent for the call at `slot`.
    pub fn record_progress(&mut self, slot: u64, events: u64, now: time::Duration) {
        if let Some(permit) = self.permits.get_mut(&slot) {
            self.gate.record_events(permit, events, now);
        }
    }

    /// Frees the place of a call that is over.
    pub fn end_call(&mut self, slot: u64, ending: gate::Ending, now: time::Duration) {
        if let Some(permit) = self.permits.remove(&slot) {
            self.metrics.over(ending.label(), now.saturating_sub(permit.admitted_at()));
            self.gate.release(permit, ending, now);
        }
        self.update_metrics();
    }

    /// Takes the backend server's health.
    pub fn record_health(&mut self, health: Option<health::Health>, now: time::Duration) {
        self.reachable = health.is_some();
        self.gate.check_stall(now);
        if let Some(health) = health {
            self.gate.record_incarnation(health.incarnation);
            self.gate.record_warmth(health.warm.unwrap_or(true));
            self.gate.set_tokens(health.tokens);
        }
        self.update_metrics();
    }

    /// Refuses new work from now on.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
        self.gate.drain();
        self.update_metrics();
    }

    fn update_metrics(&self) {
        self.metrics.load(&self.load(), self.reachable);
        self.metrics.page.ready(!self.leaving && !self.out && self.reachable);
    }

    /// Whether this sidecar takes no new work and has none in flight.
    pub fn has_left(&self) -> bool {
        self.leaving && self.gate.is_idle()
    }

    /// Load now.
    pub fn load(&self) -> wire::Load {
        let load = self.gate.load();
        let limit = if self.reachable { load.limit } else { 0 };
        wire::Load { limit, leaving: self.leaving || self.out, ..load }
    }

    /// The state as JSON, for the dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "role": "sidecar",
            "server": self.server,
            "version": self.view.version,
            "out": self.view.out,
            "reachable": self.reachable,
            "load": self.load(),
        })
    }
}
