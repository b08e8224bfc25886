//! What the I/O thread tells the core, and what the core decides.

use std::{net, sync::Arc, time};

use tokio::sync::oneshot;

use super::Refusal;
use crate::{
    config, name,
    policy::{prefix, scheduler},
    view, wire,
};

/// What reaches the core.
pub enum Event {
    /// Another configuration or other places.
    View(Arc<view::View>),
    /// A request wants a backend server.
    Route(Box<RouteRequest>),
    /// News of an attempt.
    AttemptUpdate {
        /// Service called.
        service: name::Service,
        /// The attempt's placement.
        ticket: scheduler::Ticket,
        /// What was seen.
        outcome: Outcome,
        /// Whether the attempt is over.
        ended: bool,
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
pub struct RouteRequest {
    /// The request.
    pub id: wire::RequestId,
    /// Service called.
    pub service: name::Service,
    /// Caller's workspace.
    pub workspace: name::Workspace,
    /// Interactive or batch.
    pub priority: config::Priority,
    /// When the request came.
    pub arrived_at: time::Instant,
    /// When the answer must be complete.
    pub deadline: time::Instant,
    /// Prefixes of the prompt.
    pub prefix_keys: prefix::PrefixKeys,
    /// Tokens that the call may still generate.
    pub max_tokens: u64,
    /// Backend servers that it should not go to again.
    pub tried_servers: Vec<name::Server>,
    /// How often it has been placed before.
    pub submission: scheduler::Submission,
    /// Where the decision goes.
    pub tx: oneshot::Sender<Result<Target, Refusal>>,
}

/// The backend server chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of its sidecar.
    pub address: net::SocketAddr,
    /// Its name, and what is noted of the placement.
    pub ticket: scheduler::Ticket,
}

/// What an attempt showed of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its sidecar could not be reached.
    Unreachable,
    /// Its sidecar refused.
    Refused {
        /// Why.
        reason: wire::Refusal,
        /// When trying again makes sense.
        retry_after: time::Duration,
        /// Load then.
        load: wire::Load,
    },
    /// Its sidecar admitted the call.
    Admitted {
        /// Load then.
        load: wire::Load,
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
