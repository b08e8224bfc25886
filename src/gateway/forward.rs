//! Forwards a client's request to backend servers, with retries, and returns the answer.

use std::{rc, sync::Arc, time};

use hyper::{header, http::request, http::response};
use tokio::time::Instant;

use super::{
    attempt::{self, AttemptResult},
    fingerprint,
    refusal::Refusal,
    relay,
    request_log::RequestLog,
    reservation::Reservation,
    state::{Gateway, ReserveError, Waiting},
};
use crate::{
    balance::{selector, wait_queue},
    http::{self, upload},
    metrics, name,
    platform::exchange,
    site::{Catalog, catalog},
};

/// Largest body of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time allowed to a client that states no deadline; the route's timeout limits it further.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);
/// Attempts that may fail to reach their server before the request is refused; each takes up to
/// half a second.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Smallest and largest Retry-After, as fractions of the client's remaining time. Clients honor
/// Retry-After up to a third of that time, and most retry only once: with retries spread over all
/// of it, more of them find a free slot.
const RETRY_AFTER_RANGE: (f64, f64) = (0.08, 0.33);
/// Smallest and largest Retry-After when no server takes the request, as fractions of the client's
/// remaining time: a group that lost a member, or its power, needs about two seconds to recover.
const RETRY_AFTER_OUTAGE_RANGE: (f64, f64) = (0.2, 0.33);
/// Remaining time that Retry-After is computed from when a request is refused before its body is
/// complete, in seconds.
const DEFAULT_REMAINING_S: f64 = 1.5;

/// Handler of the clients' port.
pub struct Forwarder {
    /// State of the gateway.
    pub gateway: rc::Rc<Gateway>,
}

impl http::Handler for Forwarder {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        let mut res = self.answer(req).await;
        if self.gateway.is_stopping() {
            let close = header::HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
        res
    }
}

/// Reason why an attempt is ended before its server has answered.
enum Cutoff {
    /// The time allowed is over.
    Timeout,
    /// The process is about to end.
    Shutdown,
}

impl Cutoff {
    /// Returns the result of the attempt, as logged.
    fn label(&self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Shutdown => "shutdown",
        }
    }

    fn refusal(&self) -> Refusal {
        match self {
            Self::Timeout => Refusal::Timeout,
            Self::Shutdown => Refusal::NoAnswer,
        }
    }
}

/// Parts of the configuration that apply to a request.
struct RouteMatch {
    catalog: rc::Rc<Catalog>,
    route: catalog::Route,
    workspace: Option<name::Workspace>,
    priority: u8,
}

/// A request whose route and client are known, with its complete body and its progress.
pub struct RoutedRequest {
    /// Head that the client sent.
    pub head: request::Parts,
    /// Body that the client sent.
    pub body: http::Payload,
    /// Connection of the client.
    pub client: Arc<http::Client>,
    /// Memory for the connection to a server.
    _server_memory: http::Charge,
    /// Identity of this attempt of the client.
    pub id: String,
    /// Fingerprints by which requests that crash servers are recognized.
    pub fingerprints: rc::Rc<[name::Fingerprint]>,
    /// Configuration that the route is from.
    pub catalog: rc::Rc<Catalog>,
    /// Route that matched.
    pub route: catalog::Route,
    /// Service that was picked among the targets of the route.
    pub service: name::Service,
    /// Workspace of the client.
    pub workspace: Option<name::Workspace>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Urgency among the requests that wait for a slot.
    pub urgency: wait_queue::Urgency,
    /// Time at which the client, or the route, gives up.
    pub timeout_at: Instant,
    /// Time at which the client gives up.
    pub deadline: Instant,
    /// Servers at which the request was attempted.
    pub tried: Vec<name::Server>,
    /// Number of attempts that arrived at a server.
    pub arrivals: u32,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Time before which a retry cannot succeed, if it is known.
    pub min_retry_after: Option<time::Duration>,
    /// Failure that a server returned; sent to the client if no other server succeeds.
    pub failure: Option<http::Response>,
}

impl RoutedRequest {
    /// Builds the attempt at the server of `reservation`; `last_event_id` is the last event that
    /// the client has, for a stream that is resumed.
    pub fn build_attempt<'a>(
        &'a self,
        reservation: &'a Reservation,
        last_event_id: Option<&'a str>,
    ) -> exchange::Attempt<'a> {
        exchange::Attempt {
            head: &self.head,
            body: &self.body,
            server: &reservation.server,
            addr: reservation.addr,
            workspace: self.workspace.as_ref(),
            priority: self.priority,
            time_left: self.timeout_at.saturating_duration_since(Instant::now()),
            last_event_id,
        }
    }

    /// Returns whether the request may be sent again although it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatability != catalog::Repeatability::Once
    }

    /// Returns whether the request may be sent again after an attempt that broke off, and takes the
    /// retry from the budget.
    pub fn take_retry_after_break(&self, gateway: &Gateway) -> bool {
        self.is_repeatable() && gateway.may_resend(&self.fingerprints) && self.take_retry(gateway)
    }

    /// Returns whether the remaining time, the route and the retry budget allow one more attempt,
    /// and takes it from the budget if an earlier attempt arrived at a server.
    pub fn take_retry(&self, gateway: &Gateway) -> bool {
        let unsent = self.tried.len() as u32 - self.arrivals.min(self.tried.len() as u32);
        match self.arrivals {
            _ if Instant::now() >= self.timeout_at || unsent >= MAX_UNSENT_ATTEMPTS => false,
            0 => true,
            arrivals => arrivals < self.route.max_attempts && gateway.take_retry(&self.service),
        }
    }
}

impl Forwarder {
    async fn answer(&self, req: http::Request) -> http::Response {
        let (head, body) = req.into_parts();
        let arrived = Instant::now();
        let info = match exchange::parse_request(&head) {
            Ok(info) => info,
            Err(problem) => {
                log::info!(why:% = problem; "request refused");
                return Refusal::Malformed.to_response(None);
            }
        };
        let mut request_log = RequestLog::new(&info.id);
        let RouteMatch { catalog, route, workspace, priority } =
            match self.match_route(&head, &info, &mut request_log) {
                Ok(route_match) => route_match,
                Err(refusal) => return self.refuse(refusal, None, &mut request_log),
            };
        let allowed = info.deadline.unwrap_or(DEFAULT_DEADLINE);
        let deadline = arrived + allowed;
        let timeout_at = arrived + allowed.min(route.timeout).max(time::Duration::from_millis(1));
        if self.gateway.may_abort_before(timeout_at) {
            return self.refuse(Refusal::Stopping, None, &mut request_log);
        }
        let client = Arc::clone(body.client());
        let body = match body.read_to_end(catalog.limits.max_body_bytes, timeout_at).await {
            Ok(body) => body,
            Err(err) => {
                if let upload::UploadError::Broken(err) = &err {
                    log::info!("request body broke off: {err}");
                }
                return self.refuse(err.into(), None, &mut request_log);
            }
        };
        let Ok(server_memory) = client.charge(http::client::BOUNDED_CONNECTION_BYTES) else {
            return self.refuse(Refusal::NoMemory, None, &mut request_log);
        };
        let service = self.gateway.pick_service(&route).clone();
        let is_late = self.gateway.is_late(&route, info.deadline);
        let urgency = wait_queue::Urgency { priority, is_late };
        // The whole request comes first, since the notes of crashes are limited in size.
        let mut fingerprints =
            vec![fingerprint::of_request(&head, &info.host, workspace.as_ref(), &body)];
        fingerprints.extend(info.shared_prompt);
        let req = RoutedRequest {
            head,
            body,
            client,
            _server_memory: server_memory,
            id: info.id,
            fingerprints: fingerprints.into(),
            catalog,
            route,
            service,
            workspace,
            priority,
            urgency,
            timeout_at,
            deadline,
            tried: Vec::new(),
            arrivals: 0,
            may_have_run: false,
            min_retry_after: None,
            failure: None,
        };
        self.gateway.record_first_attempt(&req.service);
        self.run_attempts(req, request_log).await
    }

    /// Finds the route of a request, and the workspace and priority that its API key stands for.
    fn match_route(
        &self,
        head: &request::Parts,
        info: &exchange::RequestInfo,
        request_log: &mut RequestLog,
    ) -> Result<RouteMatch, Refusal> {
        let catalog = self.gateway.catalog().ok_or(Refusal::NoConfiguration)?;
        let route = catalog.route(&info.host, head.uri.path()).ok_or(Refusal::NoRoute)?;
        let in_flight_request =
            self.gateway.metrics.begin_request(&route.name, time::Instant::now());
        request_log.set_route(&route.name, catalog.version, in_flight_request);
        let holder = catalog.key_holder(route, info.api_key.as_deref());
        let holder = holder.map_err(|catalog::UnknownApiKey| Refusal::UnknownKey)?;
        let workspace = holder.map(|holder| holder.workspace.clone());
        let priority = holder.and_then(|holder| holder.priority).unwrap_or(route.priority);
        let route = route.clone();
        Ok(RouteMatch { catalog, route, workspace, priority })
    }

    async fn run_attempts(
        &self,
        mut req: RoutedRequest,
        mut request_log: RequestLog,
    ) -> http::Response {
        loop {
            if !self.gateway.pool.may_open() {
                return self.give_up(Refusal::NoConnection, req, &mut request_log);
            }
            let mut reservation = match self.reserve(&req).await {
                Ok(reservation) => reservation,
                Err(err) => {
                    let refusal = match err {
                        ReserveError::Paused(left) => {
                            req.min_retry_after = Some(left);
                            Refusal::Paused
                        }
                        ReserveError::Limited(left) => {
                            req.min_retry_after = Some(left);
                            Refusal::Limited
                        }
                        ReserveError::Quarantined(left) => {
                            req.min_retry_after = Some(left);
                            Refusal::Quarantined
                        }
                        ReserveError::Stopping => Refusal::Stopping,
                        _ if req.arrivals > 0 => Refusal::NotRun,
                        ReserveError::Full => Refusal::Full,
                        ReserveError::Slow => Refusal::SlowGroup,
                        ReserveError::Displaced => Refusal::Displaced,
                        ReserveError::NoServer => Refusal::NoServer,
                        ReserveError::Stalled => Refusal::Stalled,
                    };
                    return self.give_up(refusal, req, &mut request_log);
                }
            };
            request_log.add_attempt(&reservation.server, reservation.in_flight);
            req.tried.push(reservation.server.clone());
            let sending = attempt::send(&self.gateway, &mut reservation, &req, None);
            match self.within_time(&req, sending).await {
                Err(cutoff) => {
                    request_log.add_result(cutoff.label());
                    return self.refuse(cutoff.refusal(), Some(&req), &mut request_log);
                }
                Ok(AttemptResult::NotRun { reason, arrived }) => {
                    request_log.add_result(reason);
                    req.arrivals += u32::from(arrived);
                    if !req.take_retry(&self.gateway) {
                        return self.give_up(Refusal::NotRun, req, &mut request_log);
                    }
                }
                Ok(AttemptResult::Unknown(failure)) => {
                    request_log.add_failure(&failure);
                    reservation.record_break(&req, &failure);
                    req.arrivals += 1;
                    req.may_have_run = true;
                    if !req.take_retry_after_break(&self.gateway) {
                        return self.give_up(Refusal::NoAnswer, req, &mut request_log);
                    }
                }
                Ok(AttemptResult::Answer { head, body, succeeded }) => {
                    req.arrivals += 1;
                    if req.route.streams && succeeded {
                        reservation.set_outcome(selector::Outcome::Success);
                        let stream = relay::Stream { head, body, reservation, req, request_log };
                        return relay::start(rc::Rc::clone(&self.gateway), stream);
                    }
                    req.may_have_run = true;
                    match self
                        .finish_answer(
                            &mut req,
                            &mut reservation,
                            (head, body),
                            succeeded,
                            &mut request_log,
                        )
                        .await
                    {
                        Some(res) => return res,
                        None => continue,
                    }
                }
            }
        }
    }

    /// Reserves a slot at a server. Before the first arrival, waits for its turn and a free slot, or
    /// until a server's limit allows the request, while the answer can still be on time.
    async fn reserve(&self, req: &RoutedRequest) -> Result<Reservation, ReserveError> {
        let gateway = &self.gateway;
        let mut waiting: Option<Waiting> = None;
        let mut failure = ReserveError::Full;
        loop {
            let slot_freed = gateway.slot_freed.notified();
            let probe_claim_ended = gateway.probe_claim_ended.notified();
            if waiting.as_ref().is_some_and(Waiting::is_displaced) {
                return Err(ReserveError::Displaced);
            }
            // A request that was not sent before is sent only if it ends before the process does.
            if req.arrivals == 0 && gateway.may_abort_before(req.timeout_at) {
                return Err(ReserveError::Stopping);
            }
            let mut allowed_at = None;
            if req.arrivals > 0 || gateway.has_turn(req, waiting.as_ref()) {
                match gateway.reserve(req) {
                    Ok(reservation) => {
                        gateway.record_grant(req);
                        return Ok(reservation);
                    }
                    Err(err) if req.arrivals > 0 => return Err(err),
                    Err(err @ (ReserveError::Full | ReserveError::Slow)) => failure = err,
                    Err(err @ ReserveError::Limited(left)) => {
                        (failure, allowed_at) = (err, Some(Instant::now() + left));
                    }
                    Err(err @ ReserveError::Quarantined(_)) => {
                        let Some(claim_time) = gateway.probe_claim_time(&req.fingerprints) else {
                            return Err(err);
                        };
                        let wait_until = req.timeout_at.min(Instant::now() + claim_time);
                        tokio::select! {
                            () = probe_claim_ended => continue,
                            () = tokio::time::sleep_until(wait_until) => return Err(err),
                            () = gateway.aborted() => return Err(err),
                        }
                    }
                    Err(err) => return Err(err),
                }
            }
            let waiting = match &waiting {
                Some(waiting) => waiting,
                None => match gateway.join_queue(req) {
                    Some(joined) => waiting.insert(joined),
                    None => return Err(failure),
                },
            };
            if allowed_at.is_some_and(|at| at >= waiting.until) {
                return Err(failure);
            }
            let next_try_at = allowed_at.unwrap_or(waiting.until);
            tokio::select! {
                () = slot_freed => {}
                () = tokio::time::sleep_until(next_try_at) => {
                    if next_try_at >= waiting.until {
                        return Err(failure);
                    }
                }
                () = gateway.aborted() => return Err(failure),
            }
        }
    }

    /// Runs a step of an attempt, unless the request's time ends first or the process is about to
    /// end.
    async fn within_time<T>(
        &self,
        req: &RoutedRequest,
        step: impl Future<Output = T>,
    ) -> Result<T, Cutoff> {
        tokio::select! {
            result = tokio::time::timeout_at(req.timeout_at, step) => {
                result.map_err(|_| Cutoff::Timeout)
            }
            () = self.gateway.aborted() => Err(Cutoff::Shutdown),
        }
    }

    /// Reads an answer to its end and returns it for the client; returns `None` if the request is
    /// to be sent again.
    async fn finish_answer(
        &self,
        req: &mut RoutedRequest,
        reservation: &mut Reservation,
        (head, mut body): (response::Parts, http::client::BodyReader),
        succeeded: bool,
        request_log: &mut RequestLog,
    ) -> Option<http::Response> {
        let reading = body.read_for(&self.gateway.pool, MAX_ANSWER_BYTES, &req.client);
        let data = match self.within_time(req, reading).await {
            Err(cutoff) => {
                request_log.add_result(cutoff.label());
                return Some(self.refuse(cutoff.refusal(), Some(req), request_log));
            }
            Ok(Err(failure)) => {
                reservation.set_outcome(selector::Outcome::Failure);
                request_log.add_failure(&failure);
                reservation.record_break(req, &failure);
                if req.take_retry_after_break(&self.gateway) {
                    return None;
                }
                return Some(self.refuse(Refusal::NoAnswer, Some(req), request_log));
            }
            Ok(Ok(data)) => data,
        };
        match succeeded {
            true => reservation.record_complete_answer(),
            false => reservation.set_outcome(selector::Outcome::Failure),
        }
        request_log.add_result(head.status.as_str());
        let states_not_run = exchange::is_refusal(head.status);
        let may_retry = head.status.is_server_error() || states_not_run;
        let is_retried = may_retry && req.is_repeatable() && req.take_retry(&self.gateway);
        if states_not_run {
            return (!is_retried).then(|| self.refuse(Refusal::Failed, Some(req), request_log));
        }
        let mut res = hyper::Response::new(http::Body::whole(data));
        *res.status_mut() = head.status;
        *res.headers_mut() = exchange::forwarded_headers(&head.headers);
        if is_retried {
            req.failure = Some(res);
            return None;
        }
        request_log.record_piece();
        let ending = if succeeded { metrics::Ending::Complete } else { metrics::Ending::Failed };
        request_log.set_end(ending, head.status.as_u16(), "answered");
        Some(res)
    }

    /// Ends a request that no server answered successfully: returns a server's failure if there
    /// was one, and never states that the request did not run if it may have run.
    fn give_up(
        &self,
        refusal: Refusal,
        mut req: RoutedRequest,
        request_log: &mut RequestLog,
    ) -> http::Response {
        if let Some(failure) = req.failure.take() {
            request_log.set_end(metrics::Ending::Failed, failure.status().as_u16(), "answered");
            return failure;
        }
        let refusal = if req.may_have_run { Refusal::NoAnswer } else { refusal };
        self.refuse(refusal, Some(&req), request_log)
    }

    fn refuse(
        &self,
        refusal: Refusal,
        req: Option<&RoutedRequest>,
        request_log: &mut RequestLog,
    ) -> http::Response {
        self.gateway.metrics.count_refusal(refusal.label());
        let ending = match refusal.status() {
            502 | 504 => metrics::Ending::Failed,
            _ => metrics::Ending::Refused,
        };
        request_log.set_end(ending, refusal.status(), refusal.label());
        refusal.to_response(Some(self.retry_after(refusal, req)))
    }

    /// Returns a randomized Retry-After, so that clients refused together do not retry together. It
    /// is never before the time at which a retry can succeed, if that is known.
    fn retry_after(&self, refusal: Refusal, req: Option<&RoutedRequest>) -> time::Duration {
        if refusal == Refusal::Stopping {
            // Another gateway takes the request at once.
            return time::Duration::ZERO;
        }
        let min_retry_after = req.and_then(|req| req.min_retry_after).unwrap_or_default();
        let remaining = req.map(|req| req.deadline.saturating_duration_since(Instant::now()));
        let remaining_s = remaining.map_or(DEFAULT_REMAINING_S, |left| left.as_secs_f64());
        let (min, max) = match refusal {
            Refusal::NotRun | Refusal::NoServer | Refusal::Stalled => RETRY_AFTER_OUTAGE_RANGE,
            _ => RETRY_AFTER_RANGE,
        };
        min_retry_after
            .max(time::Duration::from_secs_f64(self.gateway.random_between(min, max) * remaining_s))
    }
}
