//! Forwards a stream of events to its client, and resumes it at another server if it breaks off.

use std::{rc, sync::Arc};

use hyper::http::response;

use super::{
    attempt::{self, AttemptResult},
    forward::RoutedRequest,
    request_log::RequestLog,
    reservation::Reservation,
    state::Gateway,
};
use crate::{
    balance::selector,
    http::{
        self,
        answer::StreamSender,
        client::{BodyReader, Failure},
        events::{self, EventSplitter},
    },
    metrics,
    platform::exchange,
    site::catalog,
};

/// Bytes of events that a stream may hold before they are charged to its client. While they find no
/// room, the server's stream is not read.
const FREE_EVENT_BYTES: usize = 16 << 10;

/// A stream of events that a server has begun to send.
pub struct Stream {
    /// Head of the answer.
    pub head: response::Parts,
    /// Body of the answer, which holds the events.
    pub body: BodyReader,
    /// Slot at the server.
    pub reservation: Reservation,
    /// Request that is answered.
    pub req: RoutedRequest,
    /// Log line of the request.
    pub request_log: RequestLog,
}

/// How far the events of a stream have been forwarded.
#[derive(Default)]
struct Progress {
    /// Id of the last event, if it had one.
    last_id: Option<String>,
    /// Whether the present server resumes the stream of another.
    is_resumed: bool,
    /// Whether the present server has sent an event.
    has_events: bool,
}

impl Progress {
    /// Checks that `events`, a run of complete events, follow those before if the present server
    /// resumes the stream.
    fn check_order(&self, events: &[u8]) -> Result<(), Failure> {
        if !self.is_resumed {
            return Ok(());
        }
        let mut last_number = self.last_id.as_deref().and_then(|id| id.parse::<u64>().ok());
        for id in EventSplitter::ids(events) {
            let number = id.and_then(|id| id.parse().ok());
            let follows = last_number.is_none_or(|last| number.is_some_and(|number| number > last));
            if id.is_none() || !follows {
                return Err(Failure::Sent(format!("event {id:?} follows event {last_number:?}")));
            }
            last_number = number;
        }
        Ok(())
    }

    /// Records that `events`, a run of complete events, have been forwarded.
    fn record(&mut self, events: &[u8]) {
        if let Some(last_id) = EventSplitter::ids(events).last() {
            (self.last_id, self.has_events) = (last_id.map(str::to_owned), true);
        }
    }

    /// Whether another server can send the events that follow the last one.
    fn is_resumable(&self) -> bool {
        self.last_id.is_some() || !self.has_events
    }
}

/// Reason why a stream ended early.
enum Interruption {
    /// The client closed its connection.
    ClientLeft,
    /// The time allowed is over.
    Timeout,
    /// The server's stream broke off or was malformed.
    Server(Failure),
    /// The stream is to move to the server of this reservation.
    Move(Box<Reservation>),
}

/// Starts a task that forwards `stream`; returns the response that the events go into.
pub fn start(gateway: rc::Rc<Gateway>, stream: Stream) -> http::Response {
    let (tx, body) = http::Body::stream();
    let mut res = hyper::Response::new(body);
    *res.status_mut() = stream.head.status;
    *res.headers_mut() = exchange::forwarded_headers(&stream.head.headers);
    tokio::task::spawn_local(run(gateway, stream, tx));
    res
}

async fn run(gateway: rc::Rc<Gateway>, stream: Stream, tx: StreamSender) {
    let Stream { head, mut body, mut reservation, mut req, mut request_log } = stream;
    let status = head.status.as_u16();
    let mut progress = Progress::default();
    loop {
        let (server, group) = (reservation.server.clone(), reservation.group().map(str::to_owned));
        let moving = gateway.reserve_move(&req, &server, group.as_deref());
        let forwarding = forward_events(
            (&gateway, &req.client),
            &mut body,
            &mut reservation,
            &tx,
            &mut progress,
            &mut request_log,
        );
        let forwarded = tokio::select! {
            forwarded = forwarding => forwarded,
            () = tx.closed() => Err(Interruption::ClientLeft),
            () = tokio::time::sleep_until(req.timeout_at) => Err(Interruption::Timeout),
            target = moving => Err(Interruption::Move(Box::new(target))),
        };
        let mut target = None;
        match forwarded {
            Ok(()) => {
                reservation.record_complete_answer();
                request_log.add_result("end");
                request_log.set_end(metrics::Ending::Complete, status, "answered");
                return tx.finish();
            }
            Err(Interruption::ClientLeft) => return,
            Err(Interruption::Timeout) => {
                request_log.add_result("timeout");
                return request_log.set_end(metrics::Ending::Failed, status, "late");
            }
            Err(Interruption::Server(failure)) => {
                reservation.set_outcome(selector::Outcome::Failure);
                request_log.add_failure(&failure);
                reservation.record_break(&req, &failure);
            }
            Err(Interruption::Move(reserved)) => {
                request_log.add_result("moved");
                target = Some(*reserved);
            }
        }
        // Closes the connection and releases the slot before another one is reserved.
        drop((body, reservation));
        let timeout_at = req.timeout_at;
        let resuming = resume(&gateway, &mut req, (&head, &progress), target, &mut request_log);
        let resumed = tokio::select! {
            resumed = resuming => resumed,
            () = tx.closed() => return,
            () = tokio::time::sleep_until(timeout_at) => None,
        };
        match resumed {
            Some(resumed) => {
                (body, reservation) = resumed;
                (progress.is_resumed, progress.has_events) = (true, false);
            }
            None => return request_log.set_end(metrics::Ending::Failed, status, "broken-off"),
        }
    }
}

/// Forwards complete events until the stream ends.
async fn forward_events(
    (gateway, client): (&Gateway, &Arc<http::Client>),
    body: &mut BodyReader,
    reservation: &mut Reservation,
    tx: &StreamSender,
    progress: &mut Progress,
    request_log: &mut RequestLog,
) -> Result<(), Interruption> {
    let mut events = EventSplitter::new(0);
    let evicted = |_| Interruption::ClientLeft;
    let mut memory = client.charge(0).map_err(evicted)?;
    while let Some(data) = body.next(&gateway.pool).await {
        let data = data.map_err(Interruption::Server)?;
        let complete = events.push(&data);
        let complete =
            complete.map_err(|err| Interruption::Server(Failure::Sent(err.to_string())))?;
        let incomplete_bytes = events.incomplete_bytes();
        let held_bytes = incomplete_bytes + complete.as_ref().map_or(0, |(data, _)| data.len());
        let charged_bytes = held_bytes.saturating_sub(FREE_EVENT_BYTES);
        memory.resize_when_possible(charged_bytes).await.map_err(evicted)?;
        let Some((complete, events)) = complete else { continue };
        progress.check_order(&complete).map_err(Interruption::Server)?;
        request_log.record_piece();
        reservation.record_events(events);
        // A stream that moves or ends while this waits has not forwarded the events.
        let slot = tx.reserve(complete.len()).await.ok_or(Interruption::ClientLeft)?;
        progress.record(&complete);
        let charge = memory.split_off(incomplete_bytes.saturating_sub(FREE_EVENT_BYTES));
        slot.send(http::Payload::from(complete).with_charge(Some(charge)));
    }
    let problem = match () {
        () if !events.at_event_boundary() => "the stream ended within an event",
        () if progress.is_resumed && !progress.has_events => {
            "the stream was resumed without events"
        }
        () => return Ok(()),
    };
    Err(Interruption::Server(Failure::Sent(problem.into())))
}

/// Returns whether an answer with the head `next` can be the rest of the one that began with `first`.
fn is_rest(first: &response::Parts, next: &response::Parts) -> bool {
    first.status == next.status
        && events::is_event_stream(&first.headers)
        && events::is_event_stream(&next.headers)
}

/// Resumes the stream that began with the head `first` at another server, after the events of
/// `progress`; returns `None` if that is not possible. The first attempt is that of `target`, if
/// there is one.
async fn resume(
    gateway: &rc::Rc<Gateway>,
    req: &mut RoutedRequest,
    (first, progress): (&response::Parts, &Progress),
    mut target: Option<Reservation>,
    request_log: &mut RequestLog,
) -> Option<(BodyReader, Reservation)> {
    let may_resume = req.route.repeatability == catalog::Repeatability::Resumable;
    if !may_resume || !progress.is_resumable() {
        return None;
    }
    let last_id = progress.last_id.as_deref();
    loop {
        let mut reservation = match target.take() {
            Some(reservation) => reservation,
            None if req.take_retry_after_break(gateway) => gateway.reserve(req).ok()?,
            None => return None,
        };
        request_log.add_attempt(&reservation.server, reservation.in_flight);
        req.tried.push(reservation.server.clone());
        match attempt::send(gateway, &mut reservation, req, last_id).await {
            AttemptResult::Answer { head, body, succeeded: true } if is_rest(first, &head) => {
                req.arrivals += 1;
                return Some((body, reservation));
            }
            AttemptResult::Answer { head, succeeded, .. } => {
                let status = head.status.as_str();
                request_log.add_result(if succeeded { "no-stream" } else { status });
                reservation.set_outcome(selector::Outcome::Failure);
                req.arrivals += 1;
            }
            AttemptResult::NotRun { reason, arrived } => {
                request_log.add_result(reason);
                req.arrivals += u32::from(arrived);
            }
            AttemptResult::Unknown(failure) => {
                request_log.add_failure(&failure);
                reservation.record_break(req, &failure);
                req.arrivals += 1;
            }
        }
    }
}
