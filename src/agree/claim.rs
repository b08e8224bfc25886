//! Claims in the table, which are idempotency records for calls that run at most once.
//!
//! The claim is written before the call is sent and the outcome after it ended, which makes two
//! writes per call. If the holder of a claim dies between the two, the claim stays in the table for
//! good: the outcome of the call is unknown, and the call is never run again.

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

/// Largest body recorded in the row itself, in bytes; larger ones go to the object store.
const MAX_INLINE_BODY_BYTES: usize = 16 << 10;

/// Time limit of one call to the table.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Delay before a failed write of an outcome, or a failed release, is repeated.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Key that identifies a call that runs at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key(String);

impl Key {
    /// Joins workspace, service and the caller's idempotency key; an empty or too long key is an
    /// error.
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

/// Keeps ASCII letters, digits, `-` and `_`; any other byte becomes `~` and two hex digits.
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

/// Digest of a request, which detects that its key is used again for another request.
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

/// Recorded answer of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers returned to the caller.
    pub headers: Vec<wire::Header>,
    /// Body of the answer.
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

/// Outcome of [`begin`].
#[derive(Debug)]
pub enum BeginOutcome {
    /// This process holds the claim and may send the call once.
    Claimed(Claim<Held>),
    /// The call ran before, with this answer.
    Recorded(RecordedAnswer),
    /// The call ran before, but its answer cannot be read from the object store now.
    AnswerUnavailable,
    /// The call was claimed before and has no recorded outcome: it may have run, or be running.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// The table is unavailable; the call was not sent, so it did not run.
    Unavailable,
}

/// Claim of one attempt at a call; `S` is its state, from [`New`] to [`Held`].
#[derive(Debug)]
pub struct Claim<S> {
    key: Key,
    holder: u64,
    fingerprint: Fingerprint,
    state: S,
}

/// State of a claim whose row is still to be written.
#[derive(Debug)]
pub struct New;

/// State of a claim whose row must be read, since the write was refused or its answer was lost.
#[derive(Debug)]
pub struct Unconfirmed;

/// State of a claim that the row names as its holder.
#[derive(Debug)]
pub struct Held {
    etag: cloud::Etag,
}

/// Next step of a claim.
#[derive(Debug)]
pub enum Step {
    /// Write the row and pass the answer to the claim.
    Write(Claim<New>),
    /// Read the row and pass it to the claim.
    Read(Claim<Unconfirmed>),
    /// The claim is decided.
    Done(Verdict),
}

/// Decision on a claim, from the state of its row.
#[derive(Debug)]
pub enum Verdict {
    /// This claim holds the row.
    Claimed(Claim<Held>),
    /// Another claim holds the row and its call has ended with this answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Headers returned to the caller.
        headers: Vec<wire::Header>,
        /// The body, or its size and checksum if it is in the object store.
        body: RecordedBody,
    },
    /// Another claim holds the row and has no outcome, or the row does not parse.
    Unknown,
    /// The row belongs to a different request with the same key.
    Mismatch,
    /// The row could not be read.
    Unavailable,
}

/// Body of a recorded answer, or a reference to it in the object store.
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
    /// Creates a claim for `holder`, a number drawn at random for this attempt.
    pub fn new(key: Key, holder: u64, fingerprint: Fingerprint) -> Self {
        Self { key, holder, fingerprint, state: New }
    }

    /// Write that claims the row, on condition that it does not exist.
    pub fn call(&self) -> Call {
        Call::Write { value: self.value(State::Claimed), precondition: cloud::Precondition::Absent }
    }

    /// Handles the answer to the write. Refused means that a row exists, which may be this claim's
    /// own from a write whose answer was lost; a lost answer means that the write may have taken
    /// effect. In both cases the row is read before the call may be sent.
    pub fn handle_answer(self, written: Result<cloud::WriteOutcome, Unavailable>) -> Step {
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
    /// Handles the answer to the read.
    ///
    /// - The row is absent: the write is repeated. If the lost write arrives before the repeated
    ///   one, the latter is refused, and the next read finds this claim's holder in the row.
    /// - The row names this claim's holder and has no outcome: the lost write took effect.
    /// - The row names another holder or does not parse: the call may have run, so this claim never
    ///   sends it. A recorded answer is returned instead.
    /// - The row cannot be read: the claim ends, even though its write may have taken effect. The
    ///   call was not sent; a repeat of it may then find a claim without an outcome.
    pub fn handle_answer(self, row: Result<Option<cloud::Row>, Unavailable>) -> Step {
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

/// Claims a call before it is sent; blocks the calling thread for at most about `timeout`.
pub fn begin(
    table: &dyn cloud::Table,
    objects: &dyn cloud::Objects,
    claim: Claim<New>,
    timeout: time::Duration,
) -> BeginOutcome {
    let deadline = time::Instant::now() + timeout;
    let key = claim.key.clone();
    let mut step = Step::Write(claim);
    loop {
        let left = deadline.saturating_duration_since(time::Instant::now()).min(CALL_TIMEOUT);
        step = match step {
            Step::Write(_) | Step::Read(_) if left.is_zero() => return BeginOutcome::Unavailable,
            Step::Write(claim) => match row::execute(&key.row_key(), &claim.call(), table, left) {
                Answer::Write(written) => claim.handle_answer(written),
                _ => return BeginOutcome::Unavailable,
            },
            Step::Read(claim) => match row::execute(&key.row_key(), &Call::Read, table, left) {
                Answer::Read(row) => claim.handle_answer(row),
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
    timeout: time::Duration,
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
            match objects.get(&key.object_key(), timeout) {
                Ok(Some(body)) if body.len() == size && xxh3::xxh3_64(&body) == checksum => {
                    BeginOutcome::Recorded(RecordedAnswer { status, headers, body })
                }
                _ => BeginOutcome::AnswerUnavailable,
            }
        }
    }
}

impl Claim<Held> {
    /// Records the answer of a call that ran; blocks the calling thread for at most about
    /// `timeout`.
    ///
    /// Returns `false` if the answer could not be recorded, so that the outcome stays unknown to a
    /// repeated call. A refused write may be the repetition of one that took effect while its
    /// answer was lost, so the row is compared with the value that was written.
    pub fn record(
        self,
        table: &dyn cloud::Table,
        objects: &dyn cloud::Objects,
        answer: &RecordedAnswer,
        timeout: time::Duration,
    ) -> bool {
        let deadline = time::Instant::now() + timeout;
        let Some(body) = self.store_body(objects, &answer.body, timeout.min(CALL_TIMEOUT)) else {
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

    /// Deletes the claim of a call that provably did not run, so that the key can be used again;
    /// `false` if that failed, so that the key stays claimed. Blocks the calling thread
    /// for at most about `timeout`.
    pub fn release(self, table: &dyn cloud::Table, timeout: time::Duration) -> bool {
        let deadline = time::Instant::now() + timeout;
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

    fn row_matches(&self, table: &dyn cloud::Table, value: &str, timeout: time::Duration) -> bool {
        matches!(table.read(&self.key.row_key(), timeout), Ok(Some(row)) if row.value == value)
    }

    fn store_body(
        &self,
        objects: &dyn cloud::Objects,
        body: &[u8],
        timeout: time::Duration,
    ) -> Option<Body> {
        match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_INLINE_BODY_BYTES => Some(Body::Inline(text.into())),
            _ => {
                objects.put(&self.key.object_key(), body, timeout).ok()?;
                Some(Body::Object { size: body.len(), checksum: xxh3::xxh3_64(body) })
            }
        }
    }
}
