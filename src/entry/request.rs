//! A caller's request, typed by the stage of the pipeline it has reached.

use std::time;

use crate::{config, name, policy::prefix, wire};

/// A request at stage `S`.
#[derive(Debug)]
pub struct Request<S> {
    /// Identity, given by the entry.
    pub id: wire::RequestId,
    /// When it arrived.
    pub arrived_at: time::Instant,
    /// HTTP method.
    pub method: String,
    /// Path and query, as the caller sent it.
    pub path: String,
    /// Headers as the caller sent them, names in lower case.
    pub headers: Vec<wire::Header>,
    /// Whole body.
    pub body: Vec<u8>,
    /// What is known at this stage.
    pub stage: S,
}

/// Read whole from the caller.
#[derive(Debug)]
pub struct Accepted;

/// Matched against the configuration.
#[derive(Debug)]
pub struct Classified {
    /// Service called.
    pub service: name::Service,
    /// What kind of back end serves it.
    pub kind: config::Kind,
    /// Path and query at the service.
    pub path: String,
    /// Caller's workspace.
    pub workspace: name::Workspace,
    /// Interactive or batch.
    pub priority: config::Priority,
    /// Whether the call may be sent again.
    pub repeatable: bool,
    /// Key under which the caller may ask for the same call again.
    pub idempotency_key: Option<String>,
    /// When the answer must be complete.
    pub deadline: time::Instant,
    /// Prefixes of the prompt.
    pub prefix_keys: prefix::PrefixKeys,
    /// Tokens that the call may generate, as the caller bounds it.
    pub max_tokens: u32,
    /// Configuration version it was matched against.
    pub config_version: u64,
}

impl<S> Request<S> {
    /// Value of the header `name`, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// The same request at the stage `stage`.
    pub fn with_stage<T>(self, stage: T) -> Request<T> {
        let Self { id, arrived_at, method, path, headers, body, stage: _ } = self;
        Request { id, arrived_at, method, path, headers, body, stage }
    }
}
