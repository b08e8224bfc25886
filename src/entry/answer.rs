//! Last stage of the pipeline: sends a session's answer to the caller, as one body or as a stream.

use std::{sync::Arc, time};

use bytes::Bytes;

use super::{Refusal, refusal, session};
use crate::{
    http::{self, payload::Collector},
    metrics, wire,
};

/// Drives `session` and returns its answer to the caller.
pub async fn respond(
    mut session: session::Session,
    flight: metrics::InFlightRequest,
) -> http::Response {
    match session.next_part().await {
        Ok(session::AnswerPart::Head(head)) if head.is_event_stream() => {
            start_stream(session, &head, flight)
        }
        Ok(session::AnswerPart::Head(head)) => match collect_body(&mut session, head).await {
            Ok((head, body)) => {
                flight.end(metrics::Ending::Complete);
                to_response(&head, http::Body::whole(body))
            }
            Err(refusal) => respond_refusal(&refusal, flight),
        },
        Ok(_) => respond_refusal(&Refusal::ServerFailed { ran: wire::Ran::Unknown }, flight),
        Err(refusal) => respond_refusal(&refusal, flight),
    }
}

/// Counts `refusal` and returns the answer that states it.
pub fn respond_refusal(refusal: &Refusal, flight: metrics::InFlightRequest) -> http::Response {
    record_refusal(refusal, flight);
    refusal.to_response()
}

fn record_refusal(refusal: &Refusal, flight: metrics::InFlightRequest) {
    flight.count_refusal(refusal.label());
    flight.end(match refusal.ran() {
        wire::Ran::No => metrics::Ending::Refused,
        wire::Ran::Yes | wire::Ran::Unknown => metrics::Ending::Failed,
    });
}

/// Drives `session` until its answer is complete, and returns head and body.
///
/// # Errors
///
/// Returns the refusal with which the session ends before the answer is complete.
pub async fn collect_answer(
    session: &mut session::Session,
) -> Result<(session::Head, http::Payload), Refusal> {
    match session.next_part().await? {
        session::AnswerPart::Head(head) => collect_body(session, head).await,
        _ => Err(Refusal::ServerFailed { ran: wire::Ran::Unknown }),
    }
}

async fn collect_body(
    session: &mut session::Session,
    mut head: session::Head,
) -> Result<(session::Head, http::Payload), Refusal> {
    let client = Arc::clone(session.client());
    let no_memory = |_| Refusal::ServerFailed { ran: wire::Ran::Unknown };
    let mut body = Collector::new(&client).map_err(no_memory)?;
    loop {
        match session.next_part().await? {
            session::AnswerPart::Data(data) => {
                body.push_when_possible(&data).await.map_err(no_memory)?;
            }
            session::AnswerPart::End => return Ok((head, body.finish())),
            session::AnswerPart::Head(new_head) => {
                head = new_head;
                body = Collector::new(&client).map_err(no_memory)?;
            }
        }
    }
}

fn start_stream(
    session: session::Session,
    head: &session::Head,
    flight: metrics::InFlightRequest,
) -> http::Response {
    let (tx, body) = http::Body::stream();
    tokio::task::spawn_local(forward_stream(session, tx, flight));
    to_response(head, body)
}

/// Forwards a stream to the caller through `tx`.
async fn forward_stream(
    mut session: session::Session,
    tx: http::answer::StreamSender,
    mut flight: metrics::InFlightRequest,
) {
    let id = session.id();
    loop {
        let part = tokio::select! {
            part = session.next_part() => part,
            () = tx.closed() => return log::info!(req:% = id; "caller disconnected"),
        };
        let forwarded = match part {
            Ok(session::AnswerPart::Data(data)) => {
                flight.record_piece();
                forward_piece(&tx, data, session.deadline()).await
            }
            Ok(session::AnswerPart::End) => {
                tx.finish();
                return flight.end(metrics::Ending::Complete);
            }
            Ok(session::AnswerPart::Head(_)) => Ok(true),
            Err(refusal) => Err(refusal),
        };
        match forwarded {
            Ok(true) => {}
            Ok(false) => return log::info!(req:% = id; "caller disconnected"),
            Err(refusal) => {
                log::warn!(req:% = id, why = refusal.label(); "stream ended early: {refusal}");
                return record_refusal(&refusal, flight);
            }
        }
    }
}

/// Sends `data` to the caller, and returns whether the caller is still connected. Waits until
/// `deadline` for a caller that does not read.
async fn forward_piece(
    tx: &http::answer::StreamSender,
    data: Bytes,
    deadline: time::Instant,
) -> Result<bool, Refusal> {
    match tokio::time::timeout_at(deadline.into(), tx.reserve(data.len())).await {
        Ok(Some(slot)) => {
            slot.send(data.into());
            Ok(true)
        }
        Ok(None) => Ok(false),
        Err(_) => Err(Refusal::DeadlinePassed { ran: wire::Ran::Unknown }),
    }
}

/// Creates the HTTP response for an answer of the backend server.
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
