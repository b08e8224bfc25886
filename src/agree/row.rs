//! One row of the table as the state machines of leases and claims ask for it.

use std::time;

use crate::{agree::store::Unavailable, cloud};

/// One call for a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read it.
    Read,
    /// Write it.
    Write {
        /// JSON text.
        value: String,
        /// Condition.
        when: cloud::Precondition,
    },
    /// Delete it.
    Delete {
        /// Only if it still has this tag.
        etag: cloud::Etag,
    },
}

/// What came of an [`Ask`]; `Err` of a write or delete means unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// To [`Ask::Read`].
    Read(Result<Option<cloud::Row>, Unavailable>),
    /// To [`Ask::Write`].
    Write(Result<cloud::WriteOutcome, Unavailable>),
    /// To [`Ask::Delete`].
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

/// Makes the call; blocks for at most `within`.
pub fn execute(key: &str, ask: &Call, table: &dyn cloud::Table, within: time::Duration) -> Answer {
    match ask {
        Call::Read => Answer::Read(table.read(key, within).map_err(|_| Unavailable)),
        Call::Write { value, when } => {
            Answer::Write(table.write(key, value, when, within).map_err(|_| Unavailable))
        }
        Call::Delete { etag } => {
            Answer::Delete(table.delete(key, etag, within).map_err(|_| Unavailable))
        }
    }
}
