//! The addresses in use, written to a file where the settings name one.

use std::{fs, net, path};

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Addresses that a process listens on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ports {
    /// For callers; entries only.
    pub callers: Option<net::SocketAddr>,
    /// For operators.
    pub operators: net::SocketAddr,
    /// For other processes of the system.
    pub peers: net::SocketAddr,
}

impl Ports {
    /// Writes the addresses to `path` as JSON, all at once.
    pub fn write(&self, path: &path::Path) -> Result {
        let failed = |source| Error::File { path: path.display().to_string(), source };
        let text = serde_json::to_string(self).unwrap_or_default();
        let part = path.with_extension("part");
        fs::write(&part, text).map_err(failed)?;
        fs::rename(&part, path).map_err(failed)
    }
}
