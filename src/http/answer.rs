//! HTTP answers and their bodies, which are either whole or streamed in pieces.

use std::{pin, sync::Arc, task, time};

use bytes::Bytes;
use hyper::{body, header};
use tokio::sync::{self, mpsc};

use super::{Payload, Response};

/// The error of a streamed body that ends before it is complete. On this error, hyper closes the
/// connection without the last chunk, so that the caller can see that the answer is incomplete.
#[derive(Debug, thiserror::Error)]
#[error("The answer broke off before it was complete; repeat the request if it is idempotent.")]
pub struct Truncated;

/// Bytes of a stream that may wait for a client, besides larger pieces that are charged to it.
const MAX_WAITING_BYTES: usize = 16 << 10;

/// One message of the task that produces a streamed body.
enum Piece {
    /// The next bytes of the body; their place among those that wait.
    Data(Payload, sync::OwnedSemaphorePermit),
    /// The body is complete. A stream that ends without this message is truncated.
    End,
}

/// Sends the pieces of a streamed body.
pub struct StreamSender {
    tx: mpsc::UnboundedSender<Piece>,
    places: Arc<sync::Semaphore>,
}

impl StreamSender {
    /// Waits until a piece of `bytes` may wait for the client. Returns `None` if the client has left.
    pub async fn reserve(&self, bytes: usize) -> Option<Slot<'_>> {
        let places = bytes.min(MAX_WAITING_BYTES) as u32;
        let permit = Arc::clone(&self.places).acquire_many_owned(places).await.ok()?;
        Some(Slot { tx: &self.tx, permit })
    }

    /// Waits until the client has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        // Fails if the client has left.
        let _ = self.tx.send(Piece::End);
    }
}

/// Place for a piece of a streamed body.
pub struct Slot<'a> {
    tx: &'a mpsc::UnboundedSender<Piece>,
    permit: sync::OwnedSemaphorePermit,
}

impl Slot<'_> {
    /// Sends the piece.
    pub fn send(self, data: Payload) {
        // Fails if the client has left.
        let _ = self.tx.send(Piece::Data(data, self.permit));
    }
}

/// Pieces of a body, sent by another task as they arrive.
pub struct PieceReceiver {
    rx: mpsc::UnboundedReceiver<Piece>,
    current: Option<(Payload, sync::OwnedSemaphorePermit)>,
    places: Arc<sync::Semaphore>,
}

impl PieceReceiver {
    fn poll_next(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, Truncated>>> {
        loop {
            if let Some((data, _)) = &mut self.current {
                if let Some(segment) = data.next_segment() {
                    return task::Poll::Ready(Some(Ok(segment)));
                }
                self.current = None;
            }
            match task::ready!(self.rx.poll_recv(cx)) {
                Some(Piece::Data(data, permit)) => self.current = Some((data, permit)),
                Some(Piece::End) => return task::Poll::Ready(None),
                None => return task::Poll::Ready(Some(Err(Truncated))),
            }
        }
    }
}

impl Drop for PieceReceiver {
    fn drop(&mut self) {
        self.places.close();
    }
}

/// The body of an answer.
pub enum Body {
    /// The whole body, or what hyper has not taken of it.
    Whole(Payload),
    /// Pieces of the body.
    Stream(PieceReceiver),
}

impl Body {
    /// Creates a body that is whole.
    pub fn whole(data: impl Into<Payload>) -> Self {
        Self::Whole(data.into())
    }

    /// Creates a body whose pieces come from the sender.
    pub fn stream() -> (StreamSender, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        let places = Arc::new(sync::Semaphore::new(MAX_WAITING_BYTES));
        let rx = PieceReceiver { rx, current: None, places: Arc::clone(&places) };
        (StreamSender { tx, places }, Self::Stream(rx))
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
            Self::Whole(data) => {
                task::Poll::Ready(data.next_segment().map(|data| Ok(body::Frame::data(data))))
            }
            Self::Stream(rx) => rx.poll_next(cx).map_ok(body::Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(data) => data.is_empty(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(data) => body::SizeHint::with_exact(data.len() as u64),
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
