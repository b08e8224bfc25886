//! Calls for one row of the table, as the state machines of leases and claims make them.

use std::time;

use crate::{agree::store::Unavailable, cloud};

/// Call for one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read the row.
    Read,
    /// Write the row.
    Write {
        /// JSON text to write.
        value: String,
        /// Condition under which the row is written.
        precondition: cloud::Precondition,
    },
    /// Delete the row.
    Delete {
        /// Tag that the row must still have.
        etag: cloud::Etag,
    },
}

/// Answer to a [`Call`]; after `Err`, a write or delete may or may not have taken effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Answer to [`Call::Read`].
    Read(Result<Option<cloud::Row>, Unavailable>),
    /// Answer to [`Call::Write`].
    Write(Result<cloud::WriteOutcome, Unavailable>),
    /// Answer to [`Call::Delete`]; `false` if the row is gone or has another tag.
    Delete(Result<bool, Unavailable>),
}

impl Answer {
    /// Whether the table answered.
    pub fn is_ok(&self) -> bool {
        match self {
            Self::Read(res) => res.is_ok(),
            Self::Write(res) => res.is_ok(),
            Self::Delete(res) => res.is_ok(),
        }
    }
}

/// Makes the call; blocks for at most `timeout`.
pub fn execute(
    key: &str,
    call: &Call,
    table: &dyn cloud::Table,
    timeout: time::Duration,
) -> Answer {
    match call {
        Call::Read => Answer::Read(table.read(key, timeout).map_err(|_| Unavailable)),
        Call::Write { value, precondition } => {
            Answer::Write(table.write(key, value, precondition, timeout).map_err(|_| Unavailable))
        }
        Call::Delete { etag } => {
            Answer::Delete(table.delete(key, etag, timeout).map_err(|_| Unavailable))
        }
    }
}
