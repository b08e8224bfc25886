//! A request's way from its caller to a backend server and back.

use std::{rc, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{header, http::request, http::response};
use tokio::time::Instant;

use super::{
    attempt::{self, Sent},
    desk::{Desk, NoSeat, Seat},
    refusal::Refusal,
    relay,
    trail::Trail,
};
use crate::{
    balance::fleet,
    http, metrics, name,
    platform::exchange,
    site::{Catalog, catalog},
};

/// Largest answer of a call that does not stream, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Longest time allowed to a caller that states none and whose route states none.
const LONGEST: time::Duration = time::Duration::from_secs(60);
/// Servers that may be unreachable before the request is refused; each takes up to half a second.
const UNSENT: u32 = 3;
/// Part of a caller's remaining time after which it is asked to come back, at least and at most.
/// Callers heed up to a third, and most come back only once: spread over all of that time, more
/// of them find a place.
const COME_BACK: (f64, f64) = (0.08, 0.33);
/// The same where servers are there and take nothing: a group that lost a member, or power, needs
/// about two seconds until it works again.
const COME_BACK_AFTER_OUTAGE: (f64, f64) = (0.2, 0.33);
/// Part of the time in which an answer is worth most that a request may wait for a place. Longer
/// waits only delay the refusal.
const WAITING_PART: f64 = 0.1;
/// Time left of a caller that stated none, for when it is asked to come back, in seconds.
const COME_BACK_S: f64 = 1.5;

/// Answers callers.
pub struct Forward {
    /// State of the gateway.
    pub desk: rc::Rc<Desk>,
}

impl http::Handler for Forward {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let mut res = self.answer(req).await;
        if self.desk.leaving() {
            let close = header::HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
        res
    }
}

/// What the configuration says of a request.
struct Found {
    catalog: rc::Rc<Catalog>,
    route: catalog::Route,
    workspace: Option<name::Workspace>,
    priority: u8,
}

/// A request whose route and caller are known, with its whole body.
pub struct Job {
    /// The caller's head.
    pub head: request::Parts,
    /// The caller's body.
    pub body: Bytes,
    /// Identity of this attempt of the caller.
    pub id: String,
    /// Configuration that the route is from.
    pub catalog: rc::Rc<Catalog>,
    /// The route.
    pub route: catalog::Route,
    /// Service chosen.
    pub service: name::Service,
    /// Whose request it is.
    pub workspace: Option<name::Workspace>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When the caller, or the route, gives up.
    pub until: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Servers that it was sent to.
    pub tried: Vec<name::Server>,
    /// Sends that arrived at a server.
    pub arrivals: u32,
    /// Whether a send may have run.
    pub may_have_run: bool,
    /// A server's failure, passed on if no other server does better.
    pub failure: Option<http::Response>,
}

impl Job {
    /// The send to the server of `seat`.
    pub fn send<'a>(&'a self, seat: &'a Seat, resume: Option<&'a str>) -> exchange::Attempt<'a> {
        exchange::Attempt {
            head: &self.head,
            body: &self.body,
            server: &seat.server,
            addr: seat.addr,
            workspace: self.workspace.as_ref(),
            priority: self.priority,
            time_left: self.until.saturating_duration_since(Instant::now()),
            last_event_id: resume,
        }
    }

    /// Whether it may be sent again although it may have run.
    pub fn repeatable(&self) -> bool {
        self.route.repeatability != catalog::Repeatability::Once
    }

    /// Whether one more send is allowed by the time left, the route and the budget.
    pub fn again(&self, desk: &Desk) -> bool {
        let unsent = self.tried.len() as u32 - self.arrivals.min(self.tried.len() as u32);
        match self.arrivals {
            _ if Instant::now() >= self.until || unsent >= UNSENT => false,
            0 => true,
            arrivals => arrivals < self.route.max_attempts && desk.retry(&self.service),
        }
    }
}

impl Forward {
    async fn answer(&self, req: http::Request) -> http::Response {
        let (head, body) = req.into_parts();
        let arrived = Instant::now();
        let envelope = match exchange::parse_request(&head) {
            Ok(envelope) => envelope,
            Err(problem) => {
                log::info!(why:% = problem; "request refused");
                return Refusal::Malformed.answer(None);
            }
        };
        let mut trail = Trail::new(&envelope.id);
        let Found { catalog, route, workspace, priority } =
            match self.find(&head, &envelope, &mut trail) {
                Ok(found) => found,
                Err(refusal) => return self.refuse(refusal, None, &mut trail),
            };
        let given = envelope.deadline.unwrap_or(LONGEST);
        let deadline = arrived + given;
        let until = arrived + given.min(route.timeout).max(time::Duration::from_millis(1));
        let body = match read_body(body, catalog.limits.max_body_bytes, until).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse(refusal, None, &mut trail),
        };
        let service = self.desk.service(&route).clone();
        let job = Job {
            head,
            body,
            id: envelope.id,
            catalog,
            route,
            service,
            workspace,
            priority,
            until,
            deadline,
            tried: Vec::new(),
            arrivals: 0,
            may_have_run: false,
            failure: None,
        };
        self.desk.first(&job.service);
        self.run(job, trail).await
    }

    /// The route and whose request it is.
    fn find(
        &self,
        head: &request::Parts,
        envelope: &exchange::RequestInfo,
        trail: &mut Trail,
    ) -> Result<Found, Refusal> {
        let catalog = self.desk.catalog().ok_or(Refusal::NoConfiguration)?;
        let route = catalog.route(&envelope.host, head.uri.path()).ok_or(Refusal::NoRoute)?;
        let flight = self.desk.metrics.begin(&route.name, time::Instant::now());
        trail.routed(&route.name, catalog.version, flight);
        let holder = catalog.key_holder(route, envelope.api_key.as_deref());
        let holder = holder.map_err(|catalog::UnknownApiKey| Refusal::UnknownKey)?;
        let workspace = holder.map(|holder| holder.workspace.clone());
        let priority = holder.and_then(|holder| holder.priority).unwrap_or(route.priority);
        let route = route.clone();
        Ok(Found { catalog, route, workspace, priority })
    }

    async fn run(&self, mut job: Job, mut trail: Trail) -> http::Response {
        loop {
            let mut seat = match self.seat(&job).await {
                Ok(seat) => seat,
                Err(none) => {
                    let refusal = match none {
                        _ if job.arrivals > 0 => Refusal::NotRun,
                        NoSeat::Full => Refusal::Full,
                        NoSeat::Nobody => Refusal::Nobody,
                    };
                    return self.give_up(refusal, job, &mut trail);
                }
            };
            trail.sent(&seat.server, seat.in_flight);
            job.tried.push(seat.server.clone());
            let sending = attempt::send(&self.desk, &mut seat, &job, None);
            let sent = tokio::time::timeout_at(job.until, sending).await;
            match sent {
                Err(_) => {
                    trail.got("timeout");
                    return self.refuse(Refusal::Late, Some(&job), &mut trail);
                }
                Ok(Sent::NotRun { why, arrived }) => {
                    trail.got(why);
                    job.arrivals += u32::from(arrived);
                    if !job.again(&self.desk) {
                        return self.give_up(Refusal::NotRun, job, &mut trail);
                    }
                }
                Ok(Sent::Unknown(failure)) => {
                    trail.failed(&failure);
                    job.arrivals += 1;
                    job.may_have_run = true;
                    if !job.repeatable() || !job.again(&self.desk) {
                        return self.give_up(Refusal::NoAnswer, job, &mut trail);
                    }
                }
                Ok(Sent::Answer { head, body, good }) => {
                    job.arrivals += 1;
                    if job.route.streams && good {
                        seat.note(fleet::Outcome::Good);
                        let stream = relay::Stream { head, body, seat, job, trail };
                        return relay::start(rc::Rc::clone(&self.desk), stream);
                    }
                    job.may_have_run = true;
                    match self.whole(&mut job, &mut seat, (head, body), good, &mut trail).await {
                        Some(res) => return res,
                        None => continue,
                    }
                }
            }
        }
    }

    /// A place at a server. Waits for one, but not longer than leaves the answer on time.
    async fn seat(&self, job: &Job) -> Result<Seat, NoSeat> {
        let until = Instant::now() + job.route.latency_target.mul_f64(WAITING_PART);
        loop {
            let freed = self.desk.freed.notified();
            let pause = job.route.max_event_gap;
            let seat = self.desk.seat(&job.catalog, &job.service, pause, &job.tried);
            match seat {
                Err(NoSeat::Full) if job.arrivals == 0 => {}
                seat => return seat,
            }
            if tokio::time::timeout_at(until, freed).await.is_err() {
                return Err(NoSeat::Full);
            }
        }
    }

    /// Reads a whole answer and passes it on; `None` if the request is to be sent again.
    async fn whole(
        &self,
        job: &mut Job,
        seat: &mut Seat,
        (head, mut body): (response::Parts, http::client::Reading),
        good: bool,
        trail: &mut Trail,
    ) -> Option<http::Response> {
        let reading = body.whole(&self.desk.pool, ANSWER_BYTES);
        let data = match tokio::time::timeout_at(job.until, reading).await {
            Err(_) => {
                trail.got("timeout");
                return Some(self.refuse(Refusal::Late, Some(job), trail));
            }
            Ok(Err(failure)) => {
                seat.note(fleet::Outcome::Bad);
                trail.failed(&failure);
                if job.repeatable() && job.again(&self.desk) {
                    return None;
                }
                return Some(self.refuse(Refusal::NoAnswer, Some(job), trail));
            }
            Ok(Ok(data)) => data,
        };
        seat.note(if good { fleet::Outcome::Good } else { fleet::Outcome::Bad });
        trail.got(head.status.as_str());
        let mut res = hyper::Response::new(http::Body::whole(data));
        *res.status_mut() = head.status;
        *res.headers_mut() = exchange::forwarded_headers(&head.headers);
        if head.status.is_server_error() && job.repeatable() && job.again(&self.desk) {
            job.failure = Some(res);
            return None;
        }
        trail.piece();
        let ending = if good { metrics::Ending::Whole } else { metrics::Ending::Failed };
        trail.end(ending, head.status.as_u16(), "answered");
        Some(res)
    }

    /// Ends a request that no server answered well: with a server's failure if there was one,
    /// and never saying that it did not run if it may have.
    fn give_up(&self, refusal: Refusal, mut job: Job, trail: &mut Trail) -> http::Response {
        if let Some(failure) = job.failure.take() {
            trail.end(metrics::Ending::Failed, failure.status().as_u16(), "answered");
            return failure;
        }
        let refusal = if job.may_have_run { Refusal::NoAnswer } else { refusal };
        self.refuse(refusal, Some(&job), trail)
    }

    fn refuse(&self, refusal: Refusal, job: Option<&Job>, trail: &mut Trail) -> http::Response {
        self.desk.metrics.refused(refusal.label());
        let ending = match refusal.status() {
            502 | 504 => metrics::Ending::Failed,
            _ => metrics::Ending::Refused,
        };
        trail.end(ending, refusal.status(), refusal.label());
        refusal.answer(Some(self.come_back(refusal, job)))
    }

    /// When to come back: spread, so that callers refused together do not return together.
    fn come_back(&self, refusal: Refusal, job: Option<&Job>) -> time::Duration {
        let left = job.map(|job| job.deadline.saturating_duration_since(Instant::now()));
        let left = left.map_or(COME_BACK_S, |left| left.as_secs_f64());
        let (least, most) = match refusal {
            Refusal::NotRun | Refusal::Nobody => COME_BACK_AFTER_OUTAGE,
            _ => COME_BACK,
        };
        time::Duration::from_secs_f64(self.desk.between(least, most) * left)
    }
}

async fn read_body(
    body: hyper::body::Incoming,
    limit: usize,
    until: Instant,
) -> Result<Bytes, Refusal> {
    let reading = http_body_util::Limited::new(body, limit).collect();
    match tokio::time::timeout_at(until, reading).await {
        Err(_) => Err(Refusal::BodyLate),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(err)) => {
            log::info!("a request body broke off: {err}");
            Err(Refusal::BodyBroken)
        }
    }
}
