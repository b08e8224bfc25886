//! One fault of a text.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Mark;

/// A fault, its place and its remedy.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    /// Where the fault is.
    pub mark: Mark,
    /// What is wrong, as a sentence without its full stop.
    pub problem: String,
    /// What to write instead, as a sentence without its full stop.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}. {}.", self.mark, self.problem, self.remedy)
    }
}
