//! Body of the answer to `GET /config`.

use serde::{Deserialize, Serialize};

use crate::{
    agree::record::{Effective, Pending},
    config,
};

/// The configuration in force at one process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigInForce {
    /// Committed version; 0 means none yet.
    pub version: u64,
    /// The configuration text, exactly as it was applied.
    pub text: String,
    /// Zones and servers that are out of service, whether the order is durable or not.
    pub out: config::OutOfService,
    /// Orders to take a zone or server out of service that are not yet stored in the platform's
    /// table.
    pub not_durable: Vec<Pending>,
}

impl From<Effective> for ConfigInForce {
    fn from(effective: Effective) -> Self {
        let out = effective.out();
        let Effective { committed, pending } = effective;
        Self { version: committed.version, text: committed.text, out, not_durable: pending }
    }
}
