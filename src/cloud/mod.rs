//! The platform as the system sees it: one small trait per outside service.
//!
//! Every method blocks and is called from worker threads only. Each call
//! carries its own deadline. Another adapter is one file that implements
//! these traits.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::{Result, name};

mod client;

pub use client::Client;

/// A row's version tag as the table gave it; opaque.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Etag(pub String);

/// A row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Changes with each write.
    pub etag: Etag,
    /// JSON text.
    pub value: String,
}

/// The condition under which a row is written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// Only if no such row exists.
    Absent,
    /// Only if the row still has this tag.
    Unchanged(Etag),
}

/// What a conditional read gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConditionalRead {
    /// The row still has the tag that the reader knows.
    Unchanged,
    /// The row as it is now; `None` if there is none.
    Row(Option<Row>),
}

/// How a conditional write ended, as far as the table said.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Written; the new tag.
    Done(Etag),
    /// The condition did not hold; nothing was written.
    Refused,
}

/// The transactional table service: rows with compare-and-set.
///
/// An `Err` of a write means "unknown": it may have taken effect. Callers
/// settle it by reading the row back.
pub trait Table: Send + Sync {
    /// Reads one row; `None` if there is none.
    fn read(&self, key: &str, within: time::Duration) -> Result<Option<Row>>;
    /// Reads one row unless it still has the tag `known`.
    fn read_if_changed(
        &self,
        key: &str,
        known: Option<&Etag>,
        within: time::Duration,
    ) -> Result<ConditionalRead>;
    /// Writes one row if `when` holds.
    fn write(
        &self,
        key: &str,
        value: &str,
        when: &Precondition,
        within: time::Duration,
    ) -> Result<WriteOutcome>;
    /// Deletes one row if it still has `etag`; `false` if it had not.
    fn delete(&self, key: &str, etag: &Etag, within: time::Duration) -> Result<bool>;
}

/// The object store: whole objects, last write wins.
pub trait Objects: Send + Sync {
    /// Reads one object; `None` if there is none.
    fn get(&self, key: &str, within: time::Duration) -> Result<Option<Vec<u8>>>;
    /// Writes one object.
    fn put(&self, key: &str, data: &[u8], within: time::Duration) -> Result;
}

/// Whether the platform means to keep a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One host as the platform lists it; the list lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedHost {
    /// The host's name.
    pub host: name::Host,
    /// Availability zone.
    pub zone: name::Zone,
    /// Address of the process of the system on it, for other processes.
    pub peers: net::SocketAddr,
    /// The backend server beside it; `None` for entries.
    #[serde(default)]
    pub server: Option<name::Server>,
    /// Live or leaving.
    pub state: HostState,
}

/// The platform's lagging list of live and leaving hosts.
pub trait Hosts: Send + Sync {
    /// Reads the whole list.
    fn list(&self, within: time::Duration) -> Result<Vec<ListedHost>>;
}
