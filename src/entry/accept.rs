//! First stage of the pipeline: reads a caller's request completely, within limits on size and
//! time.

use std::{sync::Arc, time};

use super::{Refusal, Request, request};
use crate::{
    config,
    http::{self, upload::UploadError},
    peer, wire,
};

/// Longest time for a request body to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Copies of a body that exist at a time: the request, the call to a sidecar, and its frame.
const BODY_COPIES: usize = 3;
/// `Retry-After` for a body for which there is no memory.
const NO_MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl From<UploadError> for Refusal {
    fn from(err: UploadError) -> Self {
        match err {
            UploadError::TooLarge => Self::TooLarge { limit: config::MAX_BODY_BYTES },
            UploadError::NoMemory | UploadError::TooSlow => {
                Self::NoRoom { retry_after: NO_MEMORY_RETRY_AFTER }
            }
            UploadError::TooLate | UploadError::Broken(_) => Self::BadRequest(err.to_string()),
        }
    }
}

/// Reads the head and the body of `req`, and gives the request the identity `id`.
///
/// # Errors
///
/// Refuses a body that is too large, arrives too slowly or ends early.
pub async fn read_request(
    id: wire::RequestId,
    req: http::Request,
) -> Result<Request<request::Accepted>, Refusal> {
    let arrived_at = time::Instant::now();
    let (head, body) = req.into_parts();
    let client = Arc::clone(body.client());
    let timeout_at = tokio::time::Instant::now() + BODY_TIMEOUT;
    let body = body.read_to_end(config::MAX_BODY_BYTES as usize, timeout_at).await?;
    let memory = client.charge(BODY_COPIES * body.len() + peer::STREAM_WINDOW_BYTES as usize);
    let memory = memory.map_err(|_| UploadError::NoMemory)?;
    let body = body.to_vec();
    let headers = head.headers.iter().filter_map(wire_header).collect();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
    let method = head.method.to_string();
    Ok(Request { id, arrived_at, method, path, headers, body, memory, stage: request::Accepted })
}

fn wire_header(
    (name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue),
) -> Option<wire::Header> {
    let value = value.to_str().ok()?.to_string();
    Some(wire::Header { name: name.as_str().to_string(), value })
}
