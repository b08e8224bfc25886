//! Runs calls that carry an idempotency key and may not be repeated at most once.
//!
//! A call is claimed in the platform's table before it is sent, and its answer is recorded there
//! before the caller receives it. Each step guards against an order of events in which a call would
//! run twice:
//!
//! - Two requests with the same key arrive at the same time, at one entry or at two: the claim is
//!   written before the call is sent, and only the request whose claim is in the table sends it.
//! - The write of the claim is not confirmed: the call is refused and not sent, even if the claim
//!   is in the table after all.
//! - The entry, the sidecar or the backend server dies while the call runs: the claim has no
//!   recorded outcome, so a repeat is answered with `Ran: unknown` and not sent.
//! - The call fails and may have run: the claim stays. It is released, so that a repeat is sent,
//!   only if the call provably did not run.
//! - The answer cannot be recorded, or the claim cannot be released: the claim stays without an
//!   outcome, and a repeat is answered with `Ran: unknown`.
//! - The caller disconnects and repeats the call: the call continues without its caller, so that
//!   the repeat finds the outcome.
//! - The key is used for another request: the fingerprint in the claim differs, and the request is
//!   refused.

use std::{cell, rc, time};

use bytes::Bytes;
use rand::RngExt;

use super::{Refusal, Request, RequestHandler, answer, refusal, request, session};
use crate::{
    agree::{
        breaker::Breaker,
        claim::{self, BeginOutcome, Claim, Fingerprint, Held, Key, New, RecordedAnswer},
    },
    cloud, http, metrics, wire,
};

/// Longest time for each of claiming a call, recording its answer and releasing its claim.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// `Retry-After` if the table fails and the circuit breaker gives no time.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Access to the claims in the platform's table, shared between requests.
pub struct Claims {
    client: cloud::Client,
    breaker: cell::RefCell<Breaker>,
    started_at: time::Instant,
}

impl Claims {
    /// Creates the access to the claims in the table of `client`.
    pub fn new(client: cloud::Client) -> Self {
        Self { client, breaker: Default::default(), started_at: time::Instant::now() }
    }

    /// Claims the call, or returns the answer to give without sending it.
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
        let begun = tokio::task::spawn_blocking(begin).await.unwrap_or(BeginOutcome::Unavailable);
        let available = !matches!(begun, BeginOutcome::Unavailable);
        self.breaker.borrow_mut().record_outcome(self.started_at.elapsed(), available);
        let key_conflict = |problem: &str, ran| {
            Err(EarlyAnswer::Refused(Refusal::KeyConflict { problem: problem.into(), ran }))
        };
        match begun {
            BeginOutcome::Claimed(held) => Ok(held),
            BeginOutcome::Recorded(recorded) => Err(EarlyAnswer::Recorded(recorded)),
            BeginOutcome::AnswerUnavailable => key_conflict(
                "The call ran before, but its answer cannot be read now; ask again later.",
                wire::Ran::Yes,
            ),
            BeginOutcome::Unknown => key_conflict(
                "A call with this key was sent before and its outcome is not known; find out \
                 whether it ran before using another key.",
                wire::Ran::Unknown,
            ),
            BeginOutcome::Mismatch => key_conflict(
                "The key was used for another request; use a new key for a new request.",
                wire::Ran::No,
            ),
            BeginOutcome::Unavailable => Err(EarlyAnswer::Refused(Refusal::ClaimsUnavailable {
                retry_after: DEFAULT_RETRY_AFTER,
            })),
        }
    }

    async fn record_answer(
        &self,
        id: wire::RequestId,
        held: Claim<Held>,
        recorded: RecordedAnswer,
    ) {
        let client = self.client.clone();
        let record = move || held.record(&client, &client, &recorded, CLAIM_TIMEOUT);
        if !tokio::task::spawn_blocking(record).await.unwrap_or(false) {
            log::warn!(
                req:% = id;
                "answer could not be recorded; a repeat will be answered with Ran: unknown"
            );
        }
    }

    async fn release_claim(&self, id: wire::RequestId, held: Claim<Held>) {
        let client = self.client.clone();
        let release = move || held.release(&client, CLAIM_TIMEOUT);
        if !tokio::task::spawn_blocking(release).await.unwrap_or(false) {
            log::warn!(
                req:% = id;
                "claim could not be released; a repeat will be answered with Ran: unknown"
            );
        }
    }
}

/// Answer to a call that is not sent.
enum EarlyAnswer {
    /// The recorded answer of an earlier call with the same key.
    Recorded(RecordedAnswer),
    Refused(Refusal),
}

/// Runs the call at most once, in a task of its own that continues when the caller disconnects: a
/// repeat with the same key then finds the outcome.
pub async fn run_detached(
    handler: rc::Rc<RequestHandler>,
    req: Request<request::Classified>,
    key: String,
    flight: metrics::InFlightRequest,
) -> http::Response {
    let call = tokio::task::spawn_local(claim_and_run(handler, req, key, flight));
    match call.await {
        Ok(res) => res,
        Err(_) => Refusal::ServerFailed { ran: wire::Ran::Unknown }.to_response(),
    }
}

/// Claims the call, sends it, and records its answer or releases the claim.
async fn claim_and_run(
    handler: rc::Rc<RequestHandler>,
    req: Request<request::Classified>,
    key: String,
    flight: metrics::InFlightRequest,
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
            flight.end(metrics::Ending::Complete);
            return replay_answer(recorded);
        }
        Err(EarlyAnswer::Refused(refusal)) => return answer::respond_refusal(&refusal, flight),
    };
    let mut session = session::Session::new(rc::Rc::clone(&handler), req);
    match answer::collect_answer(&mut session).await {
        Ok((head, body)) => {
            let res = answer::to_response(&head, http::Body::whole(body.clone()));
            let session::Head { status, headers } = head;
            let recorded = RecordedAnswer { status, headers, body: body.to_vec() };
            handler.claims.record_answer(id, held, recorded).await;
            flight.end(metrics::Ending::Complete);
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

/// Creates the response from the recorded answer of an earlier call.
fn replay_answer(recorded: RecordedAnswer) -> http::Response {
    let RecordedAnswer { status, headers, body } = recorded;
    let mut res = answer::to_response(
        &session::Head { status, headers },
        http::Body::whole(Bytes::from(body)),
    );
    refusal::set_ran_header(&mut res, wire::Ran::Yes);
    res
}
