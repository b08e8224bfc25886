//! A position in a YAML document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in a document, as line and column, both counted from 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// Line number, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
}

impl Mark {
    /// The beginning of the document.
    pub const START: Self = Self { line: 1, column: 1 };
}

impl From<serde_saphyr::Location> for Mark {
    fn from(location: serde_saphyr::Location) -> Self {
        let from_one = |number: u64| u32::try_from(number).unwrap_or(u32::MAX).max(1);
        Self { line: from_one(location.line()), column: from_one(location.column()) }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
