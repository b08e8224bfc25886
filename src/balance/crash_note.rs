//! What gateways tell each other about crashes of backend servers.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::name;

/// One incarnation of a backend server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Incarnation<'a> {
    /// Name of the server.
    pub server: &'a name::Server,
    /// Start of the incarnation, in Unix milliseconds; 0 if it is not known.
    pub started_ms: u64,
    /// Group that the server is a rank of.
    pub group: Option<&'a str>,
}

/// One statement, which other gateways read from the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Note {
    /// A server crashed.
    Crash {
        /// Server that crashed.
        server: name::Server,
        /// Start of the incarnation that crashed, in Unix milliseconds.
        started_ms: u64,
        /// Group that the server is a rank of, which stalls with it.
        group: Option<String>,
        /// Gateway that saw the crash.
        gateway: name::Host,
        /// Fingerprints of the requests of that gateway that had just begun there.
        #[serde(rename = "parts")]
        fingerprints: BTreeSet<name::Fingerprint>,
        /// Number of crashes with a fingerprint, one after the other, that the gateway knew of when
        /// it sent the request with it; fingerprints without any are left out.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        recurrences: BTreeMap<name::Fingerprint, u32>,
    },
    /// Requests with a fingerprint are refused.
    Quarantine {
        /// Fingerprint of the requests.
        #[serde(rename = "part")]
        fingerprint: name::Fingerprint,
    },
    /// A request with a fingerprint was answered while it was quarantined: earlier crashes had
    /// another cause.
    Cleared {
        /// Fingerprint of the request.
        #[serde(rename = "part")]
        fingerprint: name::Fingerprint,
    },
}

impl Note {
    /// Returns the key of the note in the store; a note replaces the one with the same key.
    pub fn key(&self) -> String {
        match self {
            Self::Crash { server, started_ms, gateway, .. } => {
                format!("crash/{server}/{started_ms}/{gateway}")
            }
            Self::Quarantine { fingerprint } | Self::Cleared { fingerprint } => {
                fingerprint_key(fingerprint)
            }
        }
    }
}

/// Returns the key of the note on the quarantine of requests with `fingerprint`.
pub fn fingerprint_key(fingerprint: &name::Fingerprint) -> String {
    format!("part/{fingerprint}")
}
