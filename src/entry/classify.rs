//! Second stage of the pipeline: matches a request against the configuration in force.

use std::time;

use super::{Refusal, Request, request};
use crate::{config, name, policy::prefix, view};

/// Header that names the caller's workspace.
pub const WORKSPACE_HEADER: &str = "workspace";
/// Header that sets the priority, `interactive` or `batch`.
pub const PRIORITY_HEADER: &str = "priority";
/// Header with the time that the caller allows for the complete answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// Header with the key that identifies a call that may not be repeated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header with the number of the last event of a stream that the caller has received.
pub const LAST_EVENT_HEADER: &str = "last-event-id";

/// Longest workspace name and longest idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Number of tokens assumed for a call whose body sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Matches `req` against the configuration of `view`.
///
/// # Errors
///
/// Refuses a request for an unknown service or call, a body over the service's limit, and headers
/// that are missing or malformed.
pub fn classify(
    req: Request<request::Accepted>,
    view: &view::View,
) -> Result<Request<request::Classified>, Refusal> {
    let (service_name, path) = split_service(&req.path);
    let name = name::Service::new(service_name);
    let unknown_service =
        || format!("There is no service {service_name}; use one of the configuration.");
    let service =
        view.config.services.get(&name).ok_or_else(|| Refusal::UnknownCall(unknown_service()))?;
    let call = find_call(service, &req.method, &path)?;
    if req.body.len() as u64 > service.limits.body_bytes {
        return Err(Refusal::TooLarge { limit: service.limits.body_bytes });
    }
    check_last_event_id(&req, service.kind)?;
    let workspace = read_workspace(&req)?;
    let default_priority = view.config.workspaces.get(&workspace).map(|settings| settings.priority);
    let stage = request::Classified {
        priority: read_priority(&req, default_priority.unwrap_or_default())?,
        repeatable: call.repeatable,
        idempotency_key: read_idempotency_key(&req)?,
        deadline: req.arrived_at + read_time_allowed(&req, call)?,
        prefix_keys: prefix::PrefixKeys::from_body(&workspace, &req.body),
        max_tokens: read_max_tokens(&req.body),
        config_version: view.version,
        kind: service.kind,
        service: name,
        path,
        workspace,
    };
    Ok(req.with_stage(stage))
}

fn split_service(path: &str) -> (&str, String) {
    let path = path.trim_start_matches('/');
    match path.split_once('/') {
        Some((service, rest)) => (service, format!("/{rest}")),
        None => (path, "/".into()),
    }
}

fn find_call<'a>(
    service: &'a config::Service,
    method: &str,
    path: &str,
) -> Result<&'a config::Call, Refusal> {
    let matches = |call: &&config::Call| call.method == method && path.starts_with(&call.path);
    let unknown_call = || {
        Refusal::UnknownCall(format!(
            "The service has no call {method} {path}; add it to the text."
        ))
    };
    service.calls.iter().find(matches).ok_or_else(unknown_call)
}

/// Checks that `Last-Event-ID` is a number if a model engine serves the call: the events of model
/// engines are numbered, so that a stream can be resumed at another server.
fn check_last_event_id<S>(req: &Request<S>, kind: config::Kind) -> Result<(), Refusal> {
    match (kind, req.header(LAST_EVENT_HEADER).map(str::parse::<u64>)) {
        (config::Kind::ModelGroup, Some(Err(_))) => {
            Err(Refusal::BadRequest("Send Last-Event-ID as the number of an event.".into()))
        }
        _ => Ok(()),
    }
}

fn read_workspace<S>(req: &Request<S>) -> Result<name::Workspace, Refusal> {
    match req.header(WORKSPACE_HEADER) {
        Some(name) if !name.is_empty() && name.len() <= MAX_NAME_BYTES => Ok(name.into()),
        Some(_) => {
            Err(Refusal::BadRequest(format!("Send a Workspace of 1 to {MAX_NAME_BYTES} bytes.")))
        }
        None => Err(Refusal::BadRequest("Send the header Workspace.".into())),
    }
}

fn read_priority<S>(
    req: &Request<S>,
    default: config::Priority,
) -> Result<config::Priority, Refusal> {
    match req.header(PRIORITY_HEADER) {
        None => Ok(default),
        Some("interactive") => Ok(config::Priority::Interactive),
        Some("batch") => Ok(config::Priority::Batch),
        Some(_) => Err(Refusal::BadRequest("Send a Priority of interactive or batch.".into())),
    }
}

fn read_idempotency_key<S>(req: &Request<S>) -> Result<Option<String>, Refusal> {
    match req.header(IDEMPOTENCY_KEY_HEADER) {
        Some(key) if key.is_empty() || key.len() > MAX_NAME_BYTES => Err(Refusal::BadRequest(
            format!("Send an Idempotency-Key of 1 to {MAX_NAME_BYTES} bytes."),
        )),
        key => Ok(key.map(String::from)),
    }
}

fn read_time_allowed<S>(req: &Request<S>, call: &config::Call) -> Result<time::Duration, Refusal> {
    let max = time::Duration::from_millis(call.deadline_ms);
    match req.header(DEADLINE_HEADER).map(str::parse) {
        None => Ok(max),
        Some(Ok(ms)) => Ok(max.min(time::Duration::from_millis(ms))),
        Some(Err(_)) => Err(Refusal::BadRequest("Send Deadline-Ms as whole milliseconds.".into())),
    }
}

fn read_max_tokens(body: &[u8]) -> u32 {
    #[derive(serde::Deserialize)]
    struct BodyFields {
        max_tokens: Option<u32>,
    }
    serde_json::from_slice(body)
        .ok()
        .and_then(|body: BodyFields| body.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS)
}
