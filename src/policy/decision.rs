//! What routing decided for one request, and why.

use std::time;

use serde::Serialize;

use crate::name;

/// Reason a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It is thought to hold the prompt's prefix and is not overfull.
    Prefix,
    /// It is first in the prefix's own order of servers and is not overfull.
    Home,
    /// It has the least load for its limit.
    LeastLoad,
    /// Nothing that this entry keeps in touch with was free; this one was.
    Widened,
    /// Its report is old and nothing else is free; it is asked again.
    Probe,
}

impl Reason {
    /// Its label in metrics.
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

/// Reason no server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// Every server is out, leaving, ejected or already tried.
    NoServer,
    /// Every server is at its limit.
    AllFull,
    /// The servers with a free slot are too slow for its deadline.
    AllSlow,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// To this server.
    Send {
        /// The server.
        server: name::Server,
        /// Reason this one.
        why: Reason,
    },
    /// To none now.
    Wait {
        /// Reason none.
        why: WaitReason,
        /// When asking again makes sense.
        retry_after: time::Duration,
    },
}

/// One decision, as the dump shows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// When it was made.
    pub at: time::Duration,
    /// Where the request goes.
    pub outcome: Outcome,
    /// Servers that may have new work.
    pub eligible: u32,
    /// Servers among them with a free slot.
    pub free: u32,
}

impl Decision {
    /// The server chosen, if any.
    pub fn server(&self) -> Option<&name::Server> {
        match &self.outcome {
            Outcome::Send { server, .. } => Some(server),
            Outcome::Wait { .. } => None,
        }
    }
}
