//! Leases with fences, for tasks that exactly one process of a group performs.
//!
//! The clocks of two processes are never compared:
//!
//! - A watcher takes over a row only after it has seen it unchanged for the whole term on its own
//!   monotonic clock. Each renewal changes the row, so a holder that still renews is not replaced.
//! - A holder counts its term from before it sent the write, less a margin. A watcher can see the
//!   row only after that, so the holder stops sending orders before a watcher takes over. (For a
//!   repeated write, see `Lease::settle`.)
//! - Each write is conditional on the row as last read. Of two watchers that take over at the same
//!   time, only one succeeds, and a former holder cannot renew a row that was taken over.
//! - Each holder has a higher fence than the one before it, so that an order of a former holder
//!   that arrives late is refused.

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

/// Fencing token: increases with each holder, and every order carries it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// Part of the term that a holder does not use, since clocks may run at different rates.
const MARGIN_PART: f64 = 0.2;

/// Part of the term after which the holder renews the lease.
const RENEWAL_PART: f64 = 0.3;

/// Delay before the row is read to find out whether a write whose answer was lost took effect, as a
/// part of the term.
const RETRY_PART: f64 = 0.05;

/// Row of a lease in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Process that holds the lease; `None` once released.
    pub holder: Option<Holder>,
    /// Fence of the latest holder.
    pub fence: Fence,
    /// Number of renewals, so that each renewal changes the row.
    pub renewals: u64,
    /// Term of the lease, in milliseconds.
    pub term_ms: u64,
}

/// One run of one process, from its start to its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Host of the process.
    pub host: name::Host,
    /// Number drawn at random when the process starts.
    pub boot: u64,
}

/// Returns the key of the row of the lease `name`.
pub fn key(name: &str) -> String {
    format!("leases/{name}")
}

/// Parses the row of a lease; `None` if it is absent or does not parse.
pub fn parse(row: Option<&cloud::Row>) -> Option<Row> {
    serde_json::from_str(&row?.value).ok()
}

/// Another process holds the lease, as far as this one knows.
#[derive(Clone, Debug, Default)]
struct Watching {
    /// Tag of the row as last read, and the time of the first read that returned it.
    last_seen: Option<(cloud::Etag, time::Duration)>,
}

/// A write that acquires, renews or releases the lease is due or under way. While it renews, `held`
/// stays valid until its own end.
#[derive(Clone, Debug)]
struct Writing {
    sent_at: time::Duration,
    next: Row,
    precondition: cloud::Precondition,
    held: Option<Held>,
}

/// The answer to the write was lost, so the row is read to find out whether it took effect.
#[derive(Clone, Debug)]
struct Settling {
    writing: Writing,
}

/// This process holds the lease until `until`, on its own monotonic clock.
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

/// State of one lease at one process.
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
    /// Starts to watch the lease; the term is the same for all processes that share it.
    pub fn new(me: Holder, term: time::Duration, now: time::Duration, seed: u64) -> Self {
        let stage = Stage::Watching(Watching::default());
        let rng = Pcg64::seed_from_u64(seed);
        Self { me, term, stage, next_call_at: now, in_flight: false, leaving: false, rng }
    }

    /// Returns the fence if this process holds the lease at `now`; call it just before each order
    /// is sent.
    pub fn fence(&self, now: time::Duration) -> Option<Fence> {
        self.fence_and_time_left(now).map(|(fence, _)| fence)
    }

    /// Returns the fence and the time left if this process holds the lease at `now`.
    pub fn fence_and_time_left(&self, now: time::Duration) -> Option<(Fence, time::Duration)> {
        let held = match &self.stage {
            Stage::Held(held) => held,
            Stage::Writing(Writing { held: Some(held), .. }) => held,
            Stage::Settling(Settling { writing: Writing { held: Some(held), .. } }) => held,
            _ => return None,
        };
        (now < held.until).then(|| (held.row.fence, held.until - now))
    }

    /// Releases the lease: the fence is not returned from now on, and the next write removes the
    /// holder from the row.
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

    /// Returns the call to make at `now`, if any; at most one is in flight.
    pub fn next_call(&mut self, now: time::Duration) -> Option<Call> {
        if self.in_flight || now < self.next_call_at {
            return None;
        }
        let call = match &self.stage {
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
        Some(call)
    }

    /// Handles the answer to the call.
    pub fn handle_answer(&mut self, now: time::Duration, answer: Answer) {
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

    /// Takes the lease over if it is free, or if its row has not changed for the whole term.
    ///
    /// The term counts from the first read that returned the row with its present tag. Of the term
    /// in the row and that of this process, the longer one counts, so that the holder's has ended.
    fn observe(
        &mut self,
        now: time::Duration,
        watching: Watching,
        row: Option<&cloud::Row>,
    ) -> Stage {
        let lease = parse(row);
        let is_free = lease.as_ref().is_none_or(|lease| lease.holder.is_none());
        let since = match (&watching.last_seen, row) {
            (Some((etag, since)), Some(row)) if *etag == row.etag => *since,
            _ => now,
        };
        let term = lease
            .as_ref()
            .map_or(self.term, |lease| time::Duration::from_millis(lease.term_ms).max(self.term));
        let last_seen = row.map(|row| (row.etag.clone(), since));
        if is_free || now >= since + term {
            return self.acquire(now, lease.as_ref(), row);
        }
        self.keep_watching(now, Watching { last_seen })
    }

    /// Prepares the write that makes this process the holder. The fence increases by one, and the
    /// write fails if another process has changed the row since it was read.
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
        let precondition = match row {
            Some(row) => cloud::Precondition::Unchanged(row.etag.clone()),
            None => cloud::Precondition::Absent,
        };
        self.next_call_at = now;
        Stage::Writing(Writing { sent_at: now, next, precondition, held: None })
    }

    /// Returns the write that renews the lease, or releases it if the process is leaving.
    fn renewal(&self, now: time::Duration, held: Held) -> Writing {
        let holder = (!self.leaving).then(|| self.me.clone());
        let next = Row { holder, renewals: held.row.renewals + 1, ..held.row.clone() };
        let precondition = cloud::Precondition::Unchanged(held.etag.clone());
        Writing { sent_at: now, next, precondition, held: Some(held) }
    }

    fn start_write(&mut self, writing: Writing) -> Call {
        let value = serde_json::to_string(&writing.next).expect("a lease serializes");
        let precondition = writing.precondition.clone();
        self.stage = Stage::Writing(writing);
        Call::Write { value, precondition }
    }

    /// Starts to hold the lease after a successful write. The term counts from before the write was
    /// sent, since a watcher may see the row as soon as it is written.
    fn hold(&mut self, writing: Writing, etag: cloud::Etag) -> Stage {
        if writing.next.holder.is_none() {
            return Stage::Watching(Watching::default());
        }
        let usable_time =
            if self.leaving { time::Duration::ZERO } else { self.term.mul_f64(1.0 - MARGIN_PART) };
        self.next_call_at = if self.leaving {
            writing.sent_at
        } else {
            writing.sent_at + self.term.mul_f64(RENEWAL_PART)
        };
        Stage::Held(Held { until: writing.sent_at + usable_time, etag, row: writing.next })
    }

    /// Decides on a write whose answer was lost, from the row that was read after it:
    ///
    /// - The row is the one that was written: the write took effect. If it had been repeated, the
    ///   term counts from the repetition, although the row may stem from the lost write before it.
    ///   After a pause of more than the margin between the two, the term can therefore outlast a
    ///   watcher's wait, and only the fence keeps the late orders from taking effect.
    /// - The row is the one before the write, or still absent: the write is repeated under the same
    ///   condition, so that it takes effect at most once, even if the lost one arrives late.
    /// - Otherwise another process has changed the row: this one watches again.
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

/// Reads the fence of a lease for [`Guard`](crate::agree::guard::Guard); blocks for at most
/// `timeout`.
pub fn read_fence(
    name: &str,
    table: &dyn cloud::Table,
    timeout: time::Duration,
) -> Result<Fence, Unavailable> {
    let row = table.read(&key(name), timeout).map_err(|_| Unavailable)?;
    Ok(parse(row.as_ref()).map_or(Fence::default(), |lease| lease.fence))
}
