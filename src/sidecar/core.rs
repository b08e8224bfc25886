//! The sidecar's state, owned by the stakker thread: the admission gate of its backend server.

use std::{sync::Arc, time};

use tokio::sync::oneshot;

use super::health;
use crate::{
    metrics, name,
    policy::gate::{self, Gate},
    view, wire,
};

/// Message to the core.
pub enum Event {
    /// The configuration, or the address of a sidecar, has changed.
    View(Arc<view::View>),
    /// A call asks for admission.
    Admit(Box<AdmitRequest>),
    /// The backend server sent events of an admitted call.
    Progress {
        /// Slot of the call, as assigned by [`Decision::Admitted`].
        slot: u64,
        /// Number of events since the last report.
        events: u64,
    },
    /// An admitted call has ended, and the exchange with the backend server is closed.
    CallEnded {
        /// Slot of the call.
        slot: u64,
        /// How the call ended.
        ending: gate::Ending,
    },
    /// Health of the backend server; `None` if it did not answer.
    Health(Option<health::Health>),
    /// Requests the current load of the backend server for a call; the core sends it on the
    /// channel.
    Load(oneshot::Sender<wire::Load>),
    /// Requests the core's state as JSON for a dump; the core sends it on the channel.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The process received a signal to terminate.
    Terminate,
    /// The peers' port is closed and all answers have been flushed.
    Drained,
}

/// Request to admit a call.
#[derive(Debug)]
pub struct AdmitRequest {
    /// Backend server that the entry chose.
    pub server: name::Server,
    /// Time left to the caller's deadline.
    pub time_left: time::Duration,
    /// Channel for the decision.
    pub tx: oneshot::Sender<Decision>,
}

/// Decision on a request for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call may be sent to the backend server.
    Admitted {
        /// Slot of the call.
        slot: u64,
        /// Current load.
        load: wire::Load,
        /// Configuration version in force at this sidecar.
        version: u64,
    },
    /// The call is refused and does not run.
    Refused {
        /// Reason of the refusal.
        reason: wire::Refusal,
        /// Time after which a retry makes sense.
        retry_after: time::Duration,
        /// Current load.
        load: wire::Load,
        /// Configuration version in force at this sidecar.
        version: u64,
    },
}

/// Time after which the entry may retry a call that was refused before it reached the gate.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// State of the sidecar.
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
    /// Creates the core of the sidecar of `server`, which admits no call before the server's health
    /// and a configuration are known.
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

    /// Returns the metrics of calls and of the gate.
    pub fn metrics(&self) -> &metrics::Sidecar {
        &self.metrics
    }

    /// Puts `view` in force: sets the gate's upper bound, and drains or reopens the gate if the
    /// server went out of or into service.
    pub fn apply_view(&mut self, view: Arc<view::View>) {
        let server = view.config.servers.get(&self.server);
        let service = server.and_then(|server| view.config.services.get(&server.service));
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
        self.metrics.page.set_version(self.view.version);
        self.update_metrics();
    }

    /// Decides on `request` and sends the decision.
    pub fn admit(&mut self, request: AdmitRequest, now: time::Duration) {
        let decision = self.decide(&request, now);
        if let Decision::Refused { reason, .. } = decision {
            self.metrics.count_refusal(reason);
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

    /// Records events that the backend server sent for the call in `slot`.
    pub fn record_progress(&mut self, slot: u64, events: u64, now: time::Duration) {
        if let Some(permit) = self.permits.get_mut(&slot) {
            self.gate.record_events(permit, events, now);
        }
    }

    /// Frees the slot of a call that has ended.
    pub fn end_call(&mut self, slot: u64, ending: gate::Ending, now: time::Duration) {
        if let Some(permit) = self.permits.remove(&slot) {
            self.metrics.count_call(ending.label(), now.saturating_sub(permit.admitted_at()));
            self.gate.release(permit, ending, now);
        }
        self.update_metrics();
    }

    /// Records the result of a health poll; `None` if the backend server did not answer.
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

    /// Refuses new calls from now on, because the process is ending.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
        self.gate.drain();
        self.update_metrics();
    }

    fn update_metrics(&self) {
        self.metrics.set_load(&self.load(), self.reachable);
        self.metrics.page.set_ready(!self.leaving && !self.out && self.reachable);
    }

    /// Returns whether this sidecar is leaving and has no calls in flight.
    pub fn has_left(&self) -> bool {
        self.leaving && self.gate.is_idle()
    }

    /// Returns the current load.
    pub fn load(&self) -> wire::Load {
        let load = self.gate.load();
        let limit = if self.reachable { load.limit } else { 0 };
        wire::Load { limit, leaving: self.leaving || self.out, ..load }
    }

    /// Returns the state as JSON, for the dump.
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
