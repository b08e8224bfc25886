//! The list of errors in a YAML document.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Finding, Mark};

/// The errors in a YAML document, sorted by position once [`Self::into_result`] has returned them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Maximum number of findings that are kept; further ones are dropped.
    pub const MAX_FINDINGS: usize = 100;

    /// Adds a finding.
    pub fn add(&mut self, mark: Mark, problem: impl Into<String>, remedy: impl Into<String>) {
        if self.0.len() < Self::MAX_FINDINGS {
            self.0.push(Finding { mark, problem: problem.into(), remedy: remedy.into() });
        }
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the findings.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there are no findings, otherwise the findings sorted by position and
    /// without duplicates.
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
