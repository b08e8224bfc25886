//! Last filter: hands a session's result to the caller, whole or piece by piece.

use std::time;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use super::{Refusal, refusal, session};
use crate::{http, metrics, wire};

/// Pieces that may wait for a slow caller.
const PIECES: usize = 64;

/// Drives `session` and answers the caller.
pub async fn run(mut session: session::Session, flight: metrics::Flight) -> http::Response {
    match session.next().await {
        Ok(session::Step::Head(head)) if head.streamed() => streamed(session, &head, flight),
        Ok(session::Step::Head(head)) => match whole(&mut session, head).await {
            Ok((head, body)) => {
                flight.end(metrics::Ending::Whole);
                response(&head, http::Body::whole(body))
            }
            Err(refusal) => refuse(&refusal, flight),
        },
        Ok(_) => refuse(&Refusal::Broken { ran: wire::Ran::Unknown }, flight),
        Err(refusal) => refuse(&refusal, flight),
    }
}

/// The answer for `refusal`, counted.
pub fn refuse(refusal: &Refusal, flight: metrics::Flight) -> http::Response {
    count(refusal, flight);
    refusal.response()
}

fn count(refusal: &Refusal, flight: metrics::Flight) {
    flight.refused(refusal.label());
    flight.end(match refusal.ran() {
        wire::Ran::No => metrics::Ending::Refused,
        wire::Ran::Yes | wire::Ran::Unknown => metrics::Ending::Failed,
    });
}

/// Drives `session` to the end of a whole answer.
pub async fn collect(session: &mut session::Session) -> Result<(session::Head, Bytes), Refusal> {
    match session.next().await? {
        session::Step::Head(head) => whole(session, head).await,
        _ => Err(Refusal::Broken { ran: wire::Ran::Unknown }),
    }
}

async fn whole(
    session: &mut session::Session,
    mut head: session::Head,
) -> Result<(session::Head, Bytes), Refusal> {
    let mut body = BytesMut::new();
    loop {
        match session.next().await? {
            session::Step::Data(data) => body.extend_from_slice(&data),
            session::Step::End => return Ok((head, body.freeze())),
            session::Step::Head(further) => {
                head = further;
                body.clear();
            }
        }
    }
}

fn streamed(
    session: session::Session,
    head: &session::Head,
    flight: metrics::Flight,
) -> http::Response {
    let (tx, rx) = mpsc::channel(PIECES + 1);
    if let Ok(end) = tx.clone().try_reserve_owned() {
        tokio::task::spawn_local(pump(session, tx, end, flight));
    }
    response(head, http::Body::Stream(rx))
}

/// Passes a stream on; `end` is the place kept for its end. Without an end, the
/// caller sees a cut.
async fn pump(
    mut session: session::Session,
    tx: mpsc::Sender<http::answer::Piece>,
    end: mpsc::OwnedPermit<http::answer::Piece>,
    mut flight: metrics::Flight,
) {
    let id = session.id();
    loop {
        let step = tokio::select! {
            step = session.next() => step,
            () = tx.closed() => return log::info!(req:% = id; "caller went away"),
        };
        let passed = match step {
            Ok(session::Step::Data(data)) => {
                flight.piece();
                pass(&tx, data, session.deadline()).await
            }
            Ok(session::Step::End) => {
                end.send(http::answer::Piece::End);
                return flight.end(metrics::Ending::Whole);
            }
            Ok(session::Step::Head(_)) => Ok(true),
            Err(refusal) => Err(refusal),
        };
        match passed {
            Ok(true) => {}
            Ok(false) => return log::info!(req:% = id; "caller went away"),
            Err(refusal) => {
                log::warn!(req:% = id, why = refusal.label(); "stream cut: {refusal}");
                return count(&refusal, flight);
            }
        }
    }
}

/// Hands `data` over; whether the caller is still there. A caller that does not
/// read is waited for until `deadline`.
async fn pass(
    tx: &mpsc::Sender<http::answer::Piece>,
    data: Bytes,
    deadline: time::Instant,
) -> Result<bool, Refusal> {
    match tokio::time::timeout_at(deadline.into(), tx.send(http::answer::Piece::Data(data))).await {
        Ok(sent) => Ok(sent.is_ok()),
        Err(_) => Err(Refusal::Late { ran: wire::Ran::Unknown }),
    }
}

/// An answer of the backend server.
pub fn response(head: &session::Head, body: http::Body) -> http::Response {
    let mut res = hyper::Response::new(body);
    *res.status_mut() = hyper::StatusCode::from_u16(head.status).unwrap_or_default();
    for header in &head.headers {
        let name = hyper::header::HeaderName::try_from(&header.name);
        let value = hyper::header::HeaderValue::try_from(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().insert(name, value);
        }
    }
    refusal::mark(&mut res, wire::Ran::Yes);
    res
}
