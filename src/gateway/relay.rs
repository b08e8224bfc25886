//! Passes a stream of events on to its caller, and goes on at another server where it breaks.

use std::rc;

use hyper::http::response;
use tokio::sync::mpsc;

use super::{
    attempt::{self, Sent},
    desk::{Desk, Seat},
    forward::Job,
    trail::Trail,
};
use crate::{
    balance::fleet,
    http::{
        self,
        answer::Piece,
        client::{Failure, Reading},
        events::Events,
    },
    metrics,
    platform::exchange,
    site::catalog,
};

/// Pieces that wait for a caller that reads slowly; then the server's stream waits too.
const AHEAD: usize = 16;

/// A stream that a server has begun.
pub struct Stream {
    /// Head of the answer.
    pub head: response::Parts,
    /// Its events.
    pub body: Reading,
    /// The place at its server.
    pub seat: Seat,
    /// The request.
    pub job: Job,
    /// Its log line.
    pub trail: Trail,
}

/// Why a stream ended before its end.
enum Broken {
    /// The caller left.
    Caller,
    /// Time is up.
    Late,
    /// The server broke off.
    Server(Failure),
}

/// Starts passing `stream` on; gives the head of the answer.
pub fn start(desk: rc::Rc<Desk>, stream: Stream) -> http::Response {
    let (tx, rx) = mpsc::channel(AHEAD);
    let mut res = hyper::Response::new(http::Body::Stream(rx));
    *res.status_mut() = stream.head.status;
    *res.headers_mut() = exchange::forwarded_headers(&stream.head.headers);
    tokio::task::spawn_local(run(desk, stream, tx));
    res
}

async fn run(desk: rc::Rc<Desk>, stream: Stream, tx: mpsc::Sender<Piece>) {
    let Stream { head, mut body, mut seat, mut job, mut trail } = stream;
    let status = head.status.as_u16();
    let mut last: Option<String> = None;
    loop {
        let passing = pass(&desk, &mut body, &tx, &mut last, &mut trail);
        let passed = tokio::select! {
            passed = passing => passed,
            () = tx.closed() => Err(Broken::Caller),
            () = tokio::time::sleep_until(job.until) => Err(Broken::Late),
        };
        match passed {
            Ok(()) => {
                seat.note(fleet::Outcome::Good);
                trail.got("end");
                trail.end(metrics::Ending::Whole, status, "answered");
                let _ = tx.send(Piece::End).await;
                return;
            }
            Err(Broken::Caller) => return,
            Err(Broken::Late) => {
                trail.got("timeout");
                return trail.end(metrics::Ending::Failed, status, "late");
            }
            Err(Broken::Server(failure)) => {
                seat.note(fleet::Outcome::Bad);
                trail.failed(&failure);
            }
        }
        // Closes the connection and gives the place back before another is taken.
        drop((body, seat));
        let until = job.until;
        let resumed = tokio::select! {
            resumed = resume(&desk, &mut job, last.as_deref(), &mut trail) => resumed,
            () = tx.closed() => return,
            () = tokio::time::sleep_until(until) => None,
        };
        match resumed {
            Some(resumed) => (body, seat) = resumed,
            None => return trail.end(metrics::Ending::Failed, status, "broken-off"),
        }
    }
}

/// Passes whole events on until the stream ends.
async fn pass(
    desk: &Desk,
    body: &mut Reading,
    tx: &mpsc::Sender<Piece>,
    last: &mut Option<String>,
    trail: &mut Trail,
) -> Result<(), Broken> {
    let mut events = Events::new(0);
    while let Some(data) = body.next(&desk.pool).await {
        let data = data.map_err(Broken::Server)?;
        let whole = events.push(&data);
        let whole = whole.map_err(|err| Broken::Server(Failure::Sent(err.to_string())))?;
        let Some((whole, _)) = whole else { continue };
        if let Some(id) = Events::last_id(&whole) {
            *last = Some(id.to_owned());
        }
        trail.piece();
        tx.send(Piece::Data(whole.into())).await.map_err(|_| Broken::Caller)?;
    }
    match events.whole() {
        true => Ok(()),
        false => Err(Broken::Server(Failure::Sent("the stream ended within an event".into()))),
    }
}

/// Begins the rest of the stream at another server; `None` if it cannot go on.
async fn resume(
    desk: &rc::Rc<Desk>,
    job: &mut Job,
    last: Option<&str>,
    trail: &mut Trail,
) -> Option<(Reading, Seat)> {
    if job.route.repeatability != catalog::Repeatability::Resumable {
        return None;
    }
    while job.again(desk) {
        let mut seat =
            desk.seat(&job.catalog, &job.service, job.route.max_event_gap, &job.tried).ok()?;
        trail.sent(&seat.server, seat.in_flight);
        job.tried.push(seat.server.clone());
        match attempt::send(desk, &mut seat, job, last).await {
            Sent::Answer { body, good: true, .. } => {
                job.arrivals += 1;
                return Some((body, seat));
            }
            Sent::Answer { head, .. } => {
                trail.got(head.status.as_str());
                job.arrivals += 1;
            }
            Sent::NotRun { why, arrived } => {
                trail.got(why);
                job.arrivals += u32::from(arrived);
            }
            Sent::Unknown(failure) => {
                trail.failed(&failure);
                job.arrivals += 1;
            }
        }
    }
    None
}
