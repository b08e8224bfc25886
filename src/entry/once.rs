//! Filter for calls that may not be repeated and carry a key: claimed before, recorded after.

use std::{cell, rc, time};

use bytes::Bytes;
use rand::RngExt;

use super::{Front, Refusal, Request, answer, refusal, request, session};
use crate::{
    agree::{
        breaker::Breaker,
        claim::{self, Begun, Claim, Fingerprint, Held, Key, New, Recorded},
    },
    cloud, http, metrics, wire,
};

/// Longest time for claiming, for recording and for releasing.
const WITHIN: time::Duration = time::Duration::from_secs(1);

/// When to come back if the table fails and nothing better is known.
const AFTER: time::Duration = time::Duration::from_secs(2);

/// What claims share between requests.
pub struct Claims {
    client: cloud::Client,
    breaker: cell::RefCell<Breaker>,
    started: time::Instant,
}

impl Claims {
    /// Claims in the table of `client`.
    pub fn new(client: cloud::Client) -> Self {
        Self { client, breaker: Default::default(), started: time::Instant::now() }
    }

    async fn begin(&self, claim: Claim<New>, left: time::Duration) -> Result<Claim<Held>, Answer> {
        let now = self.started.elapsed();
        let allowed = self.breaker.borrow_mut().allow(now);
        allowed.map_err(|after| Answer::Refused(Refusal::Unclaimed { after }))?;
        let client = self.client.clone();
        let begin = move || claim::begin(&client, &client, claim, left.min(WITHIN));
        let begun = tokio::task::spawn_blocking(begin).await.unwrap_or(Begun::Unavailable);
        let ok = !matches!(begun, Begun::Unavailable);
        self.breaker.borrow_mut().note(self.started.elapsed(), ok);
        let claimed = |problem: &str, ran| {
            Err(Answer::Refused(Refusal::Claimed { problem: problem.into(), ran }))
        };
        match begun {
            Begun::Go(held) => Ok(held),
            Begun::Recorded(recorded) => Err(Answer::Recorded(recorded)),
            Begun::Away => claimed(
                "The call ran before, but its answer cannot be read now; ask again later.",
                wire::Ran::Yes,
            ),
            Begun::Unknown => claimed(
                "A call with this key was sent before and its outcome is not known; find out \
                 whether it ran before using another key.",
                wire::Ran::Unknown,
            ),
            Begun::Mismatch => claimed(
                "The key was used for another request; use a new key for a new request.",
                wire::Ran::No,
            ),
            Begun::Unavailable => Err(Answer::Refused(Refusal::Unclaimed { after: AFTER })),
        }
    }

    async fn record(&self, id: wire::RequestId, held: Claim<Held>, recorded: Recorded) {
        let client = self.client.clone();
        let record = move || held.record(&client, &client, &recorded, WITHIN);
        if !tokio::task::spawn_blocking(record).await.unwrap_or(false) {
            log::warn!(req:% = id; "an outcome could not be recorded; a repeat will hear 'unknown'");
        }
    }

    async fn release(&self, id: wire::RequestId, held: Claim<Held>) {
        let client = self.client.clone();
        let release = move || held.release(&client, WITHIN);
        if !tokio::task::spawn_blocking(release).await.unwrap_or(false) {
            log::warn!(req:% = id; "a claim could not be released; a repeat will hear 'unknown'");
        }
    }
}

/// An answer found without sending the call.
enum Answer {
    Recorded(Recorded),
    Refused(Refusal),
}

/// Runs the call at most once. It goes on when the caller goes away, so that
/// a repeat with the same key finds its outcome.
pub async fn run(
    front: rc::Rc<Front>,
    req: Request<request::Classified>,
    key: String,
    flight: metrics::Flight,
) -> http::Response {
    let call = tokio::task::spawn_local(call(front, req, key, flight));
    match call.await {
        Ok(res) => res,
        Err(_) => Refusal::Broken { ran: wire::Ran::Unknown }.response(),
    }
}

async fn call(
    front: rc::Rc<Front>,
    req: Request<request::Classified>,
    key: String,
    flight: metrics::Flight,
) -> http::Response {
    let id = req.id;
    let left = req.stage.deadline.saturating_duration_since(time::Instant::now());
    let claim = match claim(&front, &req, &key) {
        Ok(claim) => claim,
        Err(err) => return answer::refuse(&Refusal::Bad(err.to_string()), flight),
    };
    let held = match front.claims.begin(claim, left).await {
        Ok(held) => held,
        Err(Answer::Recorded(recorded)) => {
            flight.end(metrics::Ending::Whole);
            return replay(recorded);
        }
        Err(Answer::Refused(refusal)) => return answer::refuse(&refusal, flight),
    };
    let mut session = session::Session::new(rc::Rc::clone(&front), req);
    match answer::collect(&mut session).await {
        Ok((head, body)) => {
            let res = answer::response(&head, http::Body::whole(body.clone()));
            let session::Head { status, headers } = head;
            let recorded = Recorded { status, headers, body: body.to_vec() };
            front.claims.record(id, held, recorded).await;
            flight.end(metrics::Ending::Whole);
            res
        }
        Err(refusal) => {
            if refusal.ran() == wire::Ran::No {
                front.claims.release(id, held).await;
            }
            answer::refuse(&refusal, flight)
        }
    }
}

fn claim(
    front: &Front,
    req: &Request<request::Classified>,
    key: &str,
) -> crate::Result<Claim<New>> {
    let key = Key::new(&req.stage.workspace, &req.stage.service, key)?;
    let fingerprint = Fingerprint::new(&req.method, &req.stage.path, &req.body);
    Ok(Claim::new(key, front.ids.borrow_mut().random(), fingerprint))
}

fn replay(recorded: Recorded) -> http::Response {
    let Recorded { status, headers, body } = recorded;
    let mut res =
        answer::response(&session::Head { status, headers }, http::Body::whole(Bytes::from(body)));
    refusal::mark(&mut res, wire::Ran::Yes);
    res
}
