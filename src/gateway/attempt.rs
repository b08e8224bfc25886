//! One send of a request to one backend server.

use std::time;

use hyper::http::response;

use super::{
    desk::{Desk, Seat},
    forward::Job,
};
use crate::{
    balance::fleet,
    http::client::{Conn, Failure, Reading},
    platform::exchange::{self, AnswerKind},
};

/// Longest time to open a connection to a backend server: one lost opening packet is sent again
/// after a second, which is too late for every request.
const OPEN_TIME: time::Duration = time::Duration::from_millis(500);

/// What became of a send.
pub enum Sent {
    /// The head of an answer, whose body is still to come.
    Answer {
        /// Its head.
        head: response::Parts,
        /// Its body.
        body: Reading,
        /// Whether the request ran well.
        good: bool,
    },
    /// It has not run there and will not.
    NotRun {
        /// What said so.
        why: &'static str,
        /// Whether it arrived at the server, which counts as a retry.
        arrived: bool,
    },
    /// It may have run, and there is no answer.
    Unknown(Failure),
}

/// Sends `job` to the server of `seat`, behind the event `resume` where a stream goes on.
///
/// What must not run twice gets a connection of its own: it carries nothing of an earlier request
/// and was not closed behind this one's back.
pub async fn send(desk: &Desk, seat: &mut Seat, job: &Job, resume: Option<&str>) -> Sent {
    let fresh = !job.repeatable();
    let kept = if fresh { None } else { desk.pool.take(seat.addr) };
    let reused = kept.is_some();
    let mut conn = match kept {
        Some(conn) => conn,
        None => match Conn::open(seat.addr, OPEN_TIME).await {
            Ok(conn) => conn,
            Err(_) => {
                seat.note(fleet::Outcome::Bad);
                return Sent::NotRun { why: "unreachable", arrived: false };
            }
        },
    };
    let req = match exchange::build_request(&job.send(seat, resume)) {
        Ok(req) => req,
        Err(failure) => return Sent::Unknown(failure),
    };
    let res = match conn.send(req).await {
        Ok(res) => res,
        Err(Failure::Unsent(_)) => return Sent::NotRun { why: "unsent", arrived: false },
        Err(failure) => {
            // A kept connection may have been closed while idle, which is not a fault.
            let outcome = if reused { fleet::Outcome::Neutral } else { fleet::Outcome::Bad };
            seat.note(outcome);
            return Sent::Unknown(failure);
        }
    };
    let (head, body) = res.into_parts();
    let said = exchange::classify_answer(head.status, &head.headers, &job.id);
    match said {
        AnswerKind::NotRun | AnswerKind::OtherServer => {
            let (why, outcome) = match said {
                AnswerKind::OtherServer => ("other-server", fleet::Outcome::Replaced),
                _ => ("refused", fleet::Outcome::Bad),
            };
            seat.note(outcome);
            let mut rest = Reading::new(seat.addr, conn, body);
            // Reads the short body to its end, so that the connection can be kept.
            let _ = tokio::time::timeout(OPEN_TIME, async {
                while let Some(Ok(_)) = rest.next(&desk.pool).await {}
            })
            .await;
            Sent::NotRun { why, arrived: true }
        }
        AnswerKind::OtherRequest => {
            seat.note(fleet::Outcome::Bad);
            Sent::Unknown(Failure::Sent("the answer belongs to another request".into()))
        }
        AnswerKind::Succeeded | AnswerKind::Failed => {
            let good = said == AnswerKind::Succeeded;
            Sent::Answer { head, body: Reading::new(seat.addr, conn, body), good }
        }
    }
}
