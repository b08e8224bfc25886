//! Services of the platform that the product depends on, with one trait for each.
//!
//! All methods block and are called from worker threads only; each call has its own timeout. An
//! adapter for another platform implements these traits.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::{Result, name};

mod client;

pub use client::Client;

/// Version tag of a row; an opaque value assigned by the table service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Etag(pub String);

/// Row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Version tag; changes with each write.
    pub etag: Etag,
    /// Content, as JSON.
    pub value: String,
}

/// Condition under which a row is written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row still has this tag.
    Unchanged(Etag),
}

/// Result of a conditional read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConditionalRead {
    /// The row still has the tag that the caller knows.
    Unchanged,
    /// Current row; `None` if it does not exist.
    Row(Option<Row>),
}

/// Result of a conditional write, as reported by the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The row was written and has this new tag.
    Done(Etag),
    /// The precondition did not hold; nothing was written.
    Refused,
}

/// Transactional table service: rows with compare-and-set.
///
/// The outcome of a write that returns an `Err` is unknown: it may have taken effect. The caller
/// reads the row again to find out.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if it does not exist.
    fn read(&self, key: &str, timeout: time::Duration) -> Result<Option<Row>>;
    /// Reads a row unless it still has the tag `known`.
    fn read_if_changed(
        &self,
        key: &str,
        known: Option<&Etag>,
        timeout: time::Duration,
    ) -> Result<ConditionalRead>;
    /// Writes a row if `precondition` holds.
    fn write(
        &self,
        key: &str,
        value: &str,
        precondition: &Precondition,
        timeout: time::Duration,
    ) -> Result<WriteOutcome>;
    /// Deletes a row if it still has the tag `etag`; returns whether it had.
    fn delete(&self, key: &str, etag: &Etag, timeout: time::Duration) -> Result<bool>;
}

/// Object store for whole objects; the last write wins.
pub trait Objects: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn get(&self, key: &str, timeout: time::Duration) -> Result<Option<Vec<u8>>>;
    /// Writes an object.
    fn put(&self, key: &str, data: &[u8], timeout: time::Duration) -> Result;
}

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

/// Host in the platform's host list, which lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedHost {
    /// Name of the host.
    pub host: name::Host,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// Address at which the product's process on the host receives messages of its peers.
    pub peers: net::SocketAddr,
    /// Backend server on the host; `None` for entries.
    #[serde(default)]
    pub server: Option<name::Server>,
    /// State of the host.
    pub state: HostState,
}

/// Host list of the platform, which lags behind the actual state.
pub trait Hosts: Send + Sync {
    /// Reads the complete list.
    fn list(&self, timeout: time::Duration) -> Result<Vec<ListedHost>>;
}
