//! One attempt of a request at one backend server.

use std::time;

use hyper::http::response;

use super::{forward::RoutedRequest, reservation::Reservation, state::Gateway};
use crate::{
    balance::selector,
    http::client::{BodyReader, Failure},
    platform::exchange::{self, AnswerKind},
};

/// Longest time to open a connection to a backend server, and to read the rest of a refusal. A
/// lost SYN is retransmitted after a second, which is too late for every request.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Result of an attempt.
pub enum AttemptResult {
    /// The server sent the head of an answer, whose body is still to be read.
    Answer {
        /// Head of the answer.
        head: response::Parts,
        /// Body of the answer.
        body: BodyReader,
        /// Whether the request ran successfully.
        succeeded: bool,
    },
    /// The request has not run at the server and will not.
    NotRun {
        /// Reason, as logged.
        reason: &'static str,
        /// Whether the request arrived at the server, which counts as a retry.
        arrived: bool,
    },
    /// The request may have run, and there is no answer.
    Unknown(Failure),
}

/// Sends `req` to the server of `reservation`; `last_event_id` is the last event that the client
/// has, for a stream that is resumed.
///
/// A request that must not run twice gets a new connection, which holds no data of an earlier
/// request and has not been closed by the server while it was idle.
pub async fn send(
    gateway: &Gateway,
    reservation: &mut Reservation,
    req: &RoutedRequest,
    last_event_id: Option<&str>,
) -> AttemptResult {
    let needs_new = !req.is_repeatable();
    let pooled = if needs_new { None } else { gateway.pool.take(reservation.addr) };
    let reused = pooled.is_some();
    let mut conn = match pooled {
        Some(conn) => conn,
        None if !gateway.pool.may_open() => {
            return AttemptResult::NotRun { reason: "no-connection", arrived: false };
        }
        None => match gateway.pool.open(reservation.addr, CONNECT_TIMEOUT).await {
            Ok(conn) => conn,
            Err(_) => {
                reservation.set_outcome(selector::Outcome::Failure);
                return AttemptResult::NotRun { reason: "unreachable", arrived: false };
            }
        },
    };
    let outgoing = match exchange::build_request(&req.build_attempt(reservation, last_event_id)) {
        Ok(outgoing) => outgoing,
        Err(failure) => return AttemptResult::Unknown(failure),
    };
    let res = match conn.send(outgoing).await {
        Ok(res) => res,
        Err(Failure::Unsent(_)) => {
            return AttemptResult::NotRun { reason: "unsent", arrived: false };
        }
        Err(failure) => {
            // The server may close a pooled connection while it is idle, which is not a fault.
            let outcome =
                if reused { selector::Outcome::Neutral } else { selector::Outcome::Failure };
            reservation.set_outcome(outcome);
            return AttemptResult::Unknown(failure);
        }
    };
    let (head, body) = res.into_parts();
    let kind = exchange::classify_answer(head.status, &head.headers, &req.id, !reused);
    if let AnswerKind::Defective(defect) = kind {
        log::info!(
            req:% = req.id,
            server:% = reservation.server,
            status = head.status.as_u16(),
            reused,
            defect:%;
            "answer is defective"
        );
    }
    if kind != AnswerKind::OtherServer {
        reservation.record_activity();
    }
    let notice = match kind {
        AnswerKind::OtherServer | AnswerKind::Defective(_) => exchange::ServerNotice::default(),
        _ => {
            let notice = exchange::server_notice(head.status, &head.headers);
            reservation.record_notice(notice, kind != AnswerKind::NotRun);
            notice
        }
    };
    match kind {
        AnswerKind::NotRun | AnswerKind::OtherServer => {
            let (reason, outcome) = match kind {
                AnswerKind::OtherServer => ("other-server", selector::Outcome::Replaced),
                // Asking for a pause is no fault, and the pause keeps requests away already.
                _ if notice.pause.is_some() => ("paused", selector::Outcome::Neutral),
                _ => ("refused", selector::Outcome::Failure),
            };
            reservation.set_outcome(outcome);
            let mut rest = BodyReader::new(reservation.addr, conn, body);
            // Reads the short body to its end, so that the connection can be reused.
            let _ = tokio::time::timeout(CONNECT_TIMEOUT, async {
                while let Some(Ok(_)) = rest.next(&gateway.pool).await {}
            })
            .await;
            AttemptResult::NotRun { reason, arrived: true }
        }
        AnswerKind::Defective(defect) => {
            reservation.set_outcome(selector::Outcome::Failure);
            AttemptResult::Unknown(Failure::Defective(format!(
                "the answer does not count: {defect}"
            )))
        }
        AnswerKind::Succeeded | AnswerKind::Failed => {
            let succeeded = kind == AnswerKind::Succeeded;
            AttemptResult::Answer {
                head,
                body: BodyReader::new(reservation.addr, conn, body),
                succeeded,
            }
        }
    }
}
