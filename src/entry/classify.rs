//! Second filter: says what a request is, by the configuration in force.

use std::time;

use super::{Refusal, Request, request};
use crate::{config, name, policy::prefix, view};

/// Header with the caller's workspace.
pub const WORKSPACE: &str = "workspace";
/// Header with `interactive` or `batch`.
pub const PRIORITY: &str = "priority";
/// Header with the time the caller allows, in milliseconds.
pub const DEADLINE: &str = "deadline-ms";
/// Header with the key of a call that may not be repeated.
pub const KEY: &str = "idempotency-key";

/// Header with the last event of a stream that the caller has.
pub const LAST_EVENT: &str = "last-event-id";

/// Longest workspace name and idempotency key, in bytes.
const NAME_LIMIT: usize = 128;
/// Tokens assumed of a call that bounds none.
const TOKENS: u32 = 256;

/// Matches `req` against the configuration of `view`.
pub fn run(
    req: Request<request::Accepted>,
    view: &view::View,
) -> Result<Request<request::Classified>, Refusal> {
    let (service, path) = split(&req.path);
    let name = name::Service::new(service);
    let unknown = || format!("There is no service {service}; use one of the configuration.");
    let known = view.config.services.get(&name).ok_or_else(|| Refusal::Unknown(unknown()))?;
    let call = find(known, &req.method, &path)?;
    if req.body.len() as u64 > known.limits.body_bytes {
        return Err(Refusal::TooLarge { limit: known.limits.body_bytes });
    }
    resume(&req, known.kind)?;
    let workspace = workspace(&req)?;
    let default = view.config.workspaces.get(&workspace).map(|known| known.priority);
    let stage = request::Classified {
        priority: priority(&req, default.unwrap_or_default())?,
        repeatable: call.repeatable,
        key: key(&req)?,
        deadline: req.arrived + allowed(&req, call)?,
        prefix: prefix::PrefixKeys::from_body(&workspace, &req.body),
        tokens: tokens(&req.body),
        version: view.version,
        kind: known.kind,
        service: name,
        path,
        workspace,
    };
    Ok(req.with(stage))
}

fn split(path: &str) -> (&str, String) {
    let path = path.trim_start_matches('/');
    match path.split_once('/') {
        Some((service, rest)) => (service, format!("/{rest}")),
        None => (path, "/".into()),
    }
}

fn find<'a>(
    service: &'a config::Service,
    method: &str,
    path: &str,
) -> Result<&'a config::Call, Refusal> {
    let matches = |call: &&config::Call| call.method == method && path.starts_with(&call.path);
    let unknown = || {
        Refusal::Unknown(format!("The service has no call {method} {path}; add it to the text."))
    };
    service.calls.iter().find(matches).ok_or_else(unknown)
}

/// Events of model engines are numbered, so that a stream can go on elsewhere.
fn resume<S>(req: &Request<S>, kind: config::Kind) -> Result<(), Refusal> {
    match (kind, req.header(LAST_EVENT).map(str::parse::<u64>)) {
        (config::Kind::ModelGroup, Some(Err(_))) => {
            Err(Refusal::Bad("Send Last-Event-ID as the number of an event.".into()))
        }
        _ => Ok(()),
    }
}

fn workspace<S>(req: &Request<S>) -> Result<name::Workspace, Refusal> {
    match req.header(WORKSPACE) {
        Some(name) if !name.is_empty() && name.len() <= NAME_LIMIT => Ok(name.into()),
        Some(_) => Err(Refusal::Bad(format!("Send a Workspace of 1 to {NAME_LIMIT} bytes."))),
        None => Err(Refusal::Bad("Send the header Workspace.".into())),
    }
}

fn priority<S>(req: &Request<S>, default: config::Priority) -> Result<config::Priority, Refusal> {
    match req.header(PRIORITY) {
        None => Ok(default),
        Some("interactive") => Ok(config::Priority::Interactive),
        Some("batch") => Ok(config::Priority::Batch),
        Some(_) => Err(Refusal::Bad("Send a Priority of interactive or batch.".into())),
    }
}

fn key<S>(req: &Request<S>) -> Result<Option<String>, Refusal> {
    match req.header(KEY) {
        Some(key) if key.is_empty() || key.len() > NAME_LIMIT => {
            Err(Refusal::Bad(format!("Send an Idempotency-Key of 1 to {NAME_LIMIT} bytes.")))
        }
        key => Ok(key.map(String::from)),
    }
}

fn allowed<S>(req: &Request<S>, call: &config::Call) -> Result<time::Duration, Refusal> {
    let most = time::Duration::from_millis(call.deadline_ms);
    match req.header(DEADLINE).map(str::parse) {
        None => Ok(most),
        Some(Ok(ms)) => Ok(most.min(time::Duration::from_millis(ms))),
        Some(Err(_)) => Err(Refusal::Bad("Send Deadline-Ms as whole milliseconds.".into())),
    }
}

fn tokens(body: &[u8]) -> u32 {
    #[derive(serde::Deserialize)]
    struct Bound {
        max_tokens: Option<u32>,
    }
    serde_json::from_slice(body).ok().and_then(|b: Bound| b.max_tokens).unwrap_or(TOKENS)
}
