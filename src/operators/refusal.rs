//! The body of a refusal.

use serde::{Deserialize, Serialize};

use crate::yaml;

/// Why a request of an operator was refused.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// What is wrong and what to do, as a sentence.
    pub error: String,
    /// Faults of the text, if that was refused.
    #[serde(default, skip_serializing_if = "yaml::Findings::is_empty")]
    pub findings: yaml::Findings,
}
