//! What the state machines ask of the platform, and how often.

use std::time;

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{agree::record, cloud};

/// Time one call may take.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// One call, made on a worker thread; each kind has at most one in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read the configuration row, because it was due.
    Poll {
        /// Tag of the row as last polled.
        known: Option<cloud::Etag>,
    },
    /// Read the configuration row, for a change.
    Read,
    /// Write the configuration row, for a change.
    Write {
        /// JSON text.
        value: String,
        /// Condition.
        when: cloud::Precondition,
    },
    /// Read the host list.
    List,
}

/// What came of an [`Ask`]; `Err` means unavailable, and for a write unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// To [`Ask::Poll`].
    Poll(Result<cloud::ConditionalRead, Unavailable>),
    /// To [`Ask::Read`].
    Read(Result<Option<cloud::Row>, Unavailable>),
    /// To [`Ask::Write`].
    Write(Result<cloud::WriteOutcome, Unavailable>),
    /// To [`Ask::List`].
    List(Result<Vec<cloud::ListedHost>, Unavailable>),
}

/// The platform did not answer in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// Makes the call; blocks for at most [`WITHIN`].
pub fn execute(ask: &Call, table: &dyn cloud::Table, hosts: &dyn cloud::Hosts) -> Answer {
    match ask {
        Call::Poll { known } => {
            let newer = table.read_if_changed(record::KEY, known.as_ref(), CALL_TIMEOUT);
            Answer::Poll(newer.map_err(|_| Unavailable))
        }
        Call::Read => Answer::Read(table.read(record::KEY, CALL_TIMEOUT).map_err(|_| Unavailable)),
        Call::Write { value, when } => {
            let written = table.write(record::KEY, value, when, CALL_TIMEOUT);
            Answer::Write(written.map_err(|_| Unavailable))
        }
        Call::List => Answer::List(hosts.list(CALL_TIMEOUT).map_err(|_| Unavailable)),
    }
}

/// When the next call of one kind is due: one in flight, jittered, never
/// sooner after a failure than after a success.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    due: time::Duration,
    in_flight: bool,
    failures: u32,
}

/// Most doublings of the period after failures.
const MAX_DOUBLINGS: u32 = 1;

impl CallSchedule {
    /// The first call is due at `due`.
    pub fn new(due: time::Duration) -> Self {
        Self { due, in_flight: false, failures: 0 }
    }

    /// Whether a call is to be made now; if so, it counts as in flight.
    pub fn start(&mut self, now: time::Duration) -> bool {
        let start = !self.in_flight && now >= self.due;
        self.in_flight |= start;
        start
    }

    /// The call ended; the next is due after about `period`, longer if it failed.
    pub fn end(&mut self, now: time::Duration, ok: bool, period: time::Duration, rng: &mut Pcg64) {
        self.in_flight = false;
        self.failures = if ok { 0 } else { (self.failures + 1).min(MAX_DOUBLINGS) };
        self.due = now + jitter(period * (1 << self.failures), rng);
    }

    /// Brings the next call forward to within about `period`.
    pub fn bring_forward(&mut self, now: time::Duration, period: time::Duration, rng: &mut Pcg64) {
        if self.due > now + period * 2 {
            self.due = now + jitter(period, rng);
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

/// Between half and one and a half times `period`.
pub fn jitter(period: time::Duration, rng: &mut Pcg64) -> time::Duration {
    period.mul_f64(rng.random_range(0.5..1.5))
}
