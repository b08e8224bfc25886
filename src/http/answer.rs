//! HTTP answers and their bodies, which are either whole or streamed in pieces.

use std::{pin, task, time};

use bytes::Bytes;
use hyper::{body, header};
use tokio::sync::mpsc;

use super::Response;

/// The error of a streamed body that ends before it is complete. On this error, hyper closes the
/// connection without the last chunk, so that the caller can see that the answer is incomplete.
#[derive(Debug, thiserror::Error)]
#[error("The answer broke off before it was complete; repeat the request if it is idempotent.")]
pub struct Truncated;

/// One message of the task that produces a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete. A stream that ends without this message is truncated.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole body; `None` once hyper has taken it.
    Whole(Option<Bytes>),
    /// Pieces of the body, sent by another task as they arrive.
    Stream(mpsc::Receiver<Piece>),
}

impl Body {
    /// Creates a body that is whole.
    pub fn whole(data: impl Into<Bytes>) -> Self {
        Self::Whole(Some(data.into()))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Whole(data) => task::Poll::Ready(data.take().map(|d| Ok(body::Frame::data(d)))),
            Self::Stream(rx) => rx.poll_recv(cx).map(|piece| match piece {
                Some(Piece::Data(data)) => Some(Ok(body::Frame::data(data))),
                Some(Piece::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(data) => data.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(data) => {
                body::SizeHint::with_exact(data.as_ref().map_or(0, |d| d.len() as u64))
            }
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// Creates an answer with a body of plain text.
pub fn text(status: u16, text: impl Into<String>) -> Response {
    with_content_type(status, "text/plain; charset=utf-8", text.into())
}

/// Creates an answer with `value` as JSON.
pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => with_content_type(status, "application/json", text),
        Err(err) => text(500, format!("The answer could not be written as JSON: {err}.\n")),
    }
}

/// Creates the answer to a request for `path`, which does not exist.
pub fn path_not_found(path: &str) -> Response {
    refusal(404, &format!("There is no {path} here."), None)
}

/// Creates an answer with an error message and, if `retry_after` is given, a `Retry-After` header
/// in whole seconds, rounded up.
pub fn refusal(status: u16, message: &str, retry_after: Option<time::Duration>) -> Response {
    let mut res = json(status, &serde_json::json!({ "error": message }));
    if let Some(after) = retry_after {
        let secs = after.as_millis().div_ceil(1000).max(1);
        res.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(secs as u64));
    }
    res
}

fn with_content_type(status: u16, content_type: &'static str, text: String) -> Response {
    let mut res = hyper::Response::new(Body::whole(text));
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    res.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    res
}
