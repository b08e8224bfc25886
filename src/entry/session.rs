//! Middle filters: route, dispatch and collect one request, over as many attempts as it takes.

use std::{rc, time};

use bytes::Bytes;
use tokio::sync::oneshot;

use super::{Event, Front, Refusal, Request, core, request};
use crate::{
    Result, peer,
    policy::collect::{self, Collect},
    wire,
};

/// Longest silence of a sidecar before a repeatable call goes elsewhere.
const SILENCE: time::Duration = time::Duration::from_secs(2);

/// Pause before a begun answer asks for a backend server again.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// HTTP status of a request whose deadline has passed.
const LATE: u16 = 504;

/// First HTTP status that blames the server.
const SERVER_ERROR: u16 = 500;

/// Most attempts at one request.
const ATTEMPTS: u32 = 5;

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
    routed: core::Routed,
}

/// How an attempt ended short of an answer.
enum Lost {
    /// It provably did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One request on its way.
pub struct Session {
    front: rc::Rc<Front>,
    req: Request<request::Classified>,
    live: Option<Live>,
    head: Option<Head>,
    attempt: u32,
    tried: Vec<crate::name::Server>,
    collect: Collect,
    whole: bool,
    ran: wire::Ran,
    losses: u32,
}

impl Session {
    /// A session that has not been routed yet.
    pub fn new(front: rc::Rc<Front>, req: Request<request::Classified>) -> Self {
        let collect = Collect::new(req.id, 1);
        Self {
            front,
            req,
            live: None,
            head: None,
            attempt: 0,
            tried: Vec::new(),
            collect,
            whole: false,
            ran: wire::Ran::No,
            losses: 0,
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
            wire::Ran::No if self.ran != wire::Ran::No => Refusal::Broken { ran: self.ran },
            _ => refusal,
        })
    }

    async fn step(&mut self) -> Result<Step, Refusal> {
        loop {
            if self.whole {
                return Ok(Step::End);
            }
            let Some(live) = self.live.as_mut() else {
                self.start().await?;
                continue;
            };
            let wait = self.req.stage.deadline.min(match self.req.stage.repeatable {
                true => time::Instant::now() + SILENCE,
                false => self.req.stage.deadline,
            });
            let reply = match tokio::time::timeout_at(wait.into(), live.source.next()).await {
                Ok(Ok(Some(reply))) => reply,
                Err(_) if time::Instant::now() >= self.req.stage.deadline => {
                    return Err(Refusal::Late { ran: wire::Ran::Unknown });
                }
                Ok(Ok(None)) | Ok(Err(_)) | Err(_) => {
                    self.lose(Lost::Unknown)?;
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
        let routed = match self.route().await {
            Ok(routed) => routed,
            Err(refusal) if self.ran == wire::Ran::No || refusal.status() == LATE => {
                return Err(refusal);
            }
            Err(_) => return self.pause().await,
        };
        self.attempt += 1;
        self.collect.next(self.attempt);
        self.tried.push(routed.server.clone());
        let call = self.call(&routed);
        let sending = self.front.pool.exchange(routed.address, wire::CALL, &call);
        let sent = match tokio::time::timeout_at(self.req.stage.deadline.into(), sending).await {
            Ok(sent) => sent,
            Err(_) => return Err(Refusal::Late { ran: wire::Ran::Unknown }),
        };
        match sent {
            Ok(source) => self.live = Some(Live { source, routed }),
            Err(peer::pool::Failure::Unsent(err)) => {
                log::info!(req:% = self.req.id, server:% = routed.server; "not sent: {err}");
                routed.report(core::Outcome::Unreachable);
                self.retry(Lost::NotRun)?;
            }
            Err(peer::pool::Failure::Sent(err)) => {
                log::info!(req:% = self.req.id, server:% = routed.server; "lost: {err}");
                self.front.pool.forget(routed.address);
                routed.report(core::Outcome::Broken);
                self.retry(Lost::Unknown)?;
            }
        }
        Ok(())
    }

    /// Waits for room: a request that may have run goes on until its deadline,
    /// since giving up would cut an answer that the caller has begun to get.
    async fn pause(&mut self) -> Result<(), Refusal> {
        self.tried.clear();
        let until = (time::Instant::now() + PAUSE).min(self.req.stage.deadline);
        tokio::time::sleep_until(until.into()).await;
        match time::Instant::now() >= self.req.stage.deadline {
            true => Err(Refusal::Late { ran: self.ran }),
            false => Ok(()),
        }
    }

    async fn route(&self) -> Result<core::Routed, Refusal> {
        let (tx, rx) = oneshot::channel();
        let stage = &self.req.stage;
        let ask = core::Ask {
            id: self.req.id,
            service: stage.service.clone(),
            workspace: stage.workspace.clone(),
            priority: stage.priority,
            deadline: stage.deadline,
            prefix: stage.prefix,
            tokens: stage.tokens,
            tried: self.tried.clone(),
            tx,
        };
        let gone = Refusal::Unavailable { after: time::Duration::from_secs(1) };
        self.front.events.send(Event::Route(Box::new(ask))).map_err(|_| gone.clone())?;
        match tokio::time::timeout_at(stage.deadline.into(), rx).await {
            Ok(Ok(Ok(to))) => Ok(core::Routed::new(to, self.front.events.clone())),
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) => Err(gone),
            Err(_) => Err(Refusal::Late { ran: wire::Ran::No }),
        }
    }

    fn call(&self, routed: &core::Routed) -> wire::Call {
        let stage = &self.req.stage;
        let left = stage.deadline.saturating_duration_since(time::Instant::now());
        let hop = |h: &&wire::Header| !HOP_HEADERS.contains(&h.name.as_str()) && h.name != "host";
        wire::Call {
            id: self.req.id,
            attempt: self.attempt,
            server: routed.server.clone(),
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
        if begun { self.collect.resume() } else { None }
    }

    /// Takes one frame of the live attempt.
    fn take(&mut self, reply: wire::Reply) -> Result<Option<Step>, Refusal> {
        match reply {
            wire::Reply::Refused { why, retry_after_ms, load, version } => {
                let after = time::Duration::from_millis(retry_after_ms);
                self.heard(version);
                self.end(core::Outcome::Refused { why, after, load, version });
                self.retry(Lost::NotRun)?;
                Ok(None)
            }
            wire::Reply::Admitted { load, version } => {
                self.heard(version);
                self.tell(core::Outcome::Admitted { load, version });
                Ok(None)
            }
            wire::Reply::Alive { load } => {
                self.tell(core::Outcome::Alive { load });
                Ok(None)
            }
            wire::Reply::Head { status, headers } => self.begin(status, headers),
            reply @ wire::Reply::Piece { .. } => self.gather(reply),
            wire::Reply::End { load, .. } => {
                self.tell(core::Outcome::Alive { load });
                let step = self.gather(reply)?;
                if self.whole {
                    self.end(core::Outcome::Finished { load });
                }
                Ok(step)
            }
            wire::Reply::Broken { ran, problem, load } => {
                log::info!(req:% = self.req.id; "backend server broke off: {problem}");
                self.tell(core::Outcome::Alive { load });
                self.lose(match ran {
                    wire::Ran::No => Lost::NotRun,
                    wire::Ran::Yes | wire::Ran::Unknown => Lost::Unknown,
                })?;
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
        let again = self.req.stage.repeatable && self.losses + 1 < ATTEMPTS;
        match self.head.as_ref().filter(|first| first.streamed()) {
            Some(first) if first.same(&head) => Ok(None),
            Some(_) => self.lose(Lost::Unknown).map(|()| None),
            None if head.failed() && again => self.lose(Lost::Unknown).map(|()| None),
            None => {
                self.collect = Collect::new(self.req.id, self.attempt);
                self.head = Some(head.clone());
                Ok(Some(Step::Head(head)))
            }
        }
    }

    /// Hands a piece or the end to the whole-answer check.
    fn gather(&mut self, reply: wire::Reply) -> Result<Option<Step>, Refusal> {
        match self.collect.take(self.attempt, reply) {
            collect::Step::Pass(data) if data.is_empty() => Ok(None),
            collect::Step::Pass(data) => Ok(Some(Step::Data(data.into()))),
            collect::Step::Whole(data) => {
                self.whole = true;
                Ok(Some(Step::Data(data.into())))
            }
            collect::Step::Spoilt(problem) => {
                log::error!(req:% = self.req.id, problem:? = problem; "answer does not add up");
                self.lose(Lost::Unknown)?;
                match problem.resumable() {
                    true => Ok(None),
                    false => Err(Refusal::Broken { ran: wire::Ran::Unknown }),
                }
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

    fn tell(&self, outcome: core::Outcome) {
        if let Some(live) = &self.live {
            live.routed.tell(outcome);
        }
    }

    fn end(&mut self, outcome: core::Outcome) {
        if let Some(live) = self.live.take() {
            live.routed.report(outcome);
        }
    }

    fn lose(&mut self, lost: Lost) -> Result<(), Refusal> {
        self.end(core::Outcome::Broken);
        self.retry(lost)
    }

    /// Whether another attempt may be made after one was lost.
    fn retry(&mut self, lost: Lost) -> Result<(), Refusal> {
        if let Lost::Unknown = lost {
            self.ran = wire::Ran::Unknown;
            self.losses += 1;
        }
        match lost {
            Lost::Unknown if !self.req.stage.repeatable => {
                Err(Refusal::Broken { ran: wire::Ran::Unknown })
            }
            Lost::NotRun if self.ran != wire::Ran::No => Ok(()),
            Lost::Unknown if self.losses < ATTEMPTS => Ok(()),
            Lost::NotRun if self.attempt < ATTEMPTS => Ok(()),
            Lost::NotRun => Err(Refusal::Unavailable { after: time::Duration::from_secs(1) }),
            Lost::Unknown => Err(Refusal::Broken { ran: wire::Ran::Unknown }),
        }
    }
}
