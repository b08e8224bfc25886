//! Messages from the I/O thread to the core, and the core's decisions.

use std::{net, sync::Arc, time};

use tokio::sync::oneshot;

use super::Refusal;
use crate::{
    config, name,
    policy::{prefix, scheduler},
    view, wire,
};

/// Message to the core.
pub enum Event {
    /// The configuration, or the address of a sidecar, has changed.
    View(Arc<view::View>),
    /// A request needs a backend server.
    Route(Box<RouteRequest>),
    /// The state of an attempt has changed.
    AttemptUpdate {
        /// The called service.
        service: name::Service,
        /// Ticket that the scheduler issued for the attempt.
        ticket: scheduler::Ticket,
        /// State or result of the attempt.
        outcome: Outcome,
        /// Whether the attempt has ended.
        ended: bool,
    },
    /// The dump needs the core's state as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The process received a signal to terminate.
    Terminate,
    /// The callers' port is closed and all answers have been flushed.
    Drained,
}

/// Request for a backend server.
#[derive(Debug)]
pub struct RouteRequest {
    /// Identity of the caller's request.
    pub id: wire::RequestId,
    /// The called service.
    pub service: name::Service,
    /// The caller's workspace.
    pub workspace: name::Workspace,
    /// Priority, interactive or batch.
    pub priority: config::Priority,
    /// When the entry received the request.
    pub arrived_at: time::Instant,
    /// When the answer must be complete.
    pub deadline: time::Instant,
    /// Keys of the prompt's prefixes.
    pub prefix_keys: prefix::PrefixKeys,
    /// Number of tokens that the call may still generate.
    pub max_tokens: u64,
    /// Backend servers that should not receive the request again.
    pub tried_servers: Vec<name::Server>,
    /// Whether the request is new, was refused or may have been started.
    pub submission: scheduler::Submission,
    /// Channel for the decision.
    pub tx: oneshot::Sender<Result<Target, Refusal>>,
}

/// The backend server chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of the server's sidecar.
    pub address: net::SocketAddr,
    /// The scheduler's ticket, which names the server.
    pub ticket: scheduler::Ticket,
}

/// State or result of an attempt, as reported to the core.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The sidecar could not be reached.
    Unreachable,
    /// The sidecar refused the call.
    Refused {
        /// Reason given by the sidecar.
        reason: wire::Refusal,
        /// Time after which another attempt makes sense.
        retry_after: time::Duration,
        /// Load of the server at that time.
        load: wire::Load,
    },
    /// The sidecar admitted the call.
    Admitted {
        /// Load of the server at that time.
        load: wire::Load,
    },
    /// The backend server is still working on the call.
    InProgress {
        /// Load of the server at that time.
        load: wire::Load,
    },
    /// The backend server's answer is complete.
    Completed {
        /// Load of the server at that time.
        load: wire::Load,
    },
    /// The attempt failed before the answer was complete.
    Failed,
    /// The caller disconnected, or no longer needs the attempt.
    Cancelled,
}

impl Outcome {
    /// Returns the label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused { .. } => "refused",
            Self::Admitted { .. } => "admitted",
            Self::InProgress { .. } => "alive",
            Self::Completed { .. } => "whole",
            Self::Failed => "broken",
            Self::Cancelled => "cancelled",
        }
    }
}
