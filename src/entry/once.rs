//! Filter for calls that may not be repeated and carry a key: claimed before, recorded after.

use std::{cell, rc, time};

use bytes::Bytes;
use rand::RngExt;

use super::{Refusal, Request, RequestHandler, answer, refusal, request, session};
use crate::{
    agree::{
        breaker::Breaker,
        claim::{self, Begun, Claim, Fingerprint, Held, Key, New, Recorded},
    },
    cloud, http, metrics, wire,
};

/// Longest time for claiming, for recording and for releasing.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// When to come back if the table fails and nothing better is known.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// What claims share between requests.
pub struct Claims {
    client: cloud::Client,
    breaker: cell::RefCell<Breaker>,
    started_at: time::Instant,
}

impl Claims {
    /// Claims in the table of `client`.
    pub fn new(client: cloud::Client) -> Self {
        Self { client, breaker: Default::default(), started_at: time::Instant::now() }
    }

    async fn claim_call(
        &self,
        claim: Claim<New>,
        time_left: time::Duration,
    ) -> Result<Claim<Held>, EarlyAnswer> {
        let now = self.started_at.elapsed();
        let allowed = self.breaker.borrow_mut().allow(now);
        allowed.map_err(|retry_after| {
            EarlyAnswer::Refused(Refusal::ClaimsUnavailable { retry_after })
        })?;
        let client = self.client.clone();
        let begin = move || claim::begin(&client, &client, claim, time_left.min(CLAIM_TIMEOUT));
        let begun = tokio::task::spawn_blocking(begin).await.unwrap_or(Begun::Unavailable);
        let ok = !matches!(begun, Begun::Unavailable);
        self.breaker.borrow_mut().note(self.started_at.elapsed(), ok);
        let key_conflict = |problem: &str, ran| {
            Err(EarlyAnswer::Refused(Refusal::KeyConflict { problem: problem.into(), ran }))
        };
        match begun {
            Begun::Go(held) => Ok(held),
            Begun::Recorded(recorded) => Err(EarlyAnswer::Recorded(recorded)),
            Begun::Away => key_conflict(
                "The call ran before, but its answer cannot be read now; ask again later.",
                wire::Ran::Yes,
            ),
            Begun::Unknown => key_conflict(
                "A call with this key was sent before and its outcome is not known; find out \
                 whether it ran before using another key.",
                wire::Ran::Unknown,
            ),
            Begun::Mismatch => key_conflict(
                "The key was used for another request; use a new key for a new request.",
                wire::Ran::No,
            ),
            Begun::Unavailable => Err(EarlyAnswer::Refused(Refusal::ClaimsUnavailable {
                retry_after: DEFAULT_RETRY_AFTER,
            })),
        }
    }

    async fn record_answer(&self, id: wire::RequestId, held: Claim<Held>, recorded: Recorded) {
        let client = self.client.clone();
        let record = move || held.record(&client, &client, &recorded, CLAIM_TIMEOUT);
        if !tokio::task::spawn_blocking(record).await.unwrap_or(false) {
            log::warn!(req:% = id; "an outcome could not be recorded; a repeat will hear 'unknown'");
        }
    }

    async fn release_claim(&self, id: wire::RequestId, held: Claim<Held>) {
        let client = self.client.clone();
        let release = move || held.release(&client, CLAIM_TIMEOUT);
        if !tokio::task::spawn_blocking(release).await.unwrap_or(false) {
            log::warn!(req:% = id; "a claim could not be released; a repeat will hear 'unknown'");
        }
    }
}

/// An answer found without sending the call.
enum EarlyAnswer {
    Recorded(Recorded),
    Refused(Refusal),
}

/// Runs the call at most once. It goes on when the caller goes away, so that
/// a repeat with the same key finds its outcome.
pub async fn run_detached(
    handler: rc::Rc<RequestHandler>,
    req: Request<request::Classified>,
    key: String,
    flight: metrics::Flight,
) -> http::Response {
    let call = tokio::task::spawn_local(claim_and_run(handler, req, key, flight));
    match call.await {
        Ok(res) => res,
        Err(_) => Refusal::ServerFailed { ran: wire::Ran::Unknown }.to_response(),
    }
}

async fn claim_and_run(
    handler: rc::Rc<RequestHandler>,
    req: Request<request::Classified>,
    key: String,
    flight: metrics::Flight,
) -> http::Response {
    let id = req.id;
    let time_left = req.stage.deadline.saturating_duration_since(time::Instant::now());
    let claim = match new_claim(&handler, &req, &key) {
        Ok(claim) => claim,
        Err(err) => return answer::respond_refusal(&Refusal::BadRequest(err.to_string()), flight),
    };
    let held = match handler.claims.claim_call(claim, time_left).await {
        Ok(held) => held,
        Err(EarlyAnswer::Recorded(recorded)) => {
            flight.end(metrics::Ending::Whole);
            return replay_answer(recorded);
        }
        Err(EarlyAnswer::Refused(refusal)) => return answer::respond_refusal(&refusal, flight),
    };
    let mut session = session::Session::new(rc::Rc::clone(&handler), req);
    match answer::collect_answer(&mut session).await {
        Ok((head, body)) => {
            let res = answer::to_response(&head, http::Body::whole(body.clone()));
            let session::Head { status, headers } = head;
            let recorded = Recorded { status, headers, body: body.to_vec() };
            handler.claims.record_answer(id, held, recorded).await;
            flight.end(metrics::Ending::Whole);
            res
        }
        Err(refusal) => {
            if refusal.ran() == wire::Ran::No {
                handler.claims.release_claim(id, held).await;
            }
            answer::respond_refusal(&refusal, flight)
        }
    }
}

fn new_claim(
    handler: &RequestHandler,
    req: &Request<request::Classified>,
    key: &str,
) -> crate::Result<Claim<New>> {
    let key = Key::new(&req.stage.workspace, &req.stage.service, key)?;
    let fingerprint = Fingerprint::new(&req.method, &req.stage.path, &req.body);
    Ok(Claim::new(key, handler.id_generator.borrow_mut().random(), fingerprint))
}

fn replay_answer(recorded: Recorded) -> http::Response {
    let Recorded { status, headers, body } = recorded;
    let mut res = answer::to_response(
        &session::Head { status, headers },
        http::Body::whole(Bytes::from(body)),
    );
    refusal::set_ran_header(&mut res, wire::Ran::Yes);
    res
}
