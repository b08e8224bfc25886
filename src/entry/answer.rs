//! Last filter: hands a session's result to the caller, whole or piece by piece.

use std::time;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use super::{Refusal, refusal, session};
use crate::{http, metrics, wire};

/// Pieces that may wait for a slow caller.
const MAX_PENDING_PIECES: usize = 64;

/// Drives `session` and answers the caller.
pub async fn respond(mut session: session::Session, flight: metrics::Flight) -> http::Response {
    match session.next_part().await {
        Ok(session::AnswerPart::Head(head)) if head.is_event_stream() => {
            start_stream(session, &head, flight)
        }
        Ok(session::AnswerPart::Head(head)) => match collect_body(&mut session, head).await {
            Ok((head, body)) => {
                flight.end(metrics::Ending::Whole);
                to_response(&head, http::Body::whole(body))
            }
            Err(refusal) => respond_refusal(&refusal, flight),
        },
        Ok(_) => respond_refusal(&Refusal::ServerFailed { ran: wire::Ran::Unknown }, flight),
        Err(refusal) => respond_refusal(&refusal, flight),
    }
}

/// The answer for `refusal`, counted.
pub fn respond_refusal(refusal: &Refusal, flight: metrics::Flight) -> http::Response {
    record_refusal(refusal, flight);
    refusal.to_response()
}

fn record_refusal(refusal: &Refusal, flight: metrics::Flight) {
    flight.refused(refusal.label());
    flight.end(match refusal.ran() {
        wire::Ran::No => metrics::Ending::Refused,
        wire::Ran::Yes | wire::Ran::Unknown => metrics::Ending::Failed,
    });
}

/// Drives `session` to the end of a whole answer.
pub async fn collect_answer(
    session: &mut session::Session,
) -> Result<(session::Head, Bytes), Refusal> {
    match session.next_part().await? {
        session::AnswerPart::Head(head) => collect_body(session, head).await,
        _ => Err(Refusal::ServerFailed { ran: wire::Ran::Unknown }),
    }
}

async fn collect_body(
    session: &mut session::Session,
    mut head: session::Head,
) -> Result<(session::Head, Bytes), Refusal> {
    let mut body = BytesMut::new();
    loop {
        match session.next_part().await? {
            session::AnswerPart::Data(data) => body.extend_from_slice(&data),
            session::AnswerPart::End => return Ok((head, body.freeze())),
            session::AnswerPart::Head(new_head) => {
                head = new_head;
                body.clear();
            }
        }
    }
}

fn start_stream(
    session: session::Session,
    head: &session::Head,
    flight: metrics::Flight,
) -> http::Response {
    let (tx, rx) = mpsc::channel(MAX_PENDING_PIECES + 1);
    if let Ok(end_permit) = tx.clone().try_reserve_owned() {
        tokio::task::spawn_local(forward_stream(session, tx, end_permit, flight));
    }
    to_response(head, http::Body::Stream(rx))
}

/// Passes a stream on; `end` is the place kept for its end. Without an end, the
/// caller sees a cut.
async fn forward_stream(
    mut session: session::Session,
    tx: mpsc::Sender<http::answer::Piece>,
    end_permit: mpsc::OwnedPermit<http::answer::Piece>,
    mut flight: metrics::Flight,
) {
    let id = session.id();
    loop {
        let part = tokio::select! {
            part = session.next_part() => part,
            () = tx.closed() => return log::info!(req:% = id; "caller went away"),
        };
        let forwarded = match part {
            Ok(session::AnswerPart::Data(data)) => {
                flight.piece();
                forward_piece(&tx, data, session.deadline()).await
            }
            Ok(session::AnswerPart::End) => {
                end_permit.send(http::answer::Piece::End);
                return flight.end(metrics::Ending::Whole);
            }
            Ok(session::AnswerPart::Head(_)) => Ok(true),
            Err(refusal) => Err(refusal),
        };
        match forwarded {
            Ok(true) => {}
            Ok(false) => return log::info!(req:% = id; "caller went away"),
            Err(refusal) => {
                log::warn!(req:% = id, why = refusal.label(); "stream cut: {refusal}");
                return record_refusal(&refusal, flight);
            }
        }
    }
}

/// Hands `data` over; whether the caller is still there. A caller that does not
/// read is waited for until `deadline`.
async fn forward_piece(
    tx: &mpsc::Sender<http::answer::Piece>,
    data: Bytes,
    deadline: time::Instant,
) -> Result<bool, Refusal> {
    match tokio::time::timeout_at(deadline.into(), tx.send(http::answer::Piece::Data(data))).await {
        Ok(sent) => Ok(sent.is_ok()),
        Err(_) => Err(Refusal::DeadlinePassed { ran: wire::Ran::Unknown }),
    }
}

/// An answer of the backend server.
pub fn to_response(head: &session::Head, body: http::Body) -> http::Response {
    let mut res = hyper::Response::new(body);
    *res.status_mut() = hyper::StatusCode::from_u16(head.status).unwrap_or_default();
    for header in &head.headers {
        let name = hyper::header::HeaderName::try_from(&header.name);
        let value = hyper::header::HeaderValue::try_from(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().insert(name, value);
        }
    }
    refusal::set_ran_header(&mut res, wire::Ran::Yes);
    res
}
