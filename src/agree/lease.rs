//! Leases with fences for duties that one process of a group does.
//!
//! Nobody compares clocks: a watcher takes over a row that it has seen
//! unchanged for the whole term on its own monotonic clock, and a holder
//! counts its term from before it sent the write, less a margin.

use std::time;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use crate::{
    agree::{
        row::{Answer, Call},
        store::{self, Unavailable},
    },
    cloud, name,
};

/// Counts up with each holder; orders carry it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// Part of the term that a holder does not use, for clocks that run unevenly.
const MARGIN_PART: f64 = 0.2;

/// Part of the term after which it is renewed.
const RENEWAL_PART: f64 = 0.3;

/// Time until a failed call is repeated by a holder, as a part of the term.
const RETRY_PART: f64 = 0.05;

/// A lease's row in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Who holds it; `None` once released.
    pub holder: Option<Holder>,
    /// Fence of the latest holder.
    pub fence: Fence,
    /// Counted up with each renewal, so that each changes the row.
    pub renewals: u64,
    /// Term, in milliseconds.
    pub term_ms: u64,
}

/// One life of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Its host.
    pub host: name::Host,
    /// Drawn at its start.
    pub boot: u64,
}

/// Key of the lease's row.
pub fn key(name: &str) -> String {
    format!("leases/{name}")
}

/// Reads a lease's row; `None` if absent or unreadable.
pub fn parse(row: Option<&cloud::Row>) -> Option<Row> {
    serde_json::from_str(&row?.value).ok()
}

/// Another holds it, as far as is known.
#[derive(Clone, Debug, Default)]
struct Watching {
    last_seen: Option<(cloud::Etag, time::Duration)>,
}

/// A write was sent that makes this process the holder, or keeps it so.
#[derive(Clone, Debug)]
struct Writing {
    sent_at: time::Duration,
    next: Row,
    precondition: cloud::Precondition,
    held: Option<Held>,
}

/// The answer to the write was lost.
#[derive(Clone, Debug)]
struct Settling {
    writing: Writing,
}

/// This process holds it.
#[derive(Clone, Debug)]
struct Held {
    until: time::Duration,
    etag: cloud::Etag,
    row: Row,
}

#[derive(Clone, Debug)]
enum Stage {
    Watching(Watching),
    Writing(Writing),
    Settling(Settling),
    Held(Held),
}

/// One process's part in one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Holder,
    term: time::Duration,
    stage: Stage,
    next_call_at: time::Duration,
    in_flight: bool,
    leaving: bool,
    rng: Pcg64,
}

impl Lease {
    /// Starts watching; the term is the same for all that share the lease.
    pub fn new(me: Holder, term: time::Duration, now: time::Duration, seed: u64) -> Self {
        let stage = Stage::Watching(Watching::default());
        let rng = Pcg64::seed_from_u64(seed);
        Self { me, term, stage, next_call_at: now, in_flight: false, leaving: false, rng }
    }

    /// The fence, if the lease is held at `now`; ask just before each order is sent.
    pub fn fence(&self, now: time::Duration) -> Option<Fence> {
        self.fence_and_time_left(now).map(|(fence, _)| fence)
    }

    /// The fence and the time left, if the lease is held at `now`.
    pub fn fence_and_time_left(&self, now: time::Duration) -> Option<(Fence, time::Duration)> {
        let held = match &self.stage {
            Stage::Held(held) => held,
            Stage::Writing(Writing { held: Some(held), .. }) => held,
            Stage::Settling(Settling { writing: Writing { held: Some(held), .. } }) => held,
            _ => return None,
        };
        (now < held.until).then(|| (held.row.fence, held.until - now))
    }

    /// Gives the lease up: no more orders from now on.
    pub fn release(&mut self, now: time::Duration) {
        self.leaving = true;
        self.next_call_at = now;
        match &mut self.stage {
            Stage::Held(held) => held.until = now,
            Stage::Writing(Writing { held: Some(held), .. }) => held.until = now,
            Stage::Settling(Settling { writing }) => {
                if let Some(held) = &mut writing.held {
                    held.until = now;
                }
            }
            _ => {}
        }
    }

    /// The call to make at `now`, if any; one is in flight at a time.
    pub fn next_call(&mut self, now: time::Duration) -> Option<Call> {
        if self.in_flight || now < self.next_call_at {
            return None;
        }
        let ask = match &self.stage {
            Stage::Watching(_) if self.leaving => return None,
            Stage::Watching(_) | Stage::Settling(_) => Call::Read,
            Stage::Held(held) => {
                let writing = self.renewal(now, held.clone());
                self.start_write(writing)
            }
            Stage::Writing(writing) => {
                self.start_write(Writing { sent_at: now, ..writing.clone() })
            }
        };
        self.in_flight = true;
        Some(ask)
    }

    /// Takes the answer to the call.
    pub fn answer(&mut self, now: time::Duration, answer: Answer) {
        self.in_flight = false;
        let stage = std::mem::replace(&mut self.stage, Stage::Watching(Watching::default()));
        self.stage = match (stage, answer) {
            (Stage::Watching(watching), Answer::Read(Ok(row))) => {
                self.observe(now, watching, row.as_ref())
            }
            (Stage::Watching(watching), _) => self.keep_watching(now, watching),
            (Stage::Writing(writing), Answer::Write(Ok(cloud::WriteOutcome::Done(etag)))) => {
                self.hold(writing, etag)
            }
            (Stage::Writing(_), Answer::Write(Ok(cloud::WriteOutcome::Refused))) => {
                self.keep_watching(now, Watching::default())
            }
            (Stage::Writing(writing), _) => self.retry_settling(now, Settling { writing }),
            (Stage::Settling(settling), Answer::Read(Ok(row))) => {
                self.settle(now, settling, row.as_ref())
            }
            (Stage::Settling(settling), _) => self.retry_settling(now, settling),
            (stage, _) => stage,
        };
    }

    fn observe(
        &mut self,
        now: time::Duration,
        watching: Watching,
        row: Option<&cloud::Row>,
    ) -> Stage {
        let lease = parse(row);
        let free = lease.as_ref().is_none_or(|lease| lease.holder.is_none());
        let since = match (&watching.last_seen, row) {
            (Some((etag, since)), Some(row)) if *etag == row.etag => *since,
            _ => now,
        };
        let term = lease
            .as_ref()
            .map_or(self.term, |lease| time::Duration::from_millis(lease.term_ms).max(self.term));
        let seen = row.map(|row| (row.etag.clone(), since));
        if free || now >= since + term {
            return self.acquire(now, lease.as_ref(), row);
        }
        self.keep_watching(now, Watching { last_seen: seen })
    }

    fn acquire(
        &mut self,
        now: time::Duration,
        lease: Option<&Row>,
        row: Option<&cloud::Row>,
    ) -> Stage {
        let fence = lease.map_or(Fence::default(), |lease| lease.fence);
        let next = Row {
            holder: Some(self.me.clone()),
            fence: Fence(fence.0 + 1),
            renewals: 0,
            term_ms: self.term.as_millis() as u64,
        };
        let when = match row {
            Some(row) => cloud::Precondition::Unchanged(row.etag.clone()),
            None => cloud::Precondition::Absent,
        };
        self.next_call_at = now;
        Stage::Writing(Writing { sent_at: now, next, precondition: when, held: None })
    }

    fn renewal(&self, now: time::Duration, held: Held) -> Writing {
        let holder = (!self.leaving).then(|| self.me.clone());
        let next = Row { holder, renewals: held.row.renewals + 1, ..held.row.clone() };
        let when = cloud::Precondition::Unchanged(held.etag.clone());
        Writing { sent_at: now, next, precondition: when, held: Some(held) }
    }

    fn start_write(&mut self, writing: Writing) -> Call {
        let value = serde_json::to_string(&writing.next).expect("a lease serializes");
        let when = writing.precondition.clone();
        self.stage = Stage::Writing(writing);
        Call::Write { value, when }
    }

    fn hold(&mut self, writing: Writing, etag: cloud::Etag) -> Stage {
        if writing.next.holder.is_none() {
            return Stage::Watching(Watching::default());
        }
        let usable =
            if self.leaving { time::Duration::ZERO } else { self.term.mul_f64(1.0 - MARGIN_PART) };
        self.next_call_at = if self.leaving {
            writing.sent_at
        } else {
            writing.sent_at + self.term.mul_f64(RENEWAL_PART)
        };
        Stage::Held(Held { until: writing.sent_at + usable, etag, row: writing.next })
    }

    fn settle(
        &mut self,
        now: time::Duration,
        settling: Settling,
        row: Option<&cloud::Row>,
    ) -> Stage {
        let Settling { writing } = settling;
        match (row, &writing.precondition) {
            (Some(row), _) if parse(Some(row)).as_ref() == Some(&writing.next) => {
                self.hold(writing, row.etag.clone())
            }
            (Some(row), cloud::Precondition::Unchanged(etag)) if row.etag == *etag => {
                self.next_call_at = now;
                Stage::Writing(writing)
            }
            (None, cloud::Precondition::Absent) => {
                self.next_call_at = now;
                Stage::Writing(writing)
            }
            (row, _) => self.observe(now, Watching::default(), row),
        }
    }

    fn keep_watching(&mut self, now: time::Duration, watching: Watching) -> Stage {
        self.next_call_at = now + store::jitter(self.term / 2, &mut self.rng);
        Stage::Watching(watching)
    }

    fn retry_settling(&mut self, now: time::Duration, settling: Settling) -> Stage {
        self.next_call_at = now + store::jitter(self.term.mul_f64(RETRY_PART), &mut self.rng);
        Stage::Settling(settling)
    }
}

/// Reads a lease's row for [`Guard`](crate::agree::guard::Guard); blocks for at most `within`.
pub fn read_fence(
    name: &str,
    table: &dyn cloud::Table,
    within: time::Duration,
) -> Result<Fence, Unavailable> {
    let row = table.read(&key(name), within).map_err(|_| Unavailable)?;
    Ok(parse(row.as_ref()).map_or(Fence::default(), |lease| lease.fence))
}
