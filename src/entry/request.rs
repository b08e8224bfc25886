//! A caller's request, typed by the stage of the pipeline that it has reached.

use std::time;

use crate::{config, http, name, policy::prefix, wire};

/// Caller's request at stage `S` of the pipeline.
#[derive(Debug)]
pub struct Request<S> {
    /// Identity, assigned by the entry.
    pub id: wire::RequestId,
    /// When the entry received the request.
    pub arrived_at: time::Instant,
    /// HTTP method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Headers as the caller sent them, with names in lower case.
    pub headers: Vec<wire::Header>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Memory for the request and its answer.
    pub memory: http::Charge,
    /// Data that is known from this stage on.
    pub stage: S,
}

/// Stage of a request that has been read completely.
#[derive(Debug)]
pub struct Accepted;

/// Stage of a request that has been matched against the configuration.
#[derive(Debug)]
pub struct Classified {
    /// The called service.
    pub service: name::Service,
    /// Kind of the backend servers that serve the call.
    pub kind: config::Kind,
    /// Path and query without the service's name.
    pub path: String,
    /// The caller's workspace.
    pub workspace: name::Workspace,
    /// Priority, interactive or batch.
    pub priority: config::Priority,
    /// Whether the call may be run more than once.
    pub repeatable: bool,
    /// Key with which the caller can send the same call again and get its recorded answer.
    pub idempotency_key: Option<String>,
    /// When the answer must be complete.
    pub deadline: time::Instant,
    /// Keys of the prompt's prefixes.
    pub prefix_keys: prefix::PrefixKeys,
    /// Largest number of tokens that the call may generate, as set by the caller.
    pub max_tokens: u32,
    /// Version of the configuration that the request was matched against.
    pub config_version: u64,
}

impl<S> Request<S> {
    /// Returns the value of the header `name`, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// Returns the same request at the stage `stage`.
    pub fn with_stage<T>(self, stage: T) -> Request<T> {
        let Self { id, arrived_at, method, path, headers, body, memory, stage: _ } = self;
        Request { id, arrived_at, method, path, headers, body, memory, stage }
    }
}
