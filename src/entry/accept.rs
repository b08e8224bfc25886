//! First stage of the pipeline: reads a caller's request completely, within limits on size and
//! time.

use std::time;

use http_body_util::BodyExt;

use super::{Refusal, Request, request};
use crate::{config, http, wire};

/// Longest time for a request body to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

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
    let limited = http_body_util::Limited::new(body, config::MAX_BODY_BYTES as usize);
    let body = match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(body)) => body.to_bytes().to_vec(),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::TooLarge { limit: config::MAX_BODY_BYTES });
        }
        Ok(Err(err)) => {
            return Err(Refusal::BadRequest(format!("The body broke off: {err}.")));
        }
        Err(_) => {
            return Err(Refusal::BadRequest("The body took too long; send it faster.".into()));
        }
    };
    let headers = head.headers.iter().filter_map(wire_header).collect();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
    let method = head.method.to_string();
    Ok(Request { id, arrived_at, method, path, headers, body, stage: request::Accepted })
}

fn wire_header(
    (name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue),
) -> Option<wire::Header> {
    let value = value.to_str().ok()?.to_string();
    Some(wire::Header { name: name.as_str().to_string(), value })
}
