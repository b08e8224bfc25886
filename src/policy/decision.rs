//! Routing decision for one request, with its reason.

use std::time;

use serde::Serialize;

use crate::name;

/// Reason why a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The server is assumed to cache the prompt's prefix and is not overloaded.
    Prefix,
    /// The server is the prefix's home, the first by rendezvous hashing, and not overloaded.
    Home,
    /// The server has the lowest load relative to its limit.
    LeastLoad,
    /// The server has a free slot, and no server in this entry's subset was suitable.
    Widened,
    /// No server has a free slot, and this one is probed because its report is old.
    Probe,
}

impl Reason {
    /// Returns the reason's label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::Home => "home",
            Self::LeastLoad => "least-load",
            Self::Widened => "widened",
            Self::Probe => "probe",
        }
    }
}

/// Reason why a request has to wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// Every server is taken out, leaving, ejected or already tried.
    NoServer,
    /// Every server is at its limit of requests in flight.
    AllFull,
    /// Every server with a free slot is too slow for the request's deadline.
    AllSlow,
}

/// Server that a request is sent to, or the reason why it waits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request is sent to a server.
    Send {
        /// The chosen server.
        server: name::Server,
        /// Reason for choosing the server.
        why: Reason,
    },
    /// The request has to wait, since no server can take it now.
    Wait {
        /// Reason for waiting.
        why: WaitReason,
        /// Delay after which routing is worth another attempt.
        retry_after: time::Duration,
    },
}

/// Routing decision as shown in the dump.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Time of the decision, since the start of the process.
    pub at: time::Duration,
    /// Chosen server or reason to wait.
    pub outcome: Outcome,
    /// Number of servers that could get new requests.
    pub eligible: u32,
    /// Number of eligible servers with a free slot.
    pub free: u32,
}

impl Decision {
    /// Returns the chosen server, if any.
    pub fn server(&self) -> Option<&name::Server> {
        match &self.outcome {
            Outcome::Send { server, .. } => Some(server),
            Outcome::Wait { .. } => None,
        }
    }
}
