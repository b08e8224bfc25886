//! Middle stages of the pipeline: routes one request, calls sidecars and assembles the answer, over
//! as many attempts as necessary.

use std::{rc, sync::Arc, time};

use bytes::Bytes;
use tokio::sync::oneshot;

use super::{
    Event, Refusal, Request, RequestHandler, attempt,
    event::{self, Outcome},
    request,
};
use crate::{
    Result, http, peer,
    policy::{
        collector::{self, Collector},
        retry::{Action, Failure, RetryState},
        scheduler,
    },
    wire,
};

/// Time without a frame from the sidecar after which a repeatable call is retried elsewhere.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// `Retry-After` if no sidecar or scheduler has given a time.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Lowest HTTP status with which a server reports its own failure.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 5] =
    ["connection", "content-length", "keep-alive", "transfer-encoding", "upgrade"];

/// Status and headers of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<wire::Header>,
}

impl Head {
    /// Returns whether the body is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        let is_event_stream = |header: &wire::Header| {
            header.name == "content-type" && header.value.starts_with("text/event-stream")
        };
        self.headers.iter().any(is_event_stream)
    }

    /// Returns whether `other` can be the head of the same answer when another server resumes it.
    fn is_compatible_with(&self, other: &Self) -> bool {
        self.status == other.status && self.is_event_stream() == other.is_event_stream()
    }

    /// Returns whether the backend server reports that it failed.
    fn is_server_error(&self) -> bool {
        self.status >= MIN_SERVER_ERROR_STATUS
    }
}

/// Part of an answer, as yielded by a session.
#[derive(Debug)]
pub enum AnswerPart {
    /// Head of the answer. A stream has one; for another body, a further head discards all parts
    /// yielded before it.
    Head(Head),
    /// Next bytes of the body.
    Data(Bytes),
    /// End of the answer, which is complete.
    End,
}

/// Attempt whose call a sidecar has received.
struct ActiveAttempt {
    replies: peer::FrameReader,
    attempt: attempt::Attempt,
}

/// One request with its attempts and its answer so far.
pub struct Session {
    handler: rc::Rc<RequestHandler>,
    req: Request<request::Classified>,
    active: Option<ActiveAttempt>,
    head: Option<Head>,
    attempt_number: u32,
    tried_servers: Vec<crate::name::Server>,
    collector: Collector,
    complete: bool,
    retry_state: RetryState,
    submission: scheduler::Submission,
    retry_after: time::Duration,
}

impl Session {
    /// Creates a session whose request has not been routed yet.
    pub fn new(handler: rc::Rc<RequestHandler>, req: Request<request::Classified>) -> Self {
        let collector = Collector::new(req.id, 1);
        let retry_state = RetryState::new(req.stage.repeatable);
        handler
            .with_retry_budget(&req.stage.service, |budget, now| budget.record_first_attempt(now));
        Self {
            handler,
            req,
            active: None,
            head: None,
            attempt_number: 0,
            tried_servers: Vec::new(),
            collector,
            complete: false,
            retry_state,
            submission: scheduler::Submission::New,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// Returns the request's identity.
    pub fn id(&self) -> wire::RequestId {
        self.req.id
    }

    /// Returns the client that the answer is for.
    pub fn client(&self) -> &Arc<http::Client> {
        self.req.memory.client()
    }

    /// Returns when the answer must be complete.
    pub fn deadline(&self) -> time::Instant {
        self.req.stage.deadline
    }

    /// Returns the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal that ends the request. It states that the request did not run only if no
    /// attempt may have run.
    pub async fn next_part(&mut self) -> Result<AnswerPart, Refusal> {
        self.receive_part().await.map_err(|refusal| match refusal.ran() {
            wire::Ran::No if self.retry_state.ran() != wire::Ran::No => {
                Refusal::ServerFailed { ran: self.retry_state.ran() }
            }
            _ => refusal,
        })
    }

    async fn receive_part(&mut self) -> Result<AnswerPart, Refusal> {
        loop {
            if self.complete {
                return Ok(AnswerPart::End);
            }
            let reply_deadline = self.reply_deadline();
            let Some(active) = self.active.as_mut() else {
                self.start_attempt().await?;
                continue;
            };
            let reply =
                match tokio::time::timeout_at(reply_deadline.into(), active.replies.next()).await {
                    Ok(Ok(Some(reply))) => reply,
                    Err(_) if time::Instant::now() >= self.req.stage.deadline => {
                        return Err(Refusal::DeadlinePassed { ran: wire::Ran::Unknown });
                    }
                    Ok(Ok(None)) | Ok(Err(_)) | Err(_) => {
                        self.fail_attempt(Failure::ConnectionLost)?;
                        continue;
                    }
                };
            if let Some(part) = self.handle_reply(reply)? {
                return Ok(part);
            }
        }
    }

    /// Routes the request and sends the call to the sidecar of the chosen server. If that fails and
    /// the request may be retried, returns without an active attempt.
    async fn start_attempt(&mut self) -> Result<(), Refusal> {
        let attempt = self.route().await?;
        self.attempt_number += 1;
        self.collector.continue_with(self.attempt_number);
        let call = self.build_call(&attempt);
        let deadline = self.req.stage.deadline;
        let reply_deadline = self.reply_deadline();
        let exchange = self.handler.pool.exchange(attempt.address, wire::CALL_PATH, &call);
        let failure = match tokio::time::timeout_at(reply_deadline.into(), exchange).await {
            Ok(Ok(replies)) => {
                self.active = Some(ActiveAttempt { replies, attempt });
                return Ok(());
            }
            Err(_) if time::Instant::now() >= deadline => {
                return Err(Refusal::DeadlinePassed { ran: wire::Ran::Unknown });
            }
            Err(_) => {
                log::info!(
                    req:% = self.req.id, server:% = attempt.server();
                    "sidecar did not answer in time"
                );
                Failure::ConnectionLost
            }
            Ok(Err(peer::pool::Failure::Unsent(err))) => {
                log::info!(
                    req:% = self.req.id, server:% = attempt.server();
                    "call was not sent: {err}"
                );
                Failure::Unsent
            }
            Ok(Err(peer::pool::Failure::Sent(err))) => {
                log::info!(
                    req:% = self.req.id, server:% = attempt.server();
                    "connection lost after the call was sent: {err}"
                );
                Failure::ConnectionLost
            }
        };
        self.tried_servers.push(attempt.server().clone());
        match failure {
            Failure::Unsent => attempt.finish(Outcome::Unreachable),
            _ => {
                self.handler.pool.remove(attempt.address);
                attempt.finish(Outcome::Failed);
            }
        }
        self.check_retry(failure)
    }

    /// Asks the core for a backend server, and returns the attempt at it.
    async fn route(&self) -> Result<attempt::Attempt, Refusal> {
        let (tx, rx) = oneshot::channel();
        let stage = &self.req.stage;
        let request = event::RouteRequest {
            id: self.req.id,
            service: stage.service.clone(),
            workspace: stage.workspace.clone(),
            priority: stage.priority,
            arrived_at: self.req.arrived_at,
            deadline: stage.deadline,
            prefix_keys: stage.prefix_keys.clone(),
            max_tokens: u64::from(stage.max_tokens)
                .saturating_sub(self.collector.delivered_events()),
            tried_servers: self.tried_servers.clone(),
            submission: self.submission,
            tx,
        };
        let unavailable = Refusal::Unavailable { retry_after: DEFAULT_RETRY_AFTER };
        self.handler
            .events
            .send(Event::Route(Box::new(request)))
            .map_err(|_| unavailable.clone())?;
        match tokio::time::timeout_at(stage.deadline.into(), rx).await {
            Ok(Ok(Ok(target))) => {
                Ok(attempt::Attempt::new(target, &stage.service, self.handler.events.clone()))
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) => Err(unavailable),
            Err(_) => Err(Refusal::DeadlinePassed { ran: wire::Ran::No }),
        }
    }

    fn build_call(&self, attempt: &attempt::Attempt) -> wire::Call {
        let stage = &self.req.stage;
        let time_left = stage.deadline.saturating_duration_since(time::Instant::now());
        let forwarded = |header: &&wire::Header| {
            !HOP_BY_HOP_HEADERS.contains(&header.name.as_str()) && header.name != "host"
        };
        wire::Call {
            id: self.req.id,
            attempt: self.attempt_number,
            server: attempt.server().clone(),
            service: stage.service.clone(),
            workspace: stage.workspace.clone(),
            priority: stage.priority,
            kind: stage.kind,
            time_left_ms: time_left.as_millis() as u64,
            repeatable: stage.repeatable,
            method: self.req.method.clone(),
            path: stage.path.clone(),
            headers: self.req.headers.iter().filter(forwarded).cloned().collect(),
            body: self.req.body.clone(),
            resume: self.resume_point(),
            version: stage.config_version,
        }
    }

    /// Returns where the next attempt is to resume a stream that the caller receives.
    fn resume_point(&self) -> Option<wire::Resume> {
        let streaming = self.head.as_ref().is_some_and(Head::is_event_stream);
        if streaming { self.collector.resume_point() } else { None }
    }

    /// Returns until when to wait for the next frame of a sidecar.
    fn reply_deadline(&self) -> time::Instant {
        let stage = &self.req.stage;
        match stage.repeatable {
            true => stage.deadline.min(time::Instant::now() + SILENCE_TIMEOUT),
            false => stage.deadline,
        }
    }

    /// Handles one frame of the active attempt, and returns the part of the answer that it
    /// completes.
    fn handle_reply(&mut self, reply: wire::Reply) -> Result<Option<AnswerPart>, Refusal> {
        match reply {
            wire::Reply::Refused { why, retry_after_ms, load, version } => {
                self.retry_after = time::Duration::from_millis(retry_after_ms);
                self.report_newer_version(version);
                self.handle_refusal(why, load)?;
                Ok(None)
            }
            wire::Reply::Admitted { load, version } => {
                self.report_newer_version(version);
                self.report_progress(Outcome::Admitted { load });
                Ok(None)
            }
            wire::Reply::Alive { load } => {
                self.report_progress(Outcome::InProgress { load });
                Ok(None)
            }
            wire::Reply::Head { status, headers } => self.handle_head(status, headers),
            reply @ wire::Reply::Piece { .. } => self.collect_reply(reply),
            wire::Reply::End { load, .. } => {
                self.report_progress(Outcome::InProgress { load });
                let part = self.collect_reply(reply)?;
                if self.complete {
                    self.finish_attempt(Outcome::Completed { load });
                }
                Ok(part)
            }
            wire::Reply::Failed { ran, problem, load } => {
                log::info!(req:% = self.req.id; "backend server failed during the call: {problem}");
                self.report_progress(Outcome::InProgress { load });
                self.fail_attempt(Failure::ServerFailed(ran))?;
                Ok(None)
            }
        }
    }

    /// Handles the head of the active attempt's answer.
    fn handle_head(
        &mut self,
        status: u16,
        mut headers: Vec<wire::Header>,
    ) -> Result<Option<AnswerPart>, Refusal> {
        headers.retain(|header| !HOP_BY_HOP_HEADERS.contains(&header.name.as_str()));
        let head = Head { status, headers };
        let stream_head = self.head.as_ref().filter(|head| head.is_event_stream());
        match stream_head.map(|stream_head| stream_head.is_compatible_with(&head)) {
            Some(true) => Ok(None),
            Some(false) => self.fail_attempt(Failure::ServerFailed(wire::Ran::Yes)).map(|()| None),
            None if head.is_server_error()
                && self.check_retry(Failure::ServerFailed(wire::Ran::Yes)).is_ok() =>
            {
                self.discard_attempt();
                Ok(None)
            }
            None => {
                self.collector = Collector::new(self.req.id, self.attempt_number);
                self.head = Some(head.clone());
                Ok(Some(AnswerPart::Head(head)))
            }
        }
    }

    /// Passes a piece or the end to the collector, which checks that the answer is complete.
    fn collect_reply(&mut self, reply: wire::Reply) -> Result<Option<AnswerPart>, Refusal> {
        match self.collector.receive(self.attempt_number, reply) {
            collector::Step::Forward(data) if data.is_empty() => Ok(None),
            collector::Step::Forward(data) => Ok(Some(AnswerPart::Data(data.into()))),
            collector::Step::Complete(data) => {
                self.complete = true;
                Ok(Some(AnswerPart::Data(data.into())))
            }
            collector::Step::Invalid(problem) => {
                log::error!(req:% = self.req.id, problem:? = problem; "received answer is invalid");
                self.fail_attempt(Failure::InvalidAnswer(problem))?;
                Ok(None)
            }
        }
    }

    /// Reports a configuration version that is newer than the one the request was matched against.
    fn report_newer_version(&self, version: u64) {
        match &self.active {
            Some(active) if version > self.req.stage.config_version => {
                (self.handler.report_version)(active.attempt.address, version);
            }
            _ => {}
        }
    }

    fn report_progress(&self, outcome: Outcome) {
        if let Some(active) = &self.active {
            active.attempt.report_progress(outcome);
        }
    }

    fn finish_attempt(&mut self, outcome: Outcome) {
        if let Some(active) = self.active.take() {
            active.attempt.finish(outcome);
        }
    }

    /// Records that the active attempt was refused, and checks whether to retry.
    fn handle_refusal(&mut self, why: wire::Refusal, load: wire::Load) -> Result<(), Refusal> {
        let cost_ahead = self.active.as_ref().map_or(0, |active| active.attempt.ticket.cost_ahead);
        self.submission = match self.submission {
            scheduler::Submission::Started => scheduler::Submission::Started,
            _ => scheduler::Submission::Requeued { cost_ahead },
        };
        if let (Some(active), true) = (&self.active, why != wire::Refusal::Full) {
            self.tried_servers.push(active.attempt.server().clone());
        }
        self.finish_attempt(Outcome::Refused { reason: why, retry_after: self.retry_after, load });
        self.check_retry(Failure::Refused(why))
    }

    /// Discards the active attempt after `failure`, and checks whether to retry elsewhere.
    fn fail_attempt(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.discard_attempt();
        self.check_retry(failure)
    }

    /// Ends the active attempt as failed; the next one goes to another server if there is one.
    fn discard_attempt(&mut self) {
        if let Some(active) = &self.active {
            self.tried_servers = vec![active.attempt.server().clone()];
        }
        self.finish_attempt(Outcome::Failed);
    }

    /// Checks whether the request may be retried after `failure`.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if it may not.
    fn check_retry(&mut self, failure: Failure) -> Result<(), Refusal> {
        let time_left = self.req.stage.deadline.saturating_duration_since(time::Instant::now());
        let (retry_state, collector) = (&mut self.retry_state, &self.collector);
        let decide =
            |budget: &mut _, now| retry_state.decide(failure, collector, time_left, budget, now);
        let action = self.handler.with_retry_budget(&self.req.stage.service, decide);
        if self.retry_state.ran() != wire::Ran::No {
            self.submission = scheduler::Submission::Started;
        }
        match action {
            Action::Fail(wire::Ran::No) => {
                Err(Refusal::Unavailable { retry_after: self.retry_after })
            }
            Action::Fail(ran) => Err(Refusal::ServerFailed { ran }),
            _ => Ok(()),
        }
    }
}
