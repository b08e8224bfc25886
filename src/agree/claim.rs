//! Claims in the table for calls that may not be repeated.
//!
//! A claim is written before the call is sent and the outcome after, two
//! writes a call. A claim whose holder died stays a claim for ever: its
//! outcome is unknown, and it is never run again.

use std::{thread, time};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{
    Error, Result,
    agree::{
        row::{self, Answer, Call},
        store::Unavailable,
    },
    cloud, name, wire,
};

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Largest recorded body kept in the row itself, in bytes; larger ones go to the object store.
const MAX_INLINE_BODY_BYTES: usize = 16 << 10;

/// Time one call to the table may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time between tries to record or release.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// What a call that may not be repeated is known by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key(String);

impl Key {
    /// Joins workspace, service and the caller's idempotency key.
    pub fn new(
        workspace: &name::Workspace,
        service: &name::Service,
        idempotency: &str,
    ) -> Result<Self> {
        let size = idempotency.len();
        if size == 0 || size > MAX_KEY_BYTES {
            return Err(Error::InvalidIdempotencyKey { size, limit: MAX_KEY_BYTES });
        }
        let parts = [workspace.as_str(), service.as_str(), idempotency].map(escape);
        Ok(Self(parts.join("/")))
    }

    fn row_key(&self) -> String {
        format!("claims/{}", self.0)
    }

    fn object_key(&self) -> String {
        format!("answers/{}", self.0)
    }
}

/// Keeps letters, digits, `-` and `_`; all else becomes `~` and two hex digits a byte.
fn escape(part: &str) -> String {
    let mut buf = String::with_capacity(part.len());
    for byte in part.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' => buf.push(byte.into()),
            _ => buf.push_str(&format!("~{byte:02x}")),
        }
    }
    if buf.is_empty() { "~".into() } else { buf }
}

/// Digest of a request, by which a reuse of its key for another is found.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Digests method, path and body.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut digest = xxh3::Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Self(format!("{:032x}", digest.digest128()))
    }
}

/// An answer as recorded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers passed through.
    pub headers: Vec<wire::Header>,
    /// The body.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Row {
    by: u64,
    fingerprint: Fingerprint,
    state: State,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Claimed,
    Done { status: u16, headers: Vec<wire::Header>, body: Body },
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Body {
    Inline(String),
    Object { size: usize, checksum: u64 },
}

/// How a claim began.
#[derive(Debug)]
pub enum BeginOutcome {
    /// The call is this process's to send, once.
    Claimed(Claim<Held>),
    /// It ran before; this was its answer.
    Recorded(RecordedAnswer),
    /// It ran before, but the object store does not give its answer now.
    AnswerUnavailable,
    /// It was claimed before and has no recorded outcome: it may have run, or be running.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The table is unavailable; nothing was sent, so it did not run.
    Unavailable,
}

/// A claim on its way from new to held.
#[derive(Debug)]
pub struct Claim<S> {
    key: Key,
    holder: u64,
    fingerprint: Fingerprint,
    state: S,
}

/// The row is to be written.
#[derive(Debug)]
pub struct New;

/// The row is to be read, since the write was refused or its answer lost.
#[derive(Debug)]
pub struct Unconfirmed;

/// The row names this claim.
#[derive(Debug)]
pub struct Held {
    etag: cloud::Etag,
}

/// What to do next.
#[derive(Debug)]
pub enum Step {
    /// Write and hand the answer to the claim.
    Write(Claim<New>),
    /// Read and hand the answer to the claim.
    Read(Claim<Unconfirmed>),
    /// Over.
    Done(Verdict),
}

/// What the row says.
#[derive(Debug)]
pub enum Verdict {
    /// This claim holds it.
    Claimed(Claim<Held>),
    /// Another claim finished; its answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Headers passed through.
        headers: Vec<wire::Header>,
        /// The body, or where it is.
        body: RecordedBody,
    },
    /// Another claim has no outcome.
    Unknown,
    /// Another request has the key.
    Mismatch,
    /// The table does not answer.
    Unavailable,
}

/// A recorded body.
#[derive(Debug)]
pub struct RecordedBody(Body);

impl<S> Claim<S> {
    fn with_state<T>(self, state: T) -> Claim<T> {
        Claim { key: self.key, holder: self.holder, fingerprint: self.fingerprint, state }
    }

    fn value(&self, state: State) -> String {
        let row = Row { by: self.holder, fingerprint: self.fingerprint.clone(), state };
        serde_json::to_string(&row).expect("a claim serializes")
    }
}

impl Claim<New> {
    /// A claim by `by`, drawn at random for this try.
    pub fn new(key: Key, by: u64, fingerprint: Fingerprint) -> Self {
        Self { key, holder: by, fingerprint, state: New }
    }

    /// The write to make.
    pub fn call(&self) -> Call {
        Call::Write { value: self.value(State::Claimed), when: cloud::Precondition::Absent }
    }

    /// Takes the answer to the write.
    pub fn answer(self, written: Result<cloud::WriteOutcome, Unavailable>) -> Step {
        match written {
            Ok(cloud::WriteOutcome::Done(etag)) => {
                Step::Done(Verdict::Claimed(self.with_state(Held { etag })))
            }
            Ok(cloud::WriteOutcome::Refused) | Err(Unavailable) => {
                Step::Read(self.with_state(Unconfirmed))
            }
        }
    }
}

impl Claim<Unconfirmed> {
    /// Takes the answer to the read.
    pub fn answer(self, row: Result<Option<cloud::Row>, Unavailable>) -> Step {
        let Ok(row) = row else { return Step::Done(Verdict::Unavailable) };
        let Some(row) = row else { return Step::Write(self.with_state(New)) };
        let Ok(found) = serde_json::from_str::<Row>(&row.value) else {
            return Step::Done(Verdict::Unknown);
        };
        Step::Done(match found.state {
            _ if found.fingerprint != self.fingerprint => Verdict::Mismatch,
            State::Claimed if found.by == self.holder => {
                Verdict::Claimed(self.with_state(Held { etag: row.etag }))
            }
            State::Claimed => Verdict::Unknown,
            State::Done { status, headers, body } => {
                Verdict::Done { status, headers, body: RecordedBody(body) }
            }
        })
    }
}

/// Claims a call before it is sent; blocks for about `within`.
pub fn begin(
    table: &dyn cloud::Table,
    objects: &dyn cloud::Objects,
    claim: Claim<New>,
    within: time::Duration,
) -> BeginOutcome {
    let deadline = time::Instant::now() + within;
    let key = claim.key.clone();
    let mut step = Step::Write(claim);
    loop {
        let left = deadline.saturating_duration_since(time::Instant::now()).min(CALL_TIMEOUT);
        step = match step {
            Step::Write(_) | Step::Read(_) if left.is_zero() => return BeginOutcome::Unavailable,
            Step::Write(claim) => match row::execute(&key.row_key(), &claim.call(), table, left) {
                Answer::Write(written) => claim.answer(written),
                _ => return BeginOutcome::Unavailable,
            },
            Step::Read(claim) => match row::execute(&key.row_key(), &Call::Read, table, left) {
                Answer::Read(row) => claim.answer(row),
                _ => return BeginOutcome::Unavailable,
            },
            Step::Done(verdict) => return conclude(&key, verdict, objects, left),
        };
    }
}

fn conclude(
    key: &Key,
    verdict: Verdict,
    objects: &dyn cloud::Objects,
    within: time::Duration,
) -> BeginOutcome {
    match verdict {
        Verdict::Claimed(claim) => BeginOutcome::Claimed(claim),
        Verdict::Unknown => BeginOutcome::Unknown,
        Verdict::Mismatch => BeginOutcome::Mismatch,
        Verdict::Unavailable => BeginOutcome::Unavailable,
        Verdict::Done { status, headers, body: RecordedBody(Body::Inline(body)) } => {
            BeginOutcome::Recorded(RecordedAnswer { status, headers, body: body.into() })
        }
        Verdict::Done { status, headers, body: RecordedBody(Body::Object { size, checksum }) } => {
            match objects.get(&key.object_key(), within) {
                Ok(Some(body)) if body.len() == size && xxh3::xxh3_64(&body) == checksum => {
                    BeginOutcome::Recorded(RecordedAnswer { status, headers, body })
                }
                _ => BeginOutcome::AnswerUnavailable,
            }
        }
    }
}

impl Claim<Held> {
    /// Records the answer of a call that ran; `false` if that did not succeed,
    /// which leaves its outcome unknown to a repeat. Blocks for about `within`.
    pub fn record(
        self,
        table: &dyn cloud::Table,
        objects: &dyn cloud::Objects,
        answer: &RecordedAnswer,
        within: time::Duration,
    ) -> bool {
        let deadline = time::Instant::now() + within;
        let Some(body) = self.store_body(objects, &answer.body, within.min(CALL_TIMEOUT)) else {
            return false;
        };
        let (status, headers) = (answer.status, answer.headers.clone());
        let value = self.value(State::Done { status, headers, body });
        let when = cloud::Precondition::Unchanged(self.state.etag.clone());
        loop {
            let left = deadline.saturating_duration_since(time::Instant::now()).min(CALL_TIMEOUT);
            match table.write(&self.key.row_key(), &value, &when, left) {
                _ if left.is_zero() => return false,
                Ok(cloud::WriteOutcome::Done(_)) => return true,
                Ok(cloud::WriteOutcome::Refused) => return self.row_matches(table, &value, left),
                Err(_) => thread::sleep(RETRY_DELAY),
            }
        }
    }

    /// Gives the key free again after a call that provably did not run;
    /// `false` if that did not succeed, which leaves it claimed.
    pub fn release(self, table: &dyn cloud::Table, within: time::Duration) -> bool {
        let deadline = time::Instant::now() + within;
        loop {
            let left = deadline.saturating_duration_since(time::Instant::now()).min(CALL_TIMEOUT);
            if left.is_zero() {
                return false;
            }
            match table.delete(&self.key.row_key(), &self.state.etag, left) {
                Ok(_) => return true,
                Err(_) => thread::sleep(RETRY_DELAY),
            }
        }
    }

    fn row_matches(&self, table: &dyn cloud::Table, value: &str, within: time::Duration) -> bool {
        matches!(table.read(&self.key.row_key(), within), Ok(Some(row)) if row.value == value)
    }

    fn store_body(
        &self,
        objects: &dyn cloud::Objects,
        body: &[u8],
        within: time::Duration,
    ) -> Option<Body> {
        match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_INLINE_BODY_BYTES => Some(Body::Inline(text.into())),
            _ => {
                objects.put(&self.key.object_key(), body, within).ok()?;
                Some(Body::Object { size: body.len(), checksum: xxh3::xxh3_64(body) })
            }
        }
    }
}
