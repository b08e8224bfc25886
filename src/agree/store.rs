//! Calls that the state machines make to the platform, and their schedule.

use std::time;

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{agree::record, cloud};

/// Time limit of one call.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Call to the platform, made on a worker thread; at most one of each kind is in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read the configuration row if it changed, as scheduled.
    Poll {
        /// Tag of the row as last read or received from a peer.
        known: Option<cloud::Etag>,
    },
    /// Read the configuration row, for a change.
    Read,
    /// Write the configuration row, for a change.
    Write {
        /// JSON text to write.
        value: String,
        /// Condition under which the row is written.
        precondition: cloud::Precondition,
    },
    /// Read the host list.
    List,
}

/// Answer to a [`Call`]; `Err` means unavailable, and a write may or may not have taken effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Answer to [`Call::Poll`].
    Poll(Result<cloud::ConditionalRead, Unavailable>),
    /// Answer to [`Call::Read`].
    Read(Result<Option<cloud::Row>, Unavailable>),
    /// Answer to [`Call::Write`].
    Write(Result<cloud::WriteOutcome, Unavailable>),
    /// Answer to [`Call::List`].
    List(Result<Vec<cloud::ListedHost>, Unavailable>),
}

/// The platform did not answer in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// Makes the call; blocks for at most [`CALL_TIMEOUT`].
pub fn execute(call: &Call, table: &dyn cloud::Table, hosts: &dyn cloud::Hosts) -> Answer {
    match call {
        Call::Poll { known } => {
            let read = table.read_if_changed(record::KEY, known.as_ref(), CALL_TIMEOUT);
            Answer::Poll(read.map_err(|_| Unavailable))
        }
        Call::Read => Answer::Read(table.read(record::KEY, CALL_TIMEOUT).map_err(|_| Unavailable)),
        Call::Write { value, precondition } => {
            let written = table.write(record::KEY, value, precondition, CALL_TIMEOUT);
            Answer::Write(written.map_err(|_| Unavailable))
        }
        Call::List => Answer::List(hosts.list(CALL_TIMEOUT).map_err(|_| Unavailable)),
    }
}

/// Schedule of the calls of one kind: at most one in flight, with jitter, and not sooner after a
/// failure than after a success.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    due: time::Duration,
    in_flight: bool,
    failures: u32,
}

/// Maximum number of doublings of the interval after failures.
const MAX_DOUBLINGS: u32 = 1;

impl CallSchedule {
    /// Creates a schedule whose first call is due at `due`.
    pub fn new(due: time::Duration) -> Self {
        Self { due, in_flight: false, failures: 0 }
    }

    /// Returns whether a call must be made now; if so, it counts as in flight.
    pub fn start(&mut self, now: time::Duration) -> bool {
        let must_start = !self.in_flight && now >= self.due;
        self.in_flight |= must_start;
        must_start
    }

    /// Records that the call ended; the next one is due after about `interval`, or later if it
    /// failed.
    pub fn end(
        &mut self,
        now: time::Duration,
        ok: bool,
        interval: time::Duration,
        rng: &mut Pcg64,
    ) {
        self.in_flight = false;
        self.failures = if ok { 0 } else { (self.failures + 1).min(MAX_DOUBLINGS) };
        self.due = now + jitter(interval * (1 << self.failures), rng);
    }

    /// Brings the next call forward so that it is due within about `interval`.
    pub fn bring_forward(
        &mut self,
        now: time::Duration,
        interval: time::Duration,
        rng: &mut Pcg64,
    ) {
        if self.due > now + interval * 2 {
            self.due = now + jitter(interval, rng);
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

/// Returns a random duration between half and one and a half times `interval`.
pub fn jitter(interval: time::Duration, rng: &mut Pcg64) -> time::Duration {
    interval.mul_f64(rng.random_range(0.5..1.5))
}
