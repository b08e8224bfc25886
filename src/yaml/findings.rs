//! All faults of a text.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Finding, Mark};

/// Faults in the order of their places.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Most faults that are kept; further ones are dropped.
    pub const MAX_FINDINGS: usize = 100;

    /// Adds a fault.
    pub fn add(&mut self, mark: Mark, problem: impl Into<String>, remedy: impl Into<String>) {
        if self.0.len() < Self::MAX_FINDINGS {
            self.0.push(Finding { mark, problem: problem.into(), remedy: remedy.into() });
        }
    }

    /// Whether there is no fault.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// `value` if there is no fault, else the faults in the order of their places.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, Self> {
        self.0.sort();
        self.0.dedup();
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
