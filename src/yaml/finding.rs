//! One error in a YAML document.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Mark;

/// An error in a YAML document, with its position and remedy.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    /// Position of the error.
    pub mark: Mark,
    /// Description of the error, as a sentence without its full stop.
    pub problem: String,
    /// Instruction to correct the error, as a sentence without its full stop.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}. {}.", self.mark, self.problem, self.remedy)
    }
}
