//! The addresses that the process listens on, written to the ports file if the settings name one.

use std::{fs, net, path};

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Addresses that a process listens on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ports {
    /// Address for callers; only entries have one.
    pub callers: Option<net::SocketAddr>,
    /// Address for operators.
    pub operators: net::SocketAddr,
    /// Address for the other processes of the system.
    pub peers: net::SocketAddr,
}

impl Ports {
    /// Writes the addresses to `path` as JSON, atomically: a reader sees the whole file or none.
    pub fn write(&self, path: &path::Path) -> Result {
        let failed = |source| Error::File { path: path.display().to_string(), source };
        let text = serde_json::to_string(self).unwrap_or_default();
        let temp_path = path.with_extension("part");
        fs::write(&temp_path, text).map_err(failed)?;
        fs::rename(&temp_path, path).map_err(failed)
    }
}
