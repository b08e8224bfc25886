//! The entry's state, owned by the stakker thread: picks a backend server for each request.

use std::{collections, net, sync::Arc, sync::mpsc, time};

use tokio::sync::oneshot;

use super::Refusal;
use crate::{config, name, view, wire};

/// What reaches the core.
pub enum Event {
    /// Another configuration or other places.
    View(Arc<view::View>),
    /// A request wants a backend server.
    Route(Box<Ask>),
    /// News of an attempt.
    News {
        /// The backend server concerned.
        server: name::Server,
        /// What was seen.
        outcome: Outcome,
        /// Whether the attempt is over.
        over: bool,
    },
    /// The state is asked for, as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The process was told to end.
    Terminate,
    /// The callers' port has closed and all answers have been flushed.
    Drained,
}

/// A request that wants a backend server.
#[derive(Debug)]
pub struct Ask {
    /// The request.
    pub id: wire::RequestId,
    /// Service called.
    pub service: name::Service,
    /// Caller's workspace.
    pub workspace: name::Workspace,
    /// Interactive or batch.
    pub priority: config::Priority,
    /// When the answer must be complete.
    pub deadline: time::Instant,
    /// Fingerprint of the prompt's beginning.
    pub prefix: u64,
    /// Tokens that the call may generate.
    pub tokens: u32,
    /// Backend servers tried before.
    pub tried: Vec<name::Server>,
    /// Where the decision goes.
    pub tx: oneshot::Sender<Result<Target, Refusal>>,
}

/// The backend server chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its name.
    pub server: name::Server,
    /// Address of its sidecar.
    pub address: net::SocketAddr,
}

/// What an attempt showed of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its sidecar could not be reached.
    Unreachable,
    /// Its sidecar refused.
    Refused {
        /// Why.
        why: wire::Refusal,
        /// When trying again makes sense.
        after: time::Duration,
        /// Load then.
        load: wire::Load,
        /// Configuration version of the sidecar.
        version: u64,
    },
    /// Its sidecar admitted the call.
    Admitted {
        /// Load then.
        load: wire::Load,
        /// Configuration version of the sidecar.
        version: u64,
    },
    /// It still works on the call.
    Alive {
        /// Load then.
        load: wire::Load,
    },
    /// It answered whole.
    Finished {
        /// Load then.
        load: wire::Load,
    },
    /// It broke off.
    Broken,
    /// The caller went away.
    Cancelled,
}

impl Outcome {
    /// Its label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused { .. } => "refused",
            Self::Admitted { .. } => "admitted",
            Self::Alive { .. } => "alive",
            Self::Finished { .. } => "whole",
            Self::Broken => "broken",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A routed attempt; reports its end when dropped.
pub struct Routed {
    /// The backend server.
    pub server: name::Server,
    /// Address of its sidecar.
    pub address: net::SocketAddr,
    events: mpsc::Sender<Event>,
    outcome: Option<Outcome>,
}

impl Routed {
    /// Wraps a decision of the core.
    pub fn new(to: Target, events: mpsc::Sender<Event>) -> Self {
        let outcome = Some(Outcome::Cancelled);
        Self { server: to.server, address: to.address, events, outcome }
    }

    /// Tells what was seen while the attempt goes on.
    pub fn tell(&self, outcome: Outcome) {
        let server = self.server.clone();
        let _ = self.events.send(Event::News { server, outcome, over: false });
    }

    /// Ends the attempt with `outcome`.
    pub fn report(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Routed {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            let server = self.server.clone();
            let _ = self.events.send(Event::News { server, outcome, over: true });
        }
    }
}

/// What the entry knows of one backend server.
#[derive(Clone, Debug, Default, serde::Serialize)]
struct Known {
    in_flight: u32,
    load: wire::Load,
    failures: u32,
}

/// The entry's state.
#[derive(Default)]
pub struct Core {
    view: Arc<view::View>,
    servers: collections::BTreeMap<name::Server, Known>,
}

impl Core {
    /// A core that knows no configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes another view into force.
    pub fn view(&mut self, view: Arc<view::View>) {
        self.servers.retain(|name, _| view.config.servers.contains_key(name));
        self.view = view;
    }

    /// Picks a backend server for `ask` and answers it.
    pub fn route(&mut self, ask: Ask) {
        let decision = self.pick(&ask);
        if let Ok(to) = &decision {
            self.servers.entry(to.server.clone()).or_default().in_flight += 1;
        }
        if let Err(Ok(to)) = ask.tx.send(decision) {
            self.news(&to.server, &Outcome::Cancelled, true);
        }
    }

    fn pick(&self, ask: &Ask) -> Result<Target, Refusal> {
        let busy = |name: &name::Server| match self.servers.get(name) {
            Some(known) => (known.failures, known.in_flight.max(known.load.in_flight)),
            None => (0, 0),
        };
        self.view
            .candidates(&ask.service)
            .filter(|(name, ..)| !ask.tried.contains(name))
            .min_by_key(|(name, ..)| busy(name))
            .map(|(name, _, address)| Target { server: name.clone(), address })
            .ok_or(Refusal::Unavailable { after: time::Duration::from_secs(1) })
    }

    /// Takes news of an attempt at `server`.
    pub fn news(&mut self, server: &name::Server, outcome: &Outcome, over: bool) {
        let Some(known) = self.servers.get_mut(server) else { return };
        known.in_flight -= u32::from(over && known.in_flight > 0);
        match outcome {
            Outcome::Admitted { load, .. } | Outcome::Alive { load } => known.load = *load,
            Outcome::Refused { load, .. } => known.load = *load,
            Outcome::Finished { load } => {
                known.load = *load;
                known.failures = 0;
            }
            Outcome::Unreachable | Outcome::Broken => known.failures += 1,
            Outcome::Cancelled => {}
        }
    }

    /// The state as JSON, for the dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "role": "entry",
            "version": self.view.version,
            "out": self.view.out,
            "servers": self.servers,
        })
    }
}
