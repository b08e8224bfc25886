//! Bodies of answers: whole, or pieces as they come.

use std::{pin, task, time};

use bytes::Bytes;
use hyper::{body, header};
use tokio::sync::mpsc;

use super::Response;

/// The stream broke off; hyper then closes the connection without the last chunk,
/// so that the caller sees that the answer is not whole.
#[derive(Debug, thiserror::Error)]
#[error("The answer broke off before its end; send the request again if it may be repeated.")]
pub struct Truncated;

/// A part of a streamed answer.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes.
    Data(Bytes),
    /// The answer is whole. A stream that ends without this is cut.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All bytes at hand; `None` once given out.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Stream(mpsc::Receiver<Piece>),
}

impl Body {
    /// A whole body.
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
            Self::Stream(rx) => rx.poll_recv(cx).map(|got| match got {
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

/// An answer of plain text.
pub fn text(status: u16, text: impl Into<String>) -> Response {
    typed(status, "text/plain; charset=utf-8", text.into())
}

/// An answer of JSON.
pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => typed(status, "application/json", text),
        Err(err) => text(500, format!("The answer could not be written as JSON: {err}.\n")),
    }
}

/// The answer where `path` leads nowhere.
pub fn no_path(path: &str) -> Response {
    refusal(404, &format!("There is no {path} here."), None)
}

/// An answer with a message for the caller, and when to come back where that is known.
pub fn refusal(status: u16, message: &str, retry_after: Option<time::Duration>) -> Response {
    let mut res = json(status, &serde_json::json!({ "error": message }));
    if let Some(after) = retry_after {
        let secs = after.as_millis().div_ceil(1000).max(1);
        res.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(secs as u64));
    }
    res
}

fn typed(status: u16, kind: &'static str, text: String) -> Response {
    let mut res = hyper::Response::new(Body::whole(text));
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    res.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    res
}
