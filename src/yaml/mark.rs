//! A place in a text.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Line and column, both from 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// Line, from 1.
    pub line: u32,
    /// Column, in characters from 1.
    pub column: u32,
}

impl Mark {
    /// The beginning of the text.
    pub const START: Self = Self { line: 1, column: 1 };
}

impl From<serde_saphyr::Location> for Mark {
    fn from(at: serde_saphyr::Location) -> Self {
        let from_one = |at: u64| u32::try_from(at).unwrap_or(u32::MAX).max(1);
        Self { line: from_one(at.line()), column: from_one(at.column()) }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
