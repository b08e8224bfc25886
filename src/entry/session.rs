//! Middle filters: route, dispatch and collect one request, over as many attempts as it takes.

use std::{rc, time};

use bytes::Bytes;
use tokio::sync::oneshot;

use super::{
    Event, Front, Refusal, Request,
    event::{self, Outcome},
    request, routed,
};
use crate::{
    Result, peer,
    policy::{
        collector::{self, Collector},
        retry::{Action, Failure, RetryState},
        scheduler,
    },
    wire,
};

/// Longest silence of a sidecar before a repeatable call goes elsewhere.
const SILENCE: time::Duration = time::Duration::from_secs(2);

/// Wait named to a caller when nothing better is known.
const AFTER: time::Duration = time::Duration::from_secs(1);

/// First HTTP status that blames the server.
const SERVER_ERROR: u16 = 500;

/// Headers of an answer that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 5] =
    ["connection", "content-length", "keep-alive", "transfer-encoding", "upgrade"];

/// Status and headers of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<wire::Header>,
}

impl Head {
    /// Whether the body is a stream of events.
    pub fn streamed(&self) -> bool {
        let events =
            |h: &wire::Header| h.name == "content-type" && h.value.starts_with("text/event-stream");
        self.headers.iter().any(events)
    }

    /// Whether `other` can be the head of the same answer, begun elsewhere.
    fn same(&self, other: &Self) -> bool {
        self.status == other.status && self.streamed() == other.streamed()
    }

    /// Whether the backend server says that it failed.
    fn failed(&self) -> bool {
        self.status >= SERVER_ERROR
    }
}

/// What a session yields next.
#[derive(Debug)]
pub enum Step {
    /// The answer's head. Once for a stream; for another body, a further head
    /// makes void all that was yielded before.
    Head(Head),
    /// The next bytes of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// One admitted attempt.
struct Live {
    source: peer::Source,
    routed: routed::Routed,
}

/// One request on its way.
pub struct Session {
    front: rc::Rc<Front>,
    req: Request<request::Classified>,
    live: Option<Live>,
    head: Option<Head>,
    attempt: u32,
    tried: Vec<crate::name::Server>,
    collect: Collector,
    whole: bool,
    retry: RetryState,
    turn: scheduler::Submission,
    after: time::Duration,
}

impl Session {
    /// A session that has not been routed yet.
    pub fn new(front: rc::Rc<Front>, req: Request<request::Classified>) -> Self {
        let collect = Collector::new(req.id, 1);
        let retry = RetryState::new(req.stage.repeatable);
        front.budget(&req.stage.service, |budget, now| budget.record_first_attempt(now));
        Self {
            front,
            req,
            live: None,
            head: None,
            attempt: 0,
            tried: Vec::new(),
            collect,
            whole: false,
            retry,
            turn: scheduler::Submission::New,
            after: AFTER,
        }
    }

    /// The request's identity.
    pub fn id(&self) -> wire::RequestId {
        self.req.id
    }

    /// When the answer must be complete.
    pub fn deadline(&self) -> time::Instant {
        self.req.stage.deadline
    }

    /// The next step of the answer. A refusal says that the request did not run
    /// only if no attempt may have run.
    pub async fn next(&mut self) -> Result<Step, Refusal> {
        self.step().await.map_err(|refusal| match refusal.ran() {
            wire::Ran::No if self.retry.ran() != wire::Ran::No => {
                Refusal::Broken { ran: self.retry.ran() }
            }
            _ => refusal,
        })
    }

    async fn step(&mut self) -> Result<Step, Refusal> {
        loop {
            if self.whole {
                return Ok(Step::End);
            }
            let wait = self.patience();
            let Some(live) = self.live.as_mut() else {
                self.start().await?;
                continue;
            };
            let reply = match tokio::time::timeout_at(wait.into(), live.source.next()).await {
                Ok(Ok(Some(reply))) => reply,
                Err(_) if time::Instant::now() >= self.req.stage.deadline => {
                    return Err(Refusal::Late { ran: wire::Ran::Unknown });
                }
                Ok(Ok(None)) | Ok(Err(_)) | Err(_) => {
                    self.lose(Failure::ConnectionLost)?;
                    continue;
                }
            };
            if let Some(step) = self.take(reply)? {
                return Ok(step);
            }
        }
    }

    /// Routes and dispatches until a sidecar has the call.
    async fn start(&mut self) -> Result<(), Refusal> {
        let routed = self.route().await?;
        self.attempt += 1;
        self.collect.continue_with(self.attempt);
        let call = self.call(&routed);
        let deadline = self.req.stage.deadline;
        let until = self.patience();
        let sending = self.front.pool.exchange(routed.address, wire::CALL_PATH, &call);
        let failure = match tokio::time::timeout_at(until.into(), sending).await {
            Ok(Ok(source)) => {
                self.live = Some(Live { source, routed });
                return Ok(());
            }
            Err(_) if time::Instant::now() >= deadline => {
                return Err(Refusal::Late { ran: wire::Ran::Unknown });
            }
            Err(_) => {
                log::info!(req:% = self.req.id, server:% = routed.server(); "silent");
                Failure::ConnectionLost
            }
            Ok(Err(peer::pool::Failure::Unsent(err))) => {
                log::info!(req:% = self.req.id, server:% = routed.server(); "not sent: {err}");
                Failure::Unsent
            }
            Ok(Err(peer::pool::Failure::Sent(err))) => {
                log::info!(req:% = self.req.id, server:% = routed.server(); "lost: {err}");
                Failure::ConnectionLost
            }
        };
        self.tried.push(routed.server().clone());
        match failure {
            Failure::Unsent => routed.report(Outcome::Unreachable),
            _ => {
                self.front.pool.forget(routed.address);
                routed.report(Outcome::Broken);
            }
        }
        self.again(failure)
    }

    async fn route(&self) -> Result<routed::Routed, Refusal> {
        let (tx, rx) = oneshot::channel();
        let stage = &self.req.stage;
        let ask = event::Ask {
            id: self.req.id,
            service: stage.service.clone(),
            workspace: stage.workspace.clone(),
            priority: stage.priority,
            arrived: self.req.arrived,
            deadline: stage.deadline,
            prefix: stage.prefix.clone(),
            tokens: u64::from(stage.tokens).saturating_sub(self.collect.delivered_events()),
            tried: self.tried.clone(),
            turn: self.turn,
            tx,
        };
        let gone = Refusal::Unavailable { after: AFTER };
        self.front.events.send(Event::Route(Box::new(ask))).map_err(|_| gone.clone())?;
        match tokio::time::timeout_at(stage.deadline.into(), rx).await {
            Ok(Ok(Ok(to))) => {
                Ok(routed::Routed::new(to, &stage.service, self.front.events.clone()))
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) => Err(gone),
            Err(_) => Err(Refusal::Late { ran: wire::Ran::No }),
        }
    }

    fn call(&self, routed: &routed::Routed) -> wire::Call {
        let stage = &self.req.stage;
        let left = stage.deadline.saturating_duration_since(time::Instant::now());
        let hop = |h: &&wire::Header| !HOP_HEADERS.contains(&h.name.as_str()) && h.name != "host";
        wire::Call {
            id: self.req.id,
            attempt: self.attempt,
            server: routed.server().clone(),
            service: stage.service.clone(),
            workspace: stage.workspace.clone(),
            priority: stage.priority,
            kind: stage.kind,
            left_ms: left.as_millis() as u64,
            repeatable: stage.repeatable,
            method: self.req.method.clone(),
            path: stage.path.clone(),
            headers: self.req.headers.iter().filter(hop).cloned().collect(),
            body: self.req.body.clone(),
            resume: self.resume(),
            version: stage.version,
        }
    }

    fn resume(&self) -> Option<wire::Resume> {
        let begun = self.head.as_ref().is_some_and(Head::streamed);
        if begun { self.collect.resume_point() } else { None }
    }

    /// Until when a sidecar that says nothing is waited for.
    fn patience(&self) -> time::Instant {
        let stage = &self.req.stage;
        match stage.repeatable {
            true => stage.deadline.min(time::Instant::now() + SILENCE),
            false => stage.deadline,
        }
    }

    /// Takes one frame of the live attempt.
    fn take(&mut self, reply: wire::Reply) -> Result<Option<Step>, Refusal> {
        match reply {
            wire::Reply::Refused { why, retry_after_ms, load, version } => {
                self.after = time::Duration::from_millis(retry_after_ms);
                self.heard(version);
                self.refused(why, load)?;
                Ok(None)
            }
            wire::Reply::Admitted { load, version } => {
                self.heard(version);
                self.tell(Outcome::Admitted { load });
                Ok(None)
            }
            wire::Reply::Alive { load } => {
                self.tell(Outcome::Alive { load });
                Ok(None)
            }
            wire::Reply::Head { status, headers } => self.begin(status, headers),
            reply @ wire::Reply::Piece { .. } => self.gather(reply),
            wire::Reply::End { load, .. } => {
                self.tell(Outcome::Alive { load });
                let step = self.gather(reply)?;
                if self.whole {
                    self.end(Outcome::Finished { load });
                }
                Ok(step)
            }
            wire::Reply::Broken { ran, problem, load } => {
                log::info!(req:% = self.req.id; "backend server broke off: {problem}");
                self.tell(Outcome::Alive { load });
                self.lose(Failure::ServerFailed(ran))?;
                Ok(None)
            }
        }
    }

    /// Takes the head of the live attempt's answer.
    fn begin(
        &mut self,
        status: u16,
        mut headers: Vec<wire::Header>,
    ) -> Result<Option<Step>, Refusal> {
        headers.retain(|h| !HOP_HEADERS.contains(&h.name.as_str()));
        let head = Head { status, headers };
        let first = self.head.as_ref().filter(|first| first.streamed());
        match first.map(|first| first.same(&head)) {
            Some(true) => Ok(None),
            Some(false) => self.lose(Failure::ServerFailed(wire::Ran::Yes)).map(|()| None),
            None if head.failed() && self.again(Failure::ServerFailed(wire::Ran::Yes)).is_ok() => {
                self.drop_live();
                Ok(None)
            }
            None => {
                self.collect = Collector::new(self.req.id, self.attempt);
                self.head = Some(head.clone());
                Ok(Some(Step::Head(head)))
            }
        }
    }

    /// Hands a piece or the end to the whole-answer check.
    fn gather(&mut self, reply: wire::Reply) -> Result<Option<Step>, Refusal> {
        match self.collect.receive(self.attempt, reply) {
            collector::Step::Forward(data) if data.is_empty() => Ok(None),
            collector::Step::Forward(data) => Ok(Some(Step::Data(data.into()))),
            collector::Step::Complete(data) => {
                self.whole = true;
                Ok(Some(Step::Data(data.into())))
            }
            collector::Step::Invalid(problem) => {
                log::error!(req:% = self.req.id, problem:? = problem; "answer does not add up");
                self.lose(Failure::InvalidAnswer(problem))?;
                Ok(None)
            }
        }
    }

    /// Passes on a version newer than the one the request was matched against.
    fn heard(&self, version: u64) {
        match &self.live {
            Some(live) if version > self.req.stage.version => {
                (self.front.heard)(live.routed.address, version);
            }
            _ => {}
        }
    }

    fn tell(&self, outcome: Outcome) {
        if let Some(live) = &self.live {
            live.routed.tell(outcome);
        }
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(live) = self.live.take() {
            live.routed.report(outcome);
        }
    }

    /// Notes that the live attempt was refused.
    fn refused(&mut self, why: wire::Refusal, load: wire::Load) -> Result<(), Refusal> {
        let cost_ahead = self.live.as_ref().map_or(0, |live| live.routed.ticket.cost_ahead);
        self.turn = match self.turn {
            scheduler::Submission::Started => scheduler::Submission::Started,
            _ => scheduler::Submission::Requeued { cost_ahead },
        };
        if let (Some(live), true) = (&self.live, why != wire::Refusal::Full) {
            self.tried.push(live.routed.server().clone());
        }
        self.end(Outcome::Refused { why, after: self.after, load });
        self.again(Failure::Refused(why))
    }

    /// Gives up the live attempt; another may be made elsewhere.
    fn lose(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.drop_live();
        self.again(failure)
    }

    fn drop_live(&mut self) {
        if let Some(live) = &self.live {
            self.tried = vec![live.routed.server().clone()];
        }
        self.end(Outcome::Broken);
    }

    /// Whether another attempt may be made after `failure`.
    fn again(&mut self, failure: Failure) -> Result<(), Refusal> {
        let left = self.req.stage.deadline.saturating_duration_since(time::Instant::now());
        let (retry, collect) = (&mut self.retry, &self.collect);
        let judge = |budget: &mut _, now| retry.decide(failure, collect, left, budget, now);
        let verdict = self.front.budget(&self.req.stage.service, judge);
        if self.retry.ran() != wire::Ran::No {
            self.turn = scheduler::Submission::Started;
        }
        match verdict {
            Action::Fail(wire::Ran::No) => Err(Refusal::Unavailable { after: self.after }),
            Action::Fail(ran) => Err(Refusal::Broken { ran }),
            _ => Ok(()),
        }
    }
}
